#include "base64/base64.h"
#include "daemon/internal/admin_server.h"
#include "daemon/internal/caller_server.h"
#include "daemon/internal/endpoint_client.h"
#include "daemon/internal/peer_links.h"
#include "daemon/internal/platform_client.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

class fake_state final : public daemon_state
{
public:
    void post(event posted) override
    {
        events.push_back(std::move(posted));
        if (onEvent) {
            onEvent();
        }
    }
    [[nodiscard]] bool ready() const override
    {
        return false;
    }
    [[nodiscard]] bool draining() const override
    {
        return false;
    }
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone) const override
    {
        return {{"host-1", zone, "127.0.0.1:80"}};
    }
    [[nodiscard]] std::chrono::seconds entryListLifetime() const override
    {
        return 5s;
    }
    [[nodiscard]] std::string metricsText() override
    {
        return "metrics\n";
    }
    [[nodiscard]] const member_identity &self() const override
    {
        return identity;
    }
    [[nodiscard]] log_offset configurationVersion() const override
    {
        return 7;
    }
    [[nodiscard]] const std::string &configurationText() const override
    {
        return text;
    }
    [[nodiscard]] json dump() const override
    {
        return {{"calls", json::array({{{"turn", 3}}})}};
    }
    [[nodiscard]] std::uint64_t randomNumber() override
    {
        return 4;
    }

    member_identity identity{{"host-1", 0xabc}, "z1", "", ""};
    std::string text = "rank = 1";
    std::vector<event> events;
    std::function<void()> onEvent;
};

class daemon_test : public ::testing::Test
{
protected:
    daemon_test()
        : callers(loop, state, replies, {})
        , admin(loop, state, replies)
    {
        callerAddress = fmt::format("127.0.0.1:{}", callers.listen({}));
        adminAddress = fmt::format("127.0.0.1:{}", admin.listen({}));
    }

    net::client_result exchange(const std::string &address, const std::string &method, const std::string &path,
                                const std::string &body = {})
    {
        net::client_result result;
        loop.request({.address = address, .method = method, .path = path, .body = body},
                     [&](net::client_result received) {
                         result = std::move(received);
                         loop.stop();
                     });
        loop.run();
        return result;
    }

    // Runs until `count` events have arrived.
    void runUntilEvents(std::size_t count)
    {
        state.onEvent = [this, count] {
            if (state.events.size() >= count) {
                loop.stop();
            }
        };
        if (state.events.size() < count) {
            loop.run();
        }
        state.onEvent = {};
    }

    template<typename T> [[nodiscard]] const T &eventAt(std::size_t index) const
    {
        return std::get<T>(state.events.at(index));
    }

    net::loop loop;
    system_clock_source clock;
    fake_state state;
    std::vector<std::pair<std::string, peer_message>> sentToPeers;
    reply_table replies{loop, [this](const std::string &peer, peer_message message) {
                            sentToPeers.emplace_back(peer, std::move(message));
                        }};
    caller_server callers;
    admin_server admin;
    std::string callerAddress;
    std::string adminAddress;
};

std::string chatBody(bool stream)
{
    return json{{"model", "m"},
                {"messages", json::array({{{"role", "user"}, {"content", "hi"}}})},
                {"max_tokens", 8},
                {"stream", stream},
                {"jackdawpick", {{"customer", "wanza"}, {"request_id", "r1"}}}}
        .dump();
}

finish_call finishCallFor(request_handle request)
{
    return {.request = request, .program = {"wanza", "s1.2"}, .turn = 1, .requestId = "r1", .answer = "hello"};
}

} // namespace

