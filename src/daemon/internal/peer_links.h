#pragma once

// Links to other daemons: hello, frames, reconnection and liveness of each connection.

#include "clock/clock.h"
#include "net/net.h"
#include "wire/wire.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace jackdawpick
{

struct peer_link_options
{
    hello self;
    // A link to a kept peer, which sends a heartbeat every second, is replaced after this long without a byte.
    std::chrono::milliseconds silence{2500};
    std::size_t maxQueuedMessages = 1024; // While a link is being made.
};

struct peer_link_handlers
{
    std::function<void(const std::string &peer, peer_message message)> received;
    // A link to a peer broke, with what was under way on it, or the first one works.
    std::function<void(const std::string &peer, bool connected)> changed;
};

class peer_links
{
public:
    peer_links(net::loop &loop, const clock_source &clock, peer_link_options options, peer_link_handlers handlers);

    // Returns the port.
    std::uint16_t listen(const net::listen_options &options);
    void start();
    // The peers whose links are replaced when they go silent.
    void setKept(const std::vector<member_identity> &peers);
    // Opens a link to `address` if there is none; without an address the message is dropped then.
    void send(const std::string &peer, const std::string &address, const peer_message &message);

private:
    struct link
    {
        std::string peer; // Expected for outgoing links, from the hello for incoming ones.
        bool outgoing = false;
        bool established = false; // The peer's hello has arrived.
        frame_reader frames;
        time_point lastReceived;
        std::deque<std::string> queued;
    };

    net::tcp_handlers handlersFor();
    void open(const std::string &peer, const std::string &address, std::string firstFrame);
    void onConnected(net::stream_id id);
    void onReceived(net::stream_id id, std::string_view bytes);
    void onMessage(net::stream_id id, peer_message message);
    void onHello(net::stream_id id, const hello &message);
    void drop(net::stream_id id, std::string_view reason);
    void forget(net::stream_id id);
    void checkSilence();
    [[nodiscard]] std::optional<net::stream_id> linkTo(const std::string &peer) const;
    link *find(net::stream_id id);

    net::loop &m_loop;
    const clock_source &m_clock;
    peer_link_options m_options;
    peer_link_handlers m_handlers;
    std::unordered_map<std::uint64_t, link> m_links;
    std::map<std::string, std::set<std::uint64_t>> m_byPeer; // Established links and those being made.
    std::set<std::string> m_kept;
};

} // namespace jackdawpick
