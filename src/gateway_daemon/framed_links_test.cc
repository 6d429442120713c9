// Links between daemons over loopback sockets.

#include "gateway_daemon/framed_links.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

class framed_links_test : public ::testing::Test
{
protected:
    // Sends the bytes to a daemon's links and returns the events that follow within a moment.
    std::vector<gateway::event> eventsAfter(const std::string &bytes)
    {
        std::vector<gateway::event> events;
        framed_links links(loop, [&](gateway::event event) { events.push_back(std::move(event)); });
        links.listen({.port = port});
        const auto stream = loop.connectTcp(fmt::format("127.0.0.1:{}", port), {});
        loop.send(stream, bytes);
        loop.after(100ms, [this] { loop.stop(); });
        loop.run();
        return events;
    }

    net::loop loop;
    // A port that was free a moment ago.
    std::uint16_t port = net::loop().listenHttp({}, [](const net::http_request &) {});
};

} // namespace

// Guards against a link that is closed, and with it all that daemons tell each other, because a daemon of a newer build
// sends a kind of message that this one does not know.
TEST_F(framed_links_test, UnknownMessageDoesNotCloseTheLink)
{
    const auto known = framing::encodeFrame(peers::encodeMessage(peers::hello{.name = "n"}));
    const auto events = eventsAfter(framing::encodeFrame("no message of this build") + known);
    EXPECT_EQ(std::ranges::count_if(
                  events, [](const auto &event) { return std::holds_alternative<gateway::link_message>(event); }),
              1);
    EXPECT_TRUE(std::ranges::none_of(
        events, [](const auto &event) { return std::holds_alternative<gateway::link_closed>(event); }));
}

// Guards against bytes that are no frames and that are read on for ever.
TEST_F(framed_links_test, FrameWithoutBoundClosesTheLink)
{
    const auto events = eventsAfter(std::string(16, '\xff'));
    EXPECT_TRUE(std::ranges::any_of(
        events, [](const auto &event) { return std::holds_alternative<gateway::link_closed>(event); }));
}

// Guards against a daemon that ends because one of its own messages is too large for a frame.
TEST_F(framed_links_test, MessageBeyondAFrameClosesItsLinkOnly)
{
    std::vector<gateway::event> events;
    framed_links links(loop, [&](gateway::event event) { events.push_back(std::move(event)); });
    links.listen({.port = port});
    constexpr gateway::link_id outgoing{1};
    links.open({.link = outgoing, .address = fmt::format("127.0.0.1:{}", port)});
    loop.after(50ms, [&] {
        links.send({outgoing, peers::turn_reply{.history = std::string(framing::maxPayloadBytes + 1, 'a')}});
    });
    loop.after(200ms, [this] { loop.stop(); });
    EXPECT_NO_THROW(loop.run());
    EXPECT_EQ(std::ranges::count_if(events,
                                    [](const auto &event) {
                                        const auto *closed = std::get_if<gateway::link_closed>(&event);
                                        return closed != nullptr && closed->link == outgoing;
                                    }),
              1);
}

} // namespace jackdawpick