// Guards against routes that respond with the wrong status or not at all.
TEST_F(daemon_test, CallerRoutes)
{
    EXPECT_EQ(exchange(callerAddress, "GET", "/healthz").status, 200);
    EXPECT_EQ(exchange(callerAddress, "GET", "/readyz").status, 503);
    EXPECT_EQ(exchange(callerAddress, "GET", "/metrics").body, "metrics\n");
    EXPECT_EQ(exchange(callerAddress, "GET", "/nowhere").status, 404);
    EXPECT_EQ(exchange(callerAddress, "GET", "/v1/chat/completions").status, 405);
    EXPECT_EQ(exchange(callerAddress, "POST", "/v1/chat/completions", "{").status, 400);
    EXPECT_EQ(exchange(callerAddress, "GET", "/v1/programs/wanza").status, 404);
    const auto entries = json::parse(exchange(callerAddress, "GET", "/v1/entry?zone=z%32").body);
    EXPECT_EQ(entries.at("entries").at(0).at("zone"), "z2");
    EXPECT_EQ(entries.at("keep_seconds"), 5);
    EXPECT_TRUE(state.events.empty());
}

// Guards against responses sent to the wrong caller, and against text that a caller without streaming receives twice.
TEST_F(daemon_test, ResponsesGoToTheirOwnCaller)
{
    std::map<bool, std::string> bodies;
    for (const bool stream : {true, false}) {
        loop.request(
            {.address = callerAddress, .method = "POST", .path = "/v1/chat/completions", .body = chatBody(stream)},
            [&, stream](const net::client_result &result) {
                bodies[stream] = result.body;
                if (bodies.size() == 2) {
                    loop.stop();
                }
            });
    }
    runUntilEvents(2);
    for (std::size_t i = 0; i < 2; ++i) {
        const auto request = eventAt<call_arrived>(i).request;
        replies.apply(stream_text{request, "hel"});
        replies.apply(stream_text{request, "lo"});
        replies.apply(finishCallFor(request));
        replies.apply(finishCallFor(request)); // The call has been removed, so this is ignored.
    }
    loop.run();
    EXPECT_EQ(json::parse(bodies[false]).at("choices").at(0).at("message").at("content"), "hello");
    net::sse_reader reader;
    const auto events = reader.append(bodies[true]);
    ASSERT_EQ(events.size(), 4U);
    EXPECT_EQ(json::parse(events[1]).at("choices").at(0).at("delta").at("content"), "lo");
    EXPECT_EQ(json::parse(events[2]).at("jackdawpick").at("program"), "s1.2");
    EXPECT_EQ(events[3], "[DONE]");
    EXPECT_EQ(replies.size(), 0U);
}

// Guards against refusals without a status, a retry time or, within a stream, without a last event.
TEST_F(daemon_test, RefusalsBeforeAndWithinAStream)
{
    for (const bool streamStarted : {false, true}) {
        net::client_result result;
        loop.request(
            {.address = callerAddress, .method = "POST", .path = "/v1/chat/completions", .body = chatBody(true)},
            [&](net::client_result received) {
                result = std::move(received);
                loop.stop();
            });
        state.events.clear();
        runUntilEvents(1);
        const auto request = eventAt<call_arrived>(0).request;
        if (streamStarted) {
            replies.apply(stream_text{request, "x"});
        }
        replies.apply(refuse_call{request, {result_code::Overloaded, "full", 1500ms}});
        loop.run();
        EXPECT_EQ(result.status, streamStarted ? 200 : 429);
        EXPECT_NE(result.body.find("\"retry_after_ms\":1500"), std::string::npos);
        const std::pair<std::string, std::string> header{"retry-after", "2"};
        EXPECT_EQ(std::ranges::count(result.headers, header), streamStarted ? 0 : 1);
    }
}

// Guards against calls that keep running after their caller has disconnected.
TEST_F(daemon_test, CallerThatDisconnectsIsReported)
{
    const auto id = loop.request(
        {.address = callerAddress, .method = "POST", .path = "/v1/chat/completions", .body = chatBody(true)},
        [](const net::client_result &) {});
    runUntilEvents(1);
    loop.cancel(id);
    runUntilEvents(2);
    EXPECT_EQ(eventAt<caller_disconnected>(1).request, eventAt<call_arrived>(0).request);
    EXPECT_EQ(replies.size(), 0U);
}

