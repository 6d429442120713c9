#include "crashes/crashes.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::crashes
{

bool crash_tracker::recordFailure(std::uint64_t request, const std::string &endpoint, time_point now)
{
    if (!m_requests.contains(request) && m_requests.size() >= maxRequests) {
        evictOldest();
    }
    auto &failures = m_requests[request];
    failures.lastFailure = now;
    return failures.failedEndpoints.insert(endpoint).second;
}

void crash_tracker::evictOldest()
{
    const auto oldest =
        std::ranges::min_element(m_requests, std::less<>(), [](const auto &item) { return item.second.lastFailure; });
    m_requests.erase(oldest);
}

bool crash_tracker::onEndpointFailed(std::uint64_t request, const std::string &endpoint, time_point now)
{
    const bool isNew = recordFailure(request, endpoint, now);
    if (isNew) {
        m_reports.push_back({.request = request, .endpoint = endpoint});
    }
    return isNew;
}

bool crash_tracker::onCompleted(std::uint64_t request)
{
    const bool wasKnown = m_requests.erase(request) > 0;
    if (wasKnown) {
        m_reports.push_back({.request = request, .endpoint = {}});
    }
    return wasKnown;
}

void crash_tracker::onReport(const run_report &report, time_point now)
{
    if (report.endpoint.empty()) {
        m_requests.erase(report.request);
    } else {
        recordFailure(report.request, report.endpoint, now);
    }
}

bool crash_tracker::isBlocked(std::uint64_t request, time_point now) const
{
    const auto found = m_requests.find(request);
    return found != m_requests.end() && found->second.failedEndpoints.size() >= endpointsUntilBlocked
        && now - found->second.lastFailure < retention;
}

std::vector<run_report> crash_tracker::takeReports()
{
    return std::exchange(m_reports, {});
}

void crash_tracker::evictExpired(time_point now)
{
    std::erase_if(m_requests, [now](const auto &item) { return now - item.second.lastFailure >= retention; });
}

std::size_t crash_tracker::size() const
{
    return m_requests.size();
}

} // namespace jackdawpick::crashes
