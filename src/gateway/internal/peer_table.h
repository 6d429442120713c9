#pragma once

// The other daemons (peers): their addresses, the links to them, and their latest heartbeats.
//
// Each daemon opens one link to every peer and sends its heartbeats and requests on it. Replies return on the same
// link. With many peers the heartbeats to each of them are rare, and a death is noticed by other signs: a few watchers
// get heartbeats at a short interval and tell all others when these stay away, and links that cannot be opened again
// show that nothing runs at the address.

#include "gateway/events.h"
#include "gateway/internal/watcher_ring.h"

#include <functional>
#include <map>
#include <set>

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
    // Between the heartbeats to the watchers of this daemon, if its ordinary ones are rarer.
    static constexpr std::chrono::milliseconds watchInterval{250};
    // Intervals without a heartbeat after which a watcher reports the daemon.
    static constexpr int missedHeartbeatsUntilReported = 4;
    // A watcher may be wrong alone: it may be slow or cut off itself. A daemon is considered dead at once on this many
    // reports, and on one if it has not refuted it within this time by a heartbeat to all.
    static constexpr std::size_t reportsUntilDead = 2;
    static constexpr std::chrono::milliseconds refutationTime{800};
    // A report says nothing if a heartbeat has arrived since the silence began; messages take up to this time.
    static constexpr std::chrono::milliseconds reportTolerance{100};
    // Longer silences are not reported: every daemon has noticed them itself.
    static constexpr std::chrono::seconds reportLifetime{10};
    // Without events for this long, this process was not running. The peers were not silent in that time.
    static constexpr std::chrono::milliseconds pauseThreshold{400};
    // A link is opened again after a quarter of the time since it was closed, within these bounds, so that a peer that
    // has restarted is reached soon and one that is gone costs little.
    static constexpr std::chrono::milliseconds minReconnectDelay{200};
    static constexpr std::chrono::milliseconds maxReconnectDelay{30000};
    static constexpr int reconnectDelayDivisor = 4;
    // New links are opened over this time for each peer: daemons often start together.
    static constexpr std::chrono::milliseconds linkSpreadPerPeer{5};
    // For the listing of the peers and the answers on new links, beside the time over which these are opened.
    static constexpr std::chrono::milliseconds connectTime{1000};
    // Between two heartbeats to all peers that do not wait for the interval, unless the change must be known at once.
    static constexpr std::chrono::milliseconds minUrgentInterval{100};
    // Between two looks for peers that have become silent, dead or alive.
    static constexpr std::chrono::milliseconds checkInterval{50};

    // When all peers get the next heartbeat.
    enum class urgency : std::uint8_t {
        Regular, // When the interval has passed.
        Soon, // After a change: at once, but not more often than the least interval allows.
        Now, // Callers must not be sent to this daemon any more.
    };

    // Makes a heartbeat of this daemon; called only when one is sent.
    using heartbeat_source = std::function<peers::heartbeat()>;

    explicit peer_table(peers::hello self);

    // Must be called first with the time of each event. Returns how long this process has not run, if it has not.
    std::optional<std::chrono::milliseconds> onTime(time_point now);

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

    // Opens links that are due, and sends the heartbeat that `own` returns to all peers if one is due, else to the
    // watchers if one is due to them.
    void tick(const heartbeat_source &own, urgency due, time_point now, std::vector<effect> &out);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    // The peers whose promised heartbeats have not arrived, for the heartbeats of this daemon.
    [[nodiscard]] std::vector<peers::silence_report> silencesToReport(time_point now) const;
    // Peers that have become dead or alive since the last call.
    struct liveness_change
    {
        std::string name;
        bool alive = false;
        std::chrono::milliseconds silentFor{0}; // Since its last heartbeat.
        std::size_t reports = 0; // Of its silence.
        bool unreachable = false; // Its address does not accept connections.
    };

    [[nodiscard]] std::vector<liveness_change> takeChanges(time_point now);
    // Peers that have been dead for this long.
    [[nodiscard]] std::vector<std::string> deadFor(std::chrono::milliseconds time, time_point now) const;

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
        bool knowsTenants = false; // It names the tenant of a relayed request to the endpoint.
    };

    // The live peers that accept requests.
    [[nodiscard]] std::vector<ready_peer> ready(time_point now) const;
    // An open link to a live peer that reaches the store directly; `randomFraction` in [0, 1) selects one of several.
    [[nodiscard]] std::optional<link_id> linkToPeerWithStore(double randomFraction, time_point now) const;
    // Names of the live peers that accept requests and have an open link.
    [[nodiscard]] std::vector<std::string> readyPeers(time_point now) const;
    // Those of them that know permits.
    [[nodiscard]] std::vector<std::string> readyPermitIssuers(time_point now) const;
    // Those of them that know tenants and their quotas.
    [[nodiscard]] std::vector<std::string> readyPeersKnowingTenants(time_point now) const;
    // Names of all peers, dead ones included.
    [[nodiscard]] std::vector<std::string> names() const;
    // The link to the peer, if it is open.
    [[nodiscard]] std::optional<link_id> linkTo(const std::string &name) const;
    // The peer on the link failed to serve a store call; it gets no further calls until its next heartbeat.
    void markStoreUnreachable(link_id link);
    [[nodiscard]] std::size_t size() const;
    // Whether this daemon has run for the time in which it connects to all peers. Before, it knows few of those alive.
    [[nodiscard]] bool hadTimeToConnect(time_point now) const;
    [[nodiscard]] std::chrono::milliseconds heartbeatInterval() const;

