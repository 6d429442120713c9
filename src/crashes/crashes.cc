#include "crashes/crashes.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::crashes
{

bool crash_memory::note(std::uint64_t request, const std::string &endpoint, time_point now)
{
    if (!m_requests.contains(request) && m_requests.size() >= mostRequests) {
        evictOldest();
    }
    auto &value = m_requests[request];
    value.last = now;
    return value.broken.insert(endpoint).second;
}

void crash_memory::evictOldest()
{
    const auto oldest =
        std::ranges::min_element(m_requests, std::less<>(), [](const auto &item) { return item.second.last; });
    m_requests.erase(oldest);
}

bool crash_memory::onBroken(std::uint64_t request, const std::string &endpoint, time_point now)
{
    const bool isNew = note(request, endpoint, now);
    if (isNew) {
        m_reports.push_back({.request = request, .endpoint = endpoint});
    }
    return isNew;
}

bool crash_memory::onAnswered(std::uint64_t request)
{
    const bool wasKnown = m_requests.erase(request) > 0;
    if (wasKnown) {
        m_reports.push_back({.request = request, .endpoint = {}});
    }
    return wasKnown;
}

void crash_memory::onReport(const run_report &report, time_point now)
{
    if (report.endpoint.empty()) {
        m_requests.erase(report.request);
    } else {
        note(report.request, report.endpoint, now);
    }
}

bool crash_memory::isBlocked(std::uint64_t request, time_point now) const
{
    const auto found = m_requests.find(request);
    return found != m_requests.end() && found->second.broken.size() >= endpointsUntilBlocked
        && now - found->second.last < memory;
}

std::vector<run_report> crash_memory::takeReports()
{
    return std::exchange(m_reports, {});
}

void crash_memory::forgetExpired(time_point now)
{
    std::erase_if(m_requests, [now](const auto &item) { return now - item.second.last >= memory; });
}

std::size_t crash_memory::size() const
{
    return m_requests.size();
}

} // namespace jackdawpick::crashes
