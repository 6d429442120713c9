#pragma once

// TCP links to other daemons: hello exchange, framing, reconnection and idle detection.

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
    // A link to a retained peer is dropped after this time without a byte. Such a peer sends a heartbeat every second.
    std::chrono::milliseconds idleTimeout{2500};
    std::size_t maxQueuedMessages = 1024; // Per link, until it is established. Further messages are discarded.
};

struct peer_link_handlers
{
    std::function<void(const std::string &peer, peer_message message)> received;
    // `connected` true: the first link to the peer is established. False: a link to the peer was lost, and with it the
    // messages and forwarded calls in flight on it, or could not be established.
    std::function<void(const std::string &peer, bool connected)> changed;
};

class peer_links
{
public:
    peer_links(net::loop &loop, const clock_source &clock, peer_link_options options, peer_link_handlers handlers);

    // Returns the port.
    std::uint16_t listen(const net::listen_options &options);
    void start();
    // Sets the peers to which links are retained: their links are dropped after the idle timeout.
    void setRetainedPeers(const std::vector<member_identity> &peers);
    // Opens a link to `address` if there is none. Without a link and an address, the message is discarded.
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

    net::tcp_handlers tcpHandlers();
    void open(const std::string &peer, const std::string &address, std::string firstFrame);
    void onConnected(net::stream_id id);
    void onReceived(net::stream_id id, std::string_view bytes);
    void onMessage(net::stream_id id, peer_message message);
    void onHello(net::stream_id id, const hello &message);
    void drop(net::stream_id id, std::string_view reason);
    void removeLink(net::stream_id id);
    void dropIdleLinks();
    [[nodiscard]] std::optional<net::stream_id> linkTo(const std::string &peer) const;
    link *find(net::stream_id id);

    net::loop &m_loop;
    const clock_source &m_clock;
    peer_link_options m_options;
    peer_link_handlers m_handlers;
    std::unordered_map<std::uint64_t, link> m_links;
    std::map<std::string, std::set<std::uint64_t>> m_byPeer; // Established and pending links.
    std::set<std::string> m_retainedPeers;
};

} // namespace jackdawpick
