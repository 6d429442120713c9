#include "reachability/reachability.h"

#include <algorithm>

namespace jackdawpick::reachability
{

void path_monitor::onConnectFailed(const std::string &endpoint, time_point now)
{
    std::erase_if(m_failures, [now](const auto &entry) { return now - entry.second > failureWindow; });
    m_failures[endpoint] = now;
    if (m_failures.size() >= failedEndpointsUntilProbe) {
        requestProbes(now);
    }
}

void path_monitor::onSilence(time_point now)
{
    requestProbes(now);
}

void path_monitor::requestProbes(time_point now)
{
    if (m_probesLeft == 0 && !m_probeAt.has_value()) {
        m_probeAt = m_checkedAt == time_point() ? now : std::max(now, m_checkedAt + minTimeBetweenChecks);
    }
}

bool path_monitor::isProbeDue(time_point now) const
{
    return m_probeAt.has_value() && *m_probeAt <= now;
}

std::optional<time_point> path_monitor::nextProbe() const
{
    return m_probeAt;
}

void path_monitor::beginProbes(std::size_t count, time_point now)
{
    m_probes = count;
    m_probesLeft = count;
    m_reached = 0;
    m_probeAt.reset();
    if (count == 0 && m_cutOff) {
        m_probeAt = now + probeInterval; // No endpoint is known at the moment.
    }
}

path_change path_monitor::onProbeFinished(bool reached, time_point now)
{
    if (m_probesLeft == 0) {
        return path_change::None;
    }
    m_reached += reached ? 1 : 0;
    if (--m_probesLeft > 0) {
        return path_change::None;
    }
    const bool wasCutOff = m_cutOff;
    m_cutOff = wasCutOff ? m_reached * 2 <= m_probes : m_reached == 0;
    if (m_cutOff) {
        m_probeAt = now + probeInterval;
        return wasCutOff ? path_change::None : path_change::Lost;
    }
    m_checkedAt = now;
    m_failures.clear();
    return wasCutOff ? path_change::Regained : path_change::None;
}

bool path_monitor::isCutOff() const
{
    return m_cutOff;
}

} // namespace jackdawpick::reachability