// Guards against forwarded calls whose responses are not sent back to the forwarding daemon.
TEST_F(daemon_test, ForwardedCallsAreAnsweredThroughThePeer)
{
    callers.onForwarded("host-2", {.id = 5, .path = "/v1/chat/completions", .body = chatBody(true)});
    callers.onForwarded("host-2", {.id = 6, .path = "/v1/chat/completions", .body = "{"});
    const auto request = eventAt<call_arrived>(0).request;
    replies.apply(stream_text{request, "hi"});
    replies.apply(finishCallFor(request));
    ASSERT_EQ(sentToPeers.size(), 3U);
    EXPECT_EQ(std::get<forward_end>(sentToPeers[0].second).httpStatus, 400);
    EXPECT_EQ(std::get<forward_chunk>(sentToPeers[1].second), (forward_chunk{5, "hi"}));
    EXPECT_EQ(std::get<forward_end>(sentToPeers[2].second).id, 5U);
    callers.onForwarded("host-2", {.id = 7, .path = "/v1/chat/completions", .body = chatBody(true)});
    EXPECT_EQ(replies.dropPeerLink("host-2").size(), 1U);
    EXPECT_EQ(replies.size(), 0U);
}

// Guards against responses that jackdawpickctl cannot parse.
TEST_F(daemon_test, AdminRoutes)
{
    const auto status = json::parse(exchange(adminAddress, "GET", "/admin/status").body);
    EXPECT_EQ(status.at("daemon"), "host-1");
    EXPECT_EQ(status.at("configuration_version"), 7);
    EXPECT_EQ(exchange(adminAddress, "GET", "/admin/dump?format=text").body, "calls.0.turn: 3\n");
    EXPECT_EQ(json::parse(exchange(adminAddress, "GET", "/admin/configuration").body).at("text"), "rank = 1");
    EXPECT_EQ(exchange(adminAddress, "POST", "/admin/drain").status, 202);
    EXPECT_TRUE(std::holds_alternative<drain_requested>(state.events.at(0)));
    EXPECT_EQ(exchange(adminAddress, "POST", "/admin/log-level", R"({"level": "loud"})").status, 400);
    EXPECT_EQ(exchange(adminAddress, "POST", "/admin/configuration", R"({"text": "x"})").status, 400);
    EXPECT_EQ(exchange(adminAddress, "DELETE", "/admin/status").status, 405);
    EXPECT_EQ(exchange(adminAddress, "GET", "/admin/other").status, 404);
    state.events.clear();
    state.onEvent = [this] {
        replies.apply(answer_query{eventAt<configuration_submitted>(0).request, 409, R"({"version": 9})"});
    };
    const auto conflict = exchange(adminAddress, "POST", "/admin/configuration", R"({"base_version": 3, "text": "x"})");
    EXPECT_EQ(conflict.status, 409);
    EXPECT_EQ(eventAt<configuration_submitted>(0).publication.baseVersion, 3U);
}

// Guards against log payloads altered by encoding, and against pages with damaged records being accepted.
TEST(Platform, LogPagesAndHostLists)
{
    for (const std::string bytes : {"", "a", "ab", "abc", "\x00\xff\x01z"}) {
        EXPECT_EQ(decodeBase64(encodeBase64(bytes)), bytes);
    }
    EXPECT_EQ(decodeBase64("a"), std::nullopt);
    EXPECT_EQ(decodeBase64("!!!!"), std::nullopt);
    const auto page = parseLogPage("s", R"({"records": [{"offset": 4, "payload": "YWI="}], "first": 2, "end": 5})");
    EXPECT_TRUE(page.ok);
    EXPECT_EQ(page.records.at(0).payload, "ab");
    EXPECT_EQ(page.end, 5U);
    EXPECT_FALSE(parseLogPage("s", R"({"records": [{"offset": 4, "payload": "!"}], "first": 2, "end": 5})").ok);
    EXPECT_FALSE(parseLogPage("s", "[").ok);
    std::size_t skipped = 0;
    const auto hosts = parseHostList(
        R"({"hosts": [{"name": "e", "kind": "engine", "address": "127.0.0.1:1", "state": "leaving", "slots": 4},
                      {"name": "d", "kind": "daemon", "http_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3"},
                      {"name": "x", "kind": "printer", "address": "127.0.0.1:4"}]})",
        skipped);
    ASSERT_EQ(hosts->size(), 2U);
    EXPECT_TRUE(hosts->at(0).leaving);
    EXPECT_EQ(hosts->at(1).address, "127.0.0.1:2");
    EXPECT_EQ(skipped, 1U);
    EXPECT_FALSE(parseHostList("{}", skipped).has_value());
}

