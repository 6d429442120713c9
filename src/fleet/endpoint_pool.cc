#include "fleet/fleet.h"

#include <algorithm>
#include <numeric>

namespace jackdawpick::fleet
{

namespace
{

// Loads of a peer that has not reported for this long are no longer counted.
constexpr std::chrono::milliseconds peerReportLife{2000};
// Part of the connections that an endpoint accepts which the daemons use together, so that a daemon that has just
// started finds some left.
constexpr double usedConnections = 0.8;
constexpr double smoothing = 0.1; // Weight of the newest service time.
constexpr double eventSmoothing = 0.2; // Weight of the newest time between two events.

} // namespace

bool endpoint_pool::upsert(const endpoint_entry &entry, time_point now)
{
    forgetGone(now);
    auto &value = m_endpoints[entry.id];
    const bool isNew = value.entry != entry || value.goneAt.has_value();
    if (value.entry.address != entry.address) {
        value.failures = 0;
        value.pausedUntil = {};
    }
    value.entry = entry;
    value.goneAt.reset();
    return isNew;
}

void endpoint_pool::remove(const std::string &id, bool mayHaveLapsed, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.goneAt.has_value()) {
        return;
    }
    found->second.goneAt = mayHaveLapsed ? now + lapseGrace : now;
}

void endpoint_pool::keepOnly(const std::set<std::string> &listed, bool mayHaveLapsed, time_point now)
{
    for (const auto &[id, value] : m_endpoints) {
        if (!listed.contains(id)) {
            remove(id, mayHaveLapsed, now);
        }
    }
}

void endpoint_pool::markLeaving(const std::string &id)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        found->second.leaving = true;
    }
}

void endpoint_pool::setConnectionLimit(const std::string &service, std::uint32_t maxConnections, std::size_t daemons)
{
    if (maxConnections == 0) {
        m_connectionLimits.erase(service);
        return;
    }
    const double share = usedConnections * maxConnections / static_cast<double>(std::max<std::size_t>(daemons, 1));
    m_connectionLimits[service] = std::max<std::uint32_t>(static_cast<std::uint32_t>(share), 1);
}

void endpoint_pool::setPeerLoads(const std::string &peer, const endpoint_loads &loads, time_point now)
{
    m_peers[peer] = {.loads = {loads.begin(), loads.end()}, .reported = now};
}

void endpoint_pool::removePeer(const std::string &peer)
{
    m_peers.erase(peer);
}

void endpoint_pool::onDispatched(const std::string &id, time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &value = found->second;
    ++value.inFlight;
    if (value.inFlight >= value.recentPeak || now - value.peakAt > keptConnectionLife) {
        value.recentPeak = value.inFlight;
        value.peakAt = now;
    }
}

void endpoint_pool::onFinished(const std::string &id, request_outcome how, std::chrono::milliseconds took,
                               time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &value = found->second;
    value.inFlight -= value.inFlight > 0 ? 1 : 0;
    if (how == request_outcome::Answered) {
        const auto time = static_cast<double>(took.count());
        value.serviceMilliseconds = value.serviceMilliseconds.value_or(time) * (1 - smoothing) + time * smoothing;
        value.failures = 0;
        value.pausedUntil = {};
    } else if (how == request_outcome::Unreachable || how == request_outcome::ConnectionLost) {
        const auto pause = firstPause * (1U << std::min(value.failures, 8U));
        // One lost answer says little of the endpoint; a second one in a row, or no connection at all, says more.
        if (how == request_outcome::Unreachable || value.failures > 0) {
            value.pausedUntil = now + std::min<std::chrono::milliseconds>(pause, longestPause);
        }
        ++value.failures;
    }
    forgetGone(now);
}

void endpoint_pool::onStreamEvents(const std::string &id, std::uint32_t count, std::chrono::milliseconds took,
                                   time_point now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || count == 0) {
        return;
    }
    auto &value = found->second;
    const double gap = static_cast<double>(took.count()) / count;
    value.eventMilliseconds = value.eventMilliseconds.value_or(gap) * (1 - eventSmoothing) + gap * eventSmoothing;
    value.eventsSeen = now;
}

endpoint_loads endpoint_pool::localLoads() const
{
    endpoint_loads loads;
    for (const auto &[id, value] : m_endpoints) {
        if (value.inFlight > 0) {
            loads.emplace_back(id, value.inFlight);
        }
    }
    return loads;
}

double endpoint_pool::utilisation(const std::string &service, time_point now) const
{
    const auto usual = usualTimes(service);
    double inFlight = 0;
    double slots = 0;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == service && isUsable(value, now)) {
            inFlight += totalInFlight(value, now);
            slots += std::max(value.entry.slots, 1U) / slownessOf(value, usual, now);
        }
    }
    return slots > 0 ? inFlight / slots : 0;
}

std::size_t endpoint_pool::size() const
{
    return m_endpoints.size();
}

bool endpoint_pool::isUsable(const endpoint &value, time_point now) const
{
    return !value.entry.draining && !value.leaving && (!value.goneAt.has_value() || *value.goneAt > now);
}

std::uint32_t endpoint_pool::totalInFlight(const endpoint &value, time_point now) const
{
    return std::accumulate(m_peers.begin(), m_peers.end(), value.inFlight, [&](std::uint32_t sum, const auto &peer) {
        if (now - peer.second.reported > peerReportLife) {
            return sum;
        }
        const auto found = peer.second.loads.find(value.entry.id);
        return found == peer.second.loads.end() ? sum : sum + found->second;
    });
}

std::uint32_t endpoint_pool::connectionLimit(const std::string &service) const
{
    const auto found = m_connectionLimits.find(service);
    return found == m_connectionLimits.end() ? UINT32_MAX : found->second;
}

// Endpoints stay until their last request has ended.
void endpoint_pool::forgetGone(time_point now)
{
    std::erase_if(m_endpoints, [now](const auto &entry) {
        const auto &value = entry.second;
        return value.goneAt.has_value() && *value.goneAt <= now && value.inFlight == 0;
    });
}

} // namespace jackdawpick::fleet
