#include "crashes/crashes.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace jackdawpick::crashes
{

crash_tracker::crash_tracker(std::chrono::milliseconds endpointHeartbeat)
    : m_survivalTime(heartbeatsUntilUnlisted * endpointHeartbeat)
{
}

std::optional<time_point> crash_tracker::latestCompletion(const request_failures &value)
{
    const auto latest =
        std::ranges::max_element(value.completed, std::less<>(), [](const auto &item) { return item.second; });
    return latest == value.completed.end() ? std::nullopt : std::optional(latest->second);
}

std::size_t crash_tracker::commonFailures(const request_failures &value)
{
    const auto completed = latestCompletion(value);
    return static_cast<std::size_t>(std::ranges::count_if(
        value.failed, [&](const auto &item) { return !completed.has_value() || item.second.at > *completed; }));
}

std::size_t crash_tracker::failuresOf(const request_failures &value, std::uint64_t caller)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(value.failed, [caller](const auto &item) { return item.second.caller == caller; }));
}

std::size_t crash_tracker::mostFailures(const request_failures &value)
{
    std::size_t most = commonFailures(value);
    for (const auto &[endpoint, entry] : value.failed) {
        most = std::max(most, failuresOf(value, entry.caller));
    }
    return most;
}

bool crash_tracker::isSuspect(const request_failures &value)
{
    return mostFailures(value) >= endpointsUntilBlocked;
}

bool crash_tracker::isBlocked(std::size_t failures, time_point latest, time_point now)
{
    if (failures < endpointsUntilBlocked) {
        return false;
    }
    constexpr std::size_t maxDoublings = 4; // Enough for the longest time.
    const auto doublings = std::min(failures - endpointsUntilBlocked, maxDoublings);
    return now - latest < std::min(retention * (1U << doublings), blockedRetention);
}

bool crash_tracker::isExpired(const request_failures &value, time_point now)
{
    return now - value.latest >= (isSuspect(value) ? blockedRetention : retention);
}

void crash_tracker::noteChange(std::uint64_t content, const request_failures &value)
{
    m_changed.insert(content);
    const auto needed = std::min(value.failed.size(), endpointsUntilBlocked);
    if (needed >= endpointsUntilStored && value.storedFailures.value_or(0) < needed) {
        m_unstored.insert(content);
    } else {
        m_unstored.erase(content);
    }
}

bool crash_tracker::recordFailure(const request_identity &request, const endpoint_incarnation &endpoint, time_point at)
{
    if (m_survivals.lastOf(request).value_or(time_point::min()) >= at) {
        return false;
    }
    const auto known = m_requests.find(request.content);
    if (known == m_requests.end() && m_requests.size() >= maxRequests) {
        evictLeastTelling();
    } else if (known != m_requests.end()) {
        const auto completed = known->second.completed.find(request.caller);
        if (completed != known->second.completed.end() && completed->second >= at) {
            return false;
        }
    }
    auto &value = m_requests[request.content];
    if (known == m_requests.end()) {
        value.completed = m_survivals.ofContent(request.content);
    }
    value.latest = std::max(value.latest, at);
    const auto [place, isNew] = value.failed.try_emplace(endpoint, failure{request.caller, at});
    place->second.at = std::max(place->second.at, at);
    noteChange(request.content, value);
    return isNew;
}

bool crash_tracker::recordCompletion(const request_identity &request, time_point at)
{
    const auto found = m_requests.find(request.content);
    if (found == m_requests.end()) {
        return false;
    }
    auto &value = found->second;
    if (value.completed.size() >= maxCompletions && !value.completed.contains(request.caller)) {
        value.completed.erase(
            std::ranges::min_element(value.completed, std::less<>(), [](const auto &item) { return item.second; }));
    }
    auto &completedAt = value.completed.try_emplace(request.caller, at).first->second;
    completedAt = std::max(completedAt, at);
    value.latest = std::max(value.latest, at);
    const auto countedBefore = commonFailures(value);
    const bool withdrawn =
        std::erase_if(value.failed,
                      [&](const auto &item) { return item.second.caller == request.caller && item.second.at <= at; })
        > 0;
    noteChange(request.content, value);
    return withdrawn || commonFailures(value) < countedBefore;
}

void crash_tracker::noteForgotten(std::uint64_t content, const request_failures &value)
{
    m_unstored.erase(content);
    if (value.reportedBlocked) {
        m_forgotten.push_back({.content = content, .blocked = false, .failures = mostFailures(value)});
    }
}

void crash_tracker::evictLeastTelling()
{
    const auto least = std::ranges::min_element(m_requests, std::less<>(), [](const auto &item) {
        const auto &value = item.second;
        return std::tuple(isSuspect(value), value.failed.size(), value.latest);
    });
    noteForgotten(least->first, least->second);
    m_requests.erase(least);
}

bool crash_tracker::onCompleted(const request_identity &request, time_point now)
{
    return recordAndReportCompletion(request, now, now);
}

bool crash_tracker::recordAndReportCompletion(const request_identity &request, time_point at, time_point now)
{
    m_survivals.add(request, at);
    const bool withdrawn = recordCompletion(request, at);
    if (withdrawn) {
        m_reports.push_back({.request = request, .failed = std::nullopt, .age = millisecondsBetween(at, now)});
    }
    return withdrawn;
}

void crash_tracker::onReport(const run_report &report, time_point now)
{
    if (report.failed.has_value()) {
        const auto at = now - report.age;
        recordFailure(report.request, *report.failed, at);
        for (const auto &survival : survivalsOf(report.request.content, now)) {
            if (now - survival.age >= at) {
                m_refuted.insert(report.request.content);
                recordCompletion(survival.request, now - survival.age);
            }
        }
    } else {
        recordCompletion(report.request, now - report.age);
        m_runs.eraseIf(m_runs.ofContent(report.request.content), [&](const internal::open_run &run) {
            return run.source == internal::run_source::Reported && run.request == report.request
                && run.sentAt <= now - report.age;
        });
    }
}

