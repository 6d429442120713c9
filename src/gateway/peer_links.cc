// The links to the other daemons, and the heartbeats on them.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

// Lines about single deaths that were noticed at about the same time.
constexpr std::size_t maxDeathLines = 4;

} // namespace

void gateway::implementation::on(const link_opened &received, time_point now)
{
    m_peers.onOpened(received, ownHeartbeat(now), m_effects);
    if (!received.incoming) {
        sendTurnMarks(received.link, now);
        sendKnownCrashes(received.link, now);
    }
}

void gateway::implementation::on(const link_message &received, time_point now)
{
    std::visit([&](const auto &message) { on(received.link, message, now); }, received.content);
}

void gateway::implementation::on(link_id link, const peers::hello &message, time_point now)
{
    m_peers.onHello(link, message, now);
}

void gateway::implementation::on(link_id link, const peers::heartbeat &message, time_point now)
{
    const auto peer = m_peers.nameOf(link);
    m_peers.onHeartbeat(link, message, now);
    m_pool.setPeerLoads(peer, message.loads, now);
    m_pool.applySpeedSamples(peer, message.speeds, now);
    applyLimitReports(peer, message.limits, now);
    applyLeavingReports(peer, message.leaving, now);
}

void gateway::implementation::on(link_id link, const peers::store_request &message, time_point now)
{
    startStoreCall(internal::peer_owner{link, message.id}, message.what, now);
}

void gateway::implementation::on(link_id link, const peers::store_response &message, time_point /*now*/)
{
    if (!m_store.onRelayReply(link, message)) {
        m_peers.markStoreUnreachable(link);
    }
}

void gateway::implementation::on(const link_closed &received, time_point now)
{
    m_store.onLinkClosed(received.link);
    abandonPeerRequests(received.link, now);
    abandonQuotaRequests(received.link, now);
    onRelayLost(received.link, now);
    cancelRelayedFor(received.link, now);
    const auto name = m_peers.onClosed(received.link, now);
    if (!name.empty()) {
        sendUsagesAgain(name, now);
        noteSenderLost(name, now);
        log(log_level::Warning, "peer_link_closed", {{"peer", name}});
    }
}

peers::heartbeat gateway::implementation::ownHeartbeat(time_point now) const
{
    return {.ready = ready(),
            .storeReachable = m_store.paths().isDirectPathUp(now),
            .endpointsUnreachable = m_paths.isCutOff(),
            .configuration = m_table == nullptr ? 0 : m_table->source().version,
            .loads = m_pool.localLoads(),
            .limits = m_limits.ownReports(now),
            .leaving = m_pool.leavingStatements(),
            .silent = m_peers.silencesToReport(now),
            .speeds = m_pool.recentSpeedSamples(now)};
}

void gateway::implementation::requestHeartbeat(internal::peer_table::urgency due)
{
    m_heartbeatDue = std::max(m_heartbeatDue, due);
}

void gateway::implementation::onResumed(std::chrono::milliseconds pause, time_point now)
{
    log(log_level::Warning, "resumed", {{"paused_ms", pause.count()}});
    // Another daemon may have issued the permits meanwhile.
    m_permits.issueFor({}, now);
    m_assignPermitsAt = now;
    resumeQuotas(now);
}

// One line for all that have changed at about the same time, and one for each of the first that have died: when most
// hosts lose power, each daemon would write a line for each of them.
void gateway::implementation::logPeerChanges(const std::vector<internal::peer_table::liveness_change> &changes,
                                             time_point now)
{
    if (changes.empty()) {
        return;
    }
    std::size_t deaths = 0;
    for (const auto &change : changes) {
        if (!change.alive && ++deaths <= maxDeathLines) {
            log(log_level::Info, "peer_dead",
                {{"peer", change.name},
                 {"silent_ms", change.silentFor.count()},
                 {"reports", change.reports},
                 {"unreachable", change.unreachable}});
        }
    }
    log(log_level::Info, "peers_changed",
        {{"died", deaths}, {"came_alive", changes.size() - deaths}, {"alive", m_peers.aliveCount(now)}});
}

void gateway::implementation::tickPeers(time_point now)
{
    const auto due = std::exchange(m_heartbeatDue, internal::peer_table::urgency::Regular);
    m_peers.tick([&] { return ownHeartbeat(now); }, due, now, m_effects);
    // Checked here rather than on a heartbeat: after the death of the last peer none arrives.
    const auto changes = m_peers.takeChanges(now);
    logPeerChanges(changes, now);
    for (const auto &change : changes) {
        if (!change.alive) {
            m_pool.removePeer(change.name);
            sendUsagesAgain(change.name, now);
            noteSenderLost(change.name, now);
        }
    }
    if (!changes.empty()) {
        m_quotas.rankAt = now;
        applyConnectionLimits(now);
    }
    assignPermits(now);
}

} // namespace jackdawpick::gateway
