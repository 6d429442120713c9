#pragma once

// The other daemons (peers): their addresses, the links to them, and their latest heartbeats.
//
// Each daemon opens one link to every peer and sends its heartbeats and requests on it. Replies return on the same
// link.

#include "gateway/events.h"

#include <functional>
#include <map>
#include <random>

namespace jackdawpick::gateway::internal
{

class peer_table
{
public:
    // The interval between heartbeats grows with the number of peers, which bounds the number of heartbeats that a
    // daemon sends and receives per second.
    static constexpr std::chrono::milliseconds minHeartbeatInterval{100};
    static constexpr std::chrono::milliseconds heartbeatIntervalPerPeer{12};
    // Heartbeat intervals without a heartbeat after which a peer is considered dead.
    static constexpr int missedHeartbeatsUntilDead = 4;
    static constexpr std::chrono::milliseconds initialReconnectDelay{200};
    static constexpr std::chrono::milliseconds maxReconnectDelay{2000};

    explicit peer_table(peers::hello self);

    // Adds a peer or updates its identity, as read from the log or received on a link. Ignores this daemon's own name.
    void addOrUpdate(const peers::hello &identity, time_point now);
    void remove(const std::string &name, std::vector<effect> &out);

    // Introduces this daemon on an outgoing link, with the heartbeat `own`, so that the peer knows its state at once.
    void onOpened(const link_opened &received, const peers::heartbeat &own, std::vector<effect> &out);
    // The name of the peer on the link; empty if unknown.
    [[nodiscard]] std::string nameOf(link_id link) const;
    void onHello(link_id link, const peers::hello &identity, time_point now);
    void onHeartbeat(link_id link, const peers::heartbeat &heartbeat, time_point now);
    // Returns the name of the peer if the link was an outgoing one, otherwise an empty string.
    std::string onClosed(link_id link, time_point now);

    // Opens links that are due, and sends the heartbeat `own` to all peers if one is due or `urgent`.
    void tick(const peers::heartbeat &own, bool urgent, time_point now, std::vector<effect> &out);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // Sends the message to all peers with an open link.
    void broadcast(const peers::message &message, std::vector<effect> &out) const;

    // Peers whose heartbeats are up to date.
    [[nodiscard]] std::vector<const peers::hello *> alive(time_point now) const;
    [[nodiscard]] std::size_t aliveCount(time_point now) const;
    struct ready_peer
    {
        std::string name;
        std::string zone;
        std::string callerAddress;
        std::optional<link_id> link; // If it is open.
        bool reachesEndpoints = false;
        bool relays = false; // It reaches them and knows requests that are relayed.
    };

    // The live peers that accept requests.
    [[nodiscard]] std::vector<ready_peer> ready(time_point now) const;
    // An open link to a live peer that reaches the store directly; `randomFraction` in [0, 1) selects one of several.
    [[nodiscard]] std::optional<link_id> linkToPeerWithStore(double randomFraction, time_point now) const;
    // Names of the live peers that accept requests and have an open link.
    [[nodiscard]] std::vector<std::string> readyPeers(time_point now) const;
    // Those of them that know permits.
    [[nodiscard]] std::vector<std::string> readyPermitIssuers(time_point now) const;
    // The link to the peer, if it is open.
    [[nodiscard]] std::optional<link_id> linkTo(const std::string &name) const;
    // The peer on the link failed to serve a store call; it gets no further calls until its next heartbeat.
    void markStoreUnreachable(link_id link);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::chrono::milliseconds heartbeatInterval() const;

private:
    struct peer
    {
        peers::hello identity;
        peers::heartbeat heartbeat;
        std::optional<time_point> lastHeartbeatAt;
        std::optional<link_id> link; // The outgoing link.
        bool open = false;
        time_point connectAt{};
        std::chrono::milliseconds reconnectDelay = initialReconnectDelay;
    };

    [[nodiscard]] bool isAlive(const peer &entry, time_point now) const;
    [[nodiscard]] bool isReady(const peer &entry, time_point now) const;

    peers::hello m_self;
    std::map<std::string, peer> m_peers;
    std::map<link_id, std::string> m_incoming;
    std::uint64_t m_lastLink = 0;
    std::optional<time_point> m_heartbeatAt;
};

} // namespace jackdawpick::gateway::internal
