#pragma once

// The other daemons: their addresses, the links to them, and what they last said of themselves.
//
// Each daemon opens one link to every other daemon, sends its beats there and asks for store calls there; replies come
// back on the same link.

#include "gateway/events.h"

#include <functional>
#include <map>
#include <random>

namespace jackdawpick::gateway::internal
{

class peer_table
{
public:
    // Beats are sent to all peers at least this far apart, and rarer with many peers, so that their cost for one daemon
    // stays bounded.
    static constexpr std::chrono::milliseconds shortestBeatInterval{100};
    static constexpr std::chrono::milliseconds beatIntervalPerPeer{12};
    // Missed beats after which a peer counts as away.
    static constexpr int missedBeats = 4;
    static constexpr std::chrono::milliseconds firstReconnect{200};
    static constexpr std::chrono::milliseconds longestReconnect{2000};

    explicit peer_table(peers::hello self);

    // From the log or from a link; ignores the own name.
    void learn(const peers::hello &who, time_point now);
    void forget(const std::string &name, std::vector<effect> &out);

    void onOpened(const link_opened &what, time_point now, std::vector<effect> &out);
    // Name of the peer behind the link, if it is known.
    [[nodiscard]] std::string nameOf(link_id link) const;
    void onHello(link_id link, const peers::hello &who, time_point now);
    void onBeat(link_id link, const peers::heartbeat &what, time_point now);
    // Name of the peer whose outgoing link closed; empty for others.
    std::string onClosed(link_id link, time_point now);

    // Opens links that are due, and sends `own` to all peers when it is time or `urgent`.
    void tick(const peers::heartbeat &own, bool urgent, time_point now, std::vector<effect> &out);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // To all peers to which a link is open.
    void broadcast(const peers::message &what, std::vector<effect> &out) const;

    // Peers that have been heard of lately.
    [[nodiscard]] std::vector<const peers::hello *> alive(time_point now) const;
    [[nodiscard]] std::vector<std::string> readyAddresses(time_point now) const;
    // An open link to a peer that reaches the store; `noise` in [0, 1) chooses among several.
    [[nodiscard]] std::optional<link_id> linkWithStore(double noise, time_point now) const;
    // Names of the peers that take requests and to which a link is open.
    [[nodiscard]] std::vector<std::string> reachable(time_point now) const;
    // The open link to this peer.
    [[nodiscard]] std::optional<link_id> linkTo(const std::string &name) const;
    // The peer behind the link has failed a store call; it is not asked again before its next beat.
    void storeFailedAt(link_id link);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::chrono::milliseconds beatInterval() const;

private:
    struct peer
    {
        peers::hello who;
        peers::heartbeat last;
        std::optional<time_point> heard;
        std::optional<link_id> link; // Outgoing.
        bool open = false;
        time_point connectAt{};
        std::chrono::milliseconds reconnect = firstReconnect;
    };

    [[nodiscard]] bool isAlive(const peer &value, time_point now) const;

    peers::hello m_self;
    std::map<std::string, peer> m_peers;
    std::map<link_id, std::string> m_incoming;
    std::uint64_t m_lastLink = 0;
    std::optional<time_point> m_beatAt;
};

} // namespace jackdawpick::gateway::internal
