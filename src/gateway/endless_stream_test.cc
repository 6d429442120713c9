// Endpoints whose responses never end, in virtual time.

#include "gateway/internal/event_splitter.h"
#include "gateway/testing/gateway_world.h"
#include "testing/allocated_bytes.h"

#include <algorithm>
#include <chrono>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

// A host has 88 MB for its process; a hundred streams of faulty endpoints may hold about half of it.
constexpr std::size_t maxHeldBytesPerStream = 512U << 10U;
constexpr std::size_t pieceBytes = 32768; // As the transport hands them on.
// The deadline of the callers, and the time that an endpoint has for its own response at the deadline.
constexpr auto deadline = 3000ms;
constexpr auto deadlineSlack = 500ms;

std::string repeated(const std::string &text)
{
    std::string result;
    while (result.size() < pieceBytes) {
        result += text;
    }
    return result;
}

struct stream_result
{
    caller_response response;
    std::size_t heldBytes = 0;
    std::chrono::milliseconds took{};
};

// Sends a turn to a daemon whose only engine answers with this event stream.
stream_result runTurn(const std::string &piece, std::uint32_t maxOutputTokens = 60)
{
    gateway_world world({.daemons = 1, .engineEndpoints = 1});
    world.warmUp();
    world.endlessResponses["engine-0"] = {"text/event-stream", piece};
    auto request = modelTurn("p", "a");
    request.maxOutputTokens = maxOutputTokens;
    const auto sentAt = world.now();
    const jackdawpick::testing::peak_allocation peak;
    auto &response = world.send(0, request);
    std::size_t forwarded = 0;
    std::size_t held = 0;
    while (!response.ended() && world.now() < sentAt + deadline + 2 * deadlineSlack) {
        world.runFor(10ms);
        forwarded = std::max(forwarded, response.body.capacity());
        held = peak.bytes();
    }
    // What the caller of the test keeps is not held by the gateway; its text doubles when it grows.
    const auto heldByTest = 2 * forwarded;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(world.now() - sentAt);
    return {response, held - std::min(held, heldByTest), took};
}

} // namespace

// Guards against buffering an event for as long as an endpoint does not end it.
TEST(EndlessStreams, AnEventWithoutEndIsBounded)
{
    for (const auto &piece : {std::string(pieceBytes, 'a'), repeated("data: a\n"), repeated("data: a\r\n\r")}) {
        const auto result = runTurn(piece);
        EXPECT_TRUE(result.response.aborted);
        EXPECT_EQ(result.response.body, "");
        EXPECT_LE(result.heldBytes, maxHeldBytesPerStream);
        EXPECT_LT(result.took, deadline);
    }
}

// Guards against events beyond what the request may generate: they belong to no answer, spend the program's budget and
// are collected as the text of its turn.
TEST(EndlessStreams, EventsBeyondTheMostTokensBreakTheStream)
{
    const auto event = std::string("data: a\n\n");
    const auto result = runTurn(repeated(event));
    EXPECT_TRUE(result.response.aborted);
    EXPECT_FALSE(result.response.complete);
    // The most of one turn is tolerated once more.
    EXPECT_LE(result.response.body.size(), std::size_t{2} * (60 / gateway_world::tokensPerEvent) * event.size());
    EXPECT_GE(result.response.body.size(), 60 / gateway_world::tokensPerEvent * event.size());
    EXPECT_LE(result.heldBytes, maxHeldBytesPerStream);
    EXPECT_LT(result.took, deadline);
}

// Guards against the text of a turn that grows until the deadline when the request names no most tokens.
TEST(EndlessStreams, TheTextOfATurnIsBounded)
{
    const auto result = runTurn(repeated("data: " + std::string(1000, 'a') + "\n\n"), 0);
    EXPECT_TRUE(result.response.aborted);
    EXPECT_LE(result.heldBytes, 2 * maxHeldBytesPerStream);
    EXPECT_LT(result.took, deadline);
}