// Guards against results of history reads that the reducer cannot tell from reads of its own streams.
TEST(Platform, ReadResultsCarryTheirTag)
{
    net::loop loop;
    const auto port = loop.listenHttp({}, [&loop](const net::http_request &request) {
        loop.respond(request.id, {}, R"({"records": [], "first": 1, "end": 5})");
    });
    std::vector<read_result> results;
    platform_client client(loop, {.logAddress = fmt::format("127.0.0.1:{}", port), .hostListAddress = {}},
                           [&](event received) {
                               results.push_back(std::get<read_finished>(received).result);
                               if (results.size() == 2) {
                                   loop.stop();
                               }
                           });
    client.send(read_request{.stream = "journal.a", .from = 3, .limit = 1, .tag = 7});
    client.send(read_request{.stream = "journal.a", .from = 5, .limit = 1});
    loop.run();
    std::ranges::sort(results, {}, &read_result::tag);
    EXPECT_EQ(results.at(0).tag, 0U);
    EXPECT_EQ(results.at(1).tag, 7U);
    EXPECT_TRUE(results.at(1).ok);
}

namespace
{

// An engine that responds to each request with the given status and body.
class scripted_engine
{
public:
    scripted_engine(net::loop &loop, std::uint16_t status, const std::string &body)
    {
        address = fmt::format("127.0.0.1:{}", loop.listenHttp({}, [&loop, status, body](const net::http_request &r) {
            loop.respond(r.id, {.status = status, .contentType = "text/event-stream", .headers = {{"X-Leaving", "1"}}},
                         body);
        }));
    }
    std::string address;
};

} // namespace

// Guards against truncated, malformed or refused responses of an engine being treated as complete.
TEST_F(daemon_test, EngineResponses)
{
    const std::string text = R"(data: {"request_id": "d1", "choices": [{"delta": {"content": "hi"}}]})"
                             "\n\n";
    const std::string last = R"(data: {"request_id": "d1", "choices": [], "usage": {"prompt_tokens": 3,
        "cached_tokens": 1, "completion_tokens": 2}})";
    std::string oneLine = last;
    std::erase(oneLine, '\n');
    endpoint_client endpoints(loop, {}, [this](event received) { state.post(std::move(received)); });
    const auto run = [&](const std::string &address, call_kind kind) {
        state.events.clear();
        start_dispatch dispatch{.dispatch = dispatch_id{1}, .endpoint = "e", .address = address, .requestId = "d1"};
        dispatch.kind = std::move(kind);
        dispatch.timeout = 10s;
        endpoints.apply(dispatch);
        while (state.events.empty() || std::holds_alternative<dispatch_progress>(state.events.back())) {
            runUntilEvents(state.events.size() + 1);
        }
        return state.events.back();
    };
    const scripted_engine complete(loop, 200, text + oneLine + "\n\ndata: [DONE]\n\n");
    const auto finished = std::get<dispatch_finished>(run(complete.address, model_call{}));
    EXPECT_EQ(finished.used.completionTokens, 2U);
    EXPECT_EQ(finished.requestId, "d1");
    EXPECT_TRUE(finished.endpointLeaving);
    EXPECT_EQ(eventAt<dispatch_progress>(0).text, "hi");
    const std::vector<std::pair<std::string, std::uint16_t>> bad{
        {text, 200}, {text + "data: [DONE]\n\n", 200}, {"data: {oops\n\n", 200}};
    for (const auto &[body, status] : bad) {
        const scripted_engine engine(loop, status, body);
        const auto failed = std::get<dispatch_failed>(run(engine.address, model_call{}));
        EXPECT_EQ(failed.failure.kind, failure_kind::ConnectionLost) << body;
        EXPECT_TRUE(failed.failure.bytesOffered);
    }
    const scripted_engine full(loop, 429, "{}");
    EXPECT_EQ(std::get<dispatch_failed>(run(full.address, model_call{})).failure.kind, failure_kind::Refused);
    const auto unreachable = std::get<dispatch_failed>(run("127.0.0.1:1", model_call{}));
    EXPECT_EQ(unreachable.failure.kind, failure_kind::ConnectFailed);
    EXPECT_FALSE(unreachable.failure.bytesOffered);
    const scripted_engine service(loop, 200, R"({"paid": true})");
    const auto answer = std::get<dispatch_finished>(run(service.address, service_call{.service = "s", .path = "pay"}));
    EXPECT_EQ(answer.body, R"({"paid": true})");
    EXPECT_EQ(endpoints.running(), 0U);
}