private:
    struct peer
    {
        peers::hello identity;
        peers::heartbeat heartbeat;
        std::optional<time_point> lastHeartbeatAt;
        std::optional<link_id> link; // The outgoing link.
        bool open = false;
        std::optional<time_point> connectAt; // As in m_connects; unset if no attempt is planned.
        time_point connectBegan{};
        std::optional<time_point>
            closedAt; // When the link was last closed or could not be opened; reset by an open one.
        bool unreachable = false; // An attempt to open the link has failed since the last heartbeat.
        struct silence
        {
            time_point since; // As reported.
            time_point reportedAt;
        };

        std::map<std::string, silence> silences; // By the name of the watcher.
        bool wasAlive = false; // As last returned by takeChanges().
        time_point knownSince{};
    };

    [[nodiscard]] bool isFresh(const peer &entry, time_point now) const;
    [[nodiscard]] static bool isWatchedSilent(const peer &entry, time_point now);
    // The reports of its silence that no heartbeat has refuted.
    struct accusation
    {
        std::size_t reports = 0;
        time_point since = time_point::max(); // When the first of them was made.
    };

    [[nodiscard]] static accusation accusationOf(const peer &entry, time_point now);
    [[nodiscard]] static bool isAccused(const peer &entry, time_point now);
    [[nodiscard]] bool isAlive(const peer &entry, time_point now) const;
    [[nodiscard]] bool isReady(const peer &entry, time_point now) const;
    [[nodiscard]] std::vector<std::string> readyPeersWith(const std::function<bool(const peer &)> &condition,
                                                          time_point now) const;
    void applySilences(const std::string &watcher, const std::vector<peers::silence_report> &reports, time_point now);
    // Plans the next attempt to open the link.
    void planLink(const std::string &name, peer &entry, time_point now);
    void connectAt(const std::string &name, peer &entry, std::optional<time_point> when);
    void openDueLinks(time_point now, std::vector<effect> &out);
    // Returns whether there are new ones.
    bool findSilences(time_point now);
    [[nodiscard]] bool hasWatchers() const;
    // Sends the heartbeat to the current watchers, and to the earlier ones without a promise of the next.
    void sendToWatchers(peers::heartbeat own, time_point now, std::vector<effect> &out);
    void sendToAll(const peers::heartbeat &own, std::vector<effect> &out) const;

    peers::hello m_self;
    watcher_ring m_ring;
    std::map<std::string, peer> m_peers;
    std::map<link_id, std::string> m_outgoing;
    std::map<link_id, std::string> m_incoming;
    std::uint64_t m_lastLink = 0;
    std::optional<time_point> m_lastEventAt;
    std::optional<time_point> m_startedAt; // The first event.
    std::set<std::pair<time_point, std::string>> m_connects; // When links are to be opened, by the peer.
    std::vector<std::string> m_newPeers; // Their links are planned when all that came with them are known.
    std::optional<time_point> m_broadcastAt; // When the last heartbeat was sent to all.
    std::optional<time_point> m_heartbeatAt; // When the next one is due.
    std::set<std::string> m_watchers;
    std::optional<time_point> m_watchBeatAt; // When the next heartbeat to the watchers is due.
    std::set<std::string> m_reportedSilent; // Peers whose silence this daemon has noticed as their watcher.
    time_point m_silencesCheckedAt{};
    time_point m_changesCheckedAt{};
    bool m_isAccused = false; // A peer reports the silence of this daemon, which is to be refuted.
};

} // namespace jackdawpick::gateway::internal