// Guards against a stream of comments or empty events that outlives its deadline or fills the memory. They are valid,
// so they are forwarded until then.
TEST(EndlessStreams, CommentsEndAtTheDeadline)
{
    for (const auto *piece : {": a\n\n", "\n\n", "event: x\n\n"}) {
        const auto result = runTurn(piece);
        EXPECT_TRUE(result.response.aborted);
        EXPECT_LE(result.heldBytes, maxHeldBytesPerStream);
        EXPECT_LE(result.took, deadline + deadlineSlack);
    }
}

// Guards against sending further requests to an endpoint whose responses never end.
TEST(EndlessStreams, TheEndpointGetsFewerRequests)
{
    for (const auto &[contentType, piece] :
         {std::pair<std::string, std::string>("text/event-stream", std::string(pieceBytes, 'a')),
          std::pair<std::string, std::string>("text/plain", "a")}) {
        gateway_world world({.daemons = 1});
        world.warmUp();
        const bool stream = contentType == "text/event-stream";
        const std::string bad = stream ? "engine-0" : "shop-0";
        world.endlessResponses[bad] = {contentType, piece};
        constexpr int requests = 20;
        for (int i = 0; i < requests; ++i) {
            const auto attempt = fmt::format("a{}", i);
            world.send(0, stream ? modelTurn(fmt::format("p{}", i), attempt) : shopRequest("/pay/1", attempt));
            world.runFor(1500ms);
        }
        EXPECT_LT(std::ranges::count(world.runs, bad, &endpoint_run::endpoint), requests / 2) << bad;
        EXPECT_GE(world.runs.size(), requests / 2U);
    }
}

// Guards against a search that looks at the same bytes again for each of many short events: the loop would stand still.
TEST(EndlessStreams, ShortEventsAreSplitInLinearTime)
{
    using internal::event_splitter;
    const auto timeOf = [](std::size_t bytes) {
        const std::string text(bytes, '\n');
        event_splitter splitter;
        const auto startedAt = std::chrono::steady_clock::now();
        std::size_t events = 0;
        splitter.append(text);
        while (splitter.next().has_value()) {
            ++events;
        }
        EXPECT_EQ(events, bytes / 2);
        return std::chrono::steady_clock::now() - startedAt;
    };
    constexpr std::size_t few = 1U << 15U;
    constexpr std::size_t factor = 16;
    constexpr int slack = 6; // A quadratic search takes 256 times as long instead of 16 times.
    const auto shortest = std::min({timeOf(few), timeOf(few), timeOf(few)});
    EXPECT_LT(std::min(timeOf(few * factor), timeOf(few * factor)), shortest * (factor * slack));
}

// Guards against events that are cut at another place when their bytes arrive in other parts.
TEST(EndlessStreams, EventsAreSplitAlikeInAllParts)
{
    const std::string text = "data: a\n\n\n\nid: 1\r\ndata: b\r\n\r\n: c\r\n\n\ndata: d\n\r\n\r\n\r\n\r\ndata: e";
    const auto split = [&text](std::size_t part) {
        internal::event_splitter splitter;
        std::vector<std::string> events;
        for (std::size_t at = 0; at < text.size(); at += part) {
            splitter.append(std::string_view(text).substr(at, part));
            for (auto event = splitter.next(); event.has_value(); event = splitter.next()) {
                events.push_back(event->raw);
            }
        }
        events.emplace_back(splitter.incompleteEvent());
        return events;
    };
    const auto whole = split(text.size());
    EXPECT_EQ(whole,
              (std::vector<std::string>{"data: a\n\n", "\n\n", "id: 1\r\ndata: b\r\n\r\n", ": c\r\n\n",
                                        "\ndata: d\n\r\n\r\n", "\r\n\r\n", "data: e"}));
    for (std::size_t part = 1; part < text.size(); ++part) {
        EXPECT_EQ(split(part), whole) << part;
    }
}

} // namespace jackdawpick::gateway::testing
