#include "crashes/crashes.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace jackdawpick::crashes
{

bool crash_tracker::isSuspect(const request_failures &value)
{
    return value.failed.size() >= endpointsUntilBlocked;
}

bool crash_tracker::isBlocked(const request_failures &value, time_point now)
{
    if (!isSuspect(value)) {
        return false;
    }
    constexpr std::size_t maxDoublings = 4; // Enough for the longest time.
    const auto doublings = std::min(value.failed.size() - endpointsUntilBlocked, maxDoublings);
    return now - value.latest < std::min(retention * (1U << doublings), blockedRetention);
}

bool crash_tracker::isExpired(const request_failures &value, time_point now)
{
    return now - value.latest >= (isSuspect(value) ? blockedRetention : retention);
}

void crash_tracker::noteChange(std::uint64_t request, const request_failures &value)
{
    m_changed.insert(request);
    const auto needed = std::min(value.failed.size(), endpointsUntilBlocked);
    if (needed >= endpointsUntilStored && value.storedFailures < needed) {
        m_unstored.insert(request);
    } else {
        m_unstored.erase(request);
    }
}

bool crash_tracker::recordFailure(std::uint64_t request, const endpoint_incarnation &endpoint, time_point at)
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() && m_requests.size() >= maxRequests) {
        evictLeastTelling();
    } else if (known != m_requests.end() && known->second.completedAt.value_or(time_point::min()) >= at) {
        return false;
    }
    auto &value = m_requests[request];
    value.latest = std::max(value.latest, at);
    const auto [place, isNew] = value.failed.try_emplace(endpoint, at);
    place->second = std::max(place->second, at);
    noteChange(request, value);
    return isNew;
}

bool crash_tracker::recordCompletion(std::uint64_t request, time_point at)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        return false;
    }
    auto &value = found->second;
    value.completedAt = std::max(value.completedAt.value_or(at), at);
    value.latest = std::max(value.latest, at);
    const bool withdrawn = std::erase_if(value.failed, [at](const auto &failure) { return failure.second <= at; }) > 0;
    noteChange(request, value);
    return withdrawn;
}

void crash_tracker::evictLeastTelling()
{
    const auto least = std::ranges::min_element(m_requests, std::less<>(), [](const auto &item) {
        const auto &value = item.second;
        return std::tuple(isSuspect(value), value.failed.size(), value.latest);
    });
    m_unstored.erase(least->first);
    m_requests.erase(least);
}

bool crash_tracker::onEndpointFailed(std::uint64_t request, const endpoint_incarnation &endpoint, time_point now)
{
    const bool isNew = recordFailure(request, endpoint, now);
    if (isNew) {
        m_reports.push_back({.request = request, .failed = endpoint});
    }
    return isNew;
}

void crash_tracker::onOutcomeUnknown(std::uint64_t request, const endpoint_incarnation &endpoint, time_point now)
{
    if (m_suspicions.size() >= maxSuspicions) {
        m_suspicions.pop_front();
    }
    m_suspicions.push_back({.request = request, .endpoint = endpoint, .at = now});
}

std::vector<std::uint64_t> crash_tracker::onEndpointGone(const std::string &id, time_point now)
{
    std::vector<std::uint64_t> counted;
    std::erase_if(m_suspicions, [&](const suspicion &entry) {
        if (entry.endpoint.id != id) {
            return false;
        }
        if (now - entry.at < suspicionTime && onEndpointFailed(entry.request, entry.endpoint, now)) {
            counted.push_back(entry.request);
        }
        return true;
    });
    return counted;
}

std::set<std::string> crash_tracker::suspectedEndpoints() const
{
    std::set<std::string> ids;
    std::ranges::transform(m_suspicions, std::inserter(ids, ids.end()),
                           [](const suspicion &entry) { return entry.endpoint.id; });
    return ids;
}

bool crash_tracker::onCompleted(std::uint64_t request, time_point now)
{
    const bool withdrawn = recordCompletion(request, now);
    if (withdrawn) {
        m_reports.push_back({.request = request, .failed = std::nullopt});
    }
    return withdrawn;
}

void crash_tracker::onReport(const run_report &report, time_point now)
{
    if (report.failed.has_value()) {
        recordFailure(report.request, *report.failed, now - report.age);
    } else {
        recordCompletion(report.request, now - report.age);
    }
}

bool crash_tracker::isBlocked(std::uint64_t request, time_point now) const
{
    const auto found = m_requests.find(request);
    return found != m_requests.end() && isBlocked(found->second, now);
}

std::size_t crash_tracker::blockedCount(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_requests, [now](const auto &item) { return isBlocked(item.second, now); }));
}

std::vector<run_report> crash_tracker::takeReports()
{
    return std::exchange(m_reports, {});
}

std::vector<block_change> crash_tracker::takeChanges()
{
    std::vector<block_change> changes;
    for (const auto request : std::exchange(m_changed, {})) {
        const auto found = m_requests.find(request);
        if (found == m_requests.end()) {
            continue;
        }
        auto &value = found->second;
        const bool blocked = isSuspect(value);
        if (std::exchange(value.reportedBlocked, blocked) != blocked) {
            changes.push_back({.request = request, .blocked = blocked, .failures = value.failed.size()});
        }
    }
    return changes;
}

void crash_tracker::appendReports(std::uint64_t request, const request_failures &value, time_point now,
                                  std::vector<run_report> &out)
{
    if (value.completedAt.has_value()) {
        out.push_back(
            {.request = request, .failed = std::nullopt, .age = millisecondsBetween(*value.completedAt, now)});
    }
    std::ranges::transform(value.failed, std::back_inserter(out), [&](const auto &failure) {
        return run_report{.request = request, .failed = failure.first, .age = millisecondsBetween(failure.second, now)};
    });
}

std::vector<run_report> crash_tracker::allReports(time_point now) const
{
    std::vector<run_report> reports;
    for (const auto &[request, value] : m_requests) {
        appendReports(request, value, now, reports);
    }
    return reports;
}

const std::set<std::uint64_t> &crash_tracker::unstored() const
{
    return m_unstored;
}

std::vector<run_report> crash_tracker::reportsOf(std::uint64_t request, time_point now) const
{
    std::vector<run_report> reports;
    if (const auto found = m_requests.find(request); found != m_requests.end()) {
        appendReports(request, found->second, now, reports);
    }
    return reports;
}

void crash_tracker::onStored(std::uint64_t request, std::size_t failures)
{
    if (const auto found = m_requests.find(request); found != m_requests.end()) {
        found->second.storedFailures = failures;
        noteChange(request, found->second);
    }
}

bool crash_tracker::isStored(std::uint64_t request) const
{
    const auto found = m_requests.find(request);
    return found != m_requests.end() && found->second.storedFailures > 0;
}

std::vector<std::uint64_t> crash_tracker::evictExpired(time_point now)
{
    std::vector<std::uint64_t> stored;
    std::erase_if(m_requests, [&](const auto &item) {
        const bool expired = isExpired(item.second, now);
        if (expired && item.second.storedFailures > 0) {
            stored.push_back(item.first);
        }
        if (expired) {
            m_unstored.erase(item.first);
        }
        return expired;
    });
    while (!m_suspicions.empty() && now - m_suspicions.front().at >= suspicionTime) {
        m_suspicions.pop_front();
    }
    return stored;
}

std::size_t crash_tracker::size() const
{
    return m_requests.size();
}

} // namespace jackdawpick::crashes