namespace
{

// The peer links of one daemon, with a log of their events: "+peer" connected, "-peer" lost, "<peer" message received.
struct linked_daemon
{
    linked_daemon(net::loop &loop, const clock_source &clock, const std::string &name,
                  const std::function<void()> &onLinkEvent)
        : links(loop, clock, {.self = {.version = protocolVersion, .daemon = {name, 1}, .zone = "z"}},
                {.received =
                     [this, onLinkEvent](const std::string &peer, const peer_message &) {
                         log += fmt::format("<{} ", peer);
                         onLinkEvent();
                     },
                 .changed =
                     [this, onLinkEvent](const std::string &peer, bool connected) {
                         log += fmt::format("{}{} ", connected ? '+' : '-', peer);
                         onLinkEvent();
                     }})
        , address(fmt::format("127.0.0.1:{}", links.listen({})))
    {
        links.start();
    }

    std::string log;
    peer_links links;
    std::string address;
};

} // namespace

// Guards against messages lost while a link is being established, responses that need a second link, and invalid
// data from a peer.
TEST(PeerLinks, MessagesPassBothWaysAndInvalidDataIsDropped)
{
    net::loop loop;
    const system_clock_source clock;
    std::function<void()> stopCondition = [] {
    };
    const auto onLinkEvent = [&] {
        stopCondition();
    };
    linked_daemon one(loop, clock, "one", onLinkEvent);
    linked_daemon two(loop, clock, "two", onLinkEvent);
    one.links.send("two", two.address, configuration_hint{1});
    one.links.send("two", two.address, configuration_hint{2});
    stopCondition = [&] {
        if (two.log == "+one <one <one ") {
            loop.stop();
        }
    };
    loop.run();
    two.links.send("one", {}, configuration_hint{3}); // Uses the link that "one" opened.
    stopCondition = [&] {
        if (one.log == "+two <two ") {
            loop.stop();
        }
    };
    loop.run();
    bool closed = false;
    const auto bad = loop.connectTcp(two.address, {.closed = [&](net::stream_id) {
                                         closed = true;
                                         loop.stop();
                                     }});
    loop.send(bad, encodeFrame(configuration_hint{4})); // Without a hello.
    loop.run();
    EXPECT_TRUE(closed);
    EXPECT_EQ(two.log, "+one <one <one ");
    one.links.send("three", "127.0.0.1:1", configuration_hint{1});
    stopCondition = [&] {
        if (one.log.ends_with("-three ")) {
            loop.stop();
        }
    };
    loop.run();
}

} // namespace jackdawpick
