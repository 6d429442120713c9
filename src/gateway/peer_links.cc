// The links to the other daemons, and the heartbeats on them.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

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
    onRelayLost(received.link, now);
    cancelRelayedFor(received.link, now);
    const auto name = m_peers.onClosed(received.link, now);
    if (!name.empty()) {
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
            .leaving = m_pool.leavingStatements()};
}

void gateway::implementation::tickPeers(time_point now)
{
    m_peers.tick(ownHeartbeat(now), std::exchange(m_heartbeatDue, false), now, m_effects);
    // Checked here rather than on a heartbeat: after the death of the last peer none arrives.
    if (m_peers.aliveCount(now) + 1 != m_connectionSharers) {
        applyConnectionLimits(now);
    }
    assignPermits(now);
}

} // namespace jackdawpick::gateway