bool crash_tracker::isBlocked(const request_identity &request, time_point now) const
{
    const auto found = m_requests.find(request.content);
    if (found == m_requests.end()) {
        return false;
    }
    const auto &value = found->second;
    const auto own = failuresOf(value, request.caller);
    const bool isProven = own == 0 && (value.completed.contains(request.caller) || isAnswered(request));
    const auto failures = isProven ? 0 : std::max(own, commonFailures(value));
    if (failures < endpointsUntilBlocked) {
        return false;
    }
    // After a block, one run at a time shows whether the request still crashes endpoints.
    return isBlocked(failures, value.latest, now) || isOnTrial(request.content, value, now);
}

bool crash_tracker::isSuspect(std::uint64_t content) const
{
    const auto found = m_requests.find(content);
    return found != m_requests.end() && isSuspect(found->second);
}

std::size_t crash_tracker::blockedCount(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_requests, [now](const auto &item) { return isBlocked(mostFailures(item.second), item.second.latest, now); }));
}

std::vector<run_report> crash_tracker::takeReports()
{
    return std::exchange(m_reports, {});
}

std::vector<run_report> crash_tracker::takeFirstReports()
{
    return std::exchange(m_firstReports, {});
}

std::set<std::uint64_t> crash_tracker::takeRefuted()
{
    return std::exchange(m_refuted, {});
}

std::vector<run_report> crash_tracker::survivalsOf(std::uint64_t content, time_point now) const
{
    std::vector<run_report> reports;
    std::ranges::transform(m_survivals.ofContent(content), std::back_inserter(reports), [&](const auto &item) {
        return run_report{.request = {content, item.first},
                          .failed = std::nullopt,
                          .age = millisecondsBetween(std::min(item.second + m_survivalTime, now), now)};
    });
    return reports;
}

bool crash_tracker::hasFailures(std::uint64_t content) const
{
    const auto found = m_requests.find(content);
    return found != m_requests.end() && !found->second.failed.empty();
}

std::vector<block_change> crash_tracker::takeChanges()
{
    auto changes = std::exchange(m_forgotten, {});
    for (const auto content : std::exchange(m_changed, {})) {
        const auto found = m_requests.find(content);
        if (found == m_requests.end()) {
            continue;
        }
        auto &value = found->second;
        const auto failures = mostFailures(value);
        const bool blocked = failures >= endpointsUntilBlocked;
        if (std::exchange(value.reportedBlocked, blocked) != blocked) {
            changes.push_back({.content = content, .blocked = blocked, .failures = failures});
        }
    }
    return changes;
}

void crash_tracker::appendReports(std::uint64_t content, const request_failures &value, time_point now,
                                  std::vector<run_report> &out)
{
    std::ranges::transform(value.completed, std::back_inserter(out), [&](const auto &completion) {
        return run_report{.request = {content, completion.first},
                          .failed = std::nullopt,
                          .age = millisecondsBetween(completion.second, now)};
    });
    std::ranges::transform(value.failed, std::back_inserter(out), [&](const auto &item) {
        return run_report{.request = {content, item.second.caller},
                          .failed = item.first,
                          .age = millisecondsBetween(item.second.at, now)};
    });
}

std::vector<run_report> crash_tracker::allReports(time_point now) const
{
    std::vector<run_report> reports;
    for (const auto &[content, value] : m_requests) {
        appendReports(content, value, now, reports);
    }
    return reports;
}

const std::set<std::uint64_t> &crash_tracker::unstored() const
{
    return m_unstored;
}

std::vector<run_report> crash_tracker::reportsOf(std::uint64_t content, time_point now) const
{
    std::vector<run_report> reports;
    if (const auto found = m_requests.find(content); found != m_requests.end()) {
        appendReports(content, found->second, now, reports);
    }
    return reports;
}

void crash_tracker::onStored(std::uint64_t content, std::size_t failures)
{
    if (const auto found = m_requests.find(content); found != m_requests.end()) {
        found->second.storedFailures = failures;
        noteChange(content, found->second);
    }
}

void crash_tracker::onRecordDeleted(std::uint64_t content, time_point now)
{
    const auto found = m_requests.find(content);
    if (found == m_requests.end()) {
        return;
    }
    found->second.storedFailures.reset();
    noteChange(content, found->second);
    if (now - found->second.latest > retention / 2) {
        m_unstored.erase(content);
    }
}

bool crash_tracker::isStored(std::uint64_t content) const
{
    const auto found = m_requests.find(content);
    return found != m_requests.end() && found->second.storedFailures.has_value();
}

std::vector<std::uint64_t> crash_tracker::evictExpired(time_point now, const liveness_check &isAlive)
{
    settleRuns(now, isAlive);
    m_survivals.eraseBefore(now - retention);
    m_runs.eraseIf(m_runs.all(), [now](const internal::open_run &run) { return now - run.endedAt >= suspicionTime; });
    std::vector<std::uint64_t> stored;
    std::erase_if(m_requests, [&](const auto &item) {
        const bool expired = isExpired(item.second, now);
        if (expired && item.second.storedFailures.has_value()) {
            stored.push_back(item.first);
        }
        if (expired) {
            noteForgotten(item.first, item.second);
        }
        return expired;
    });
    return stored;
}

std::size_t crash_tracker::size() const
{
    return m_requests.size();
}

} // namespace jackdawpick::crashes
