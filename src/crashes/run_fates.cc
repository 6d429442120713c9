// The part of crash_tracker that joins the ends of runs with the fates of their endpoints.

#include "crashes/crashes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawpick::crashes
{

using internal::open_run;
using internal::run_end;
using internal::run_source;

namespace
{

bool isSuccess(const open_run &run)
{
    return run.end == run_end::Answered || run.end == run_end::UnprovenEnd;
}

// The run of which another daemon has told, as far as the notice says.
open_run runOf(const run_notice &notice, run_source source, time_point now)
{
    const auto at = now - notice.age;
    return {.request = notice.request, .endpoint = notice.endpoint, .sentAt = at, .endedAt = at, .source = source};
}

} // namespace

void crash_tracker::onSent(const request_identity &request, const endpoint_incarnation &endpoint, time_point now)
{
    const bool hasFailed = hasFailures(request.content);
    m_runs.add({.request = request, .endpoint = endpoint, .sentAt = now, .endedAt = now, .backedUp = hasFailed});
    if (hasFailed) {
        m_suspectRuns.push_back({.notice = {.request = request, .endpoint = endpoint}, .since = now});
    }
}

void crash_tracker::onNotRun(const request_identity &request, const endpoint_incarnation &endpoint)
{
    const auto *underWay = m_runs.findUnderWay(request, endpoint);
    m_runs.eraseIf(m_runs.ofContent(request.content), [underWay](const open_run &run) { return &run == underWay; });
}

bool crash_tracker::onEndpointFailed(const request_identity &request, const endpoint_incarnation &endpoint,
                                     time_point now)
{
    onNotRun(request, endpoint);
    const bool isNew = recordFailure(request, endpoint, now);
    if (isNew) {
        m_reports.push_back({.request = request, .failed = endpoint});
    }
    return isNew;
}

void crash_tracker::endRun(const request_identity &request, const endpoint_incarnation &endpoint, run_end end,
                           time_point now)
{
    if (auto *run = m_runs.findUnderWay(request, endpoint); run != nullptr) {
        run->end = end;
        run->endedAt = now;
    } else {
        m_runs.add({.request = request, .endpoint = endpoint, .sentAt = now, .endedAt = now, .end = end});
    }
}

bool crash_tracker::onOutcomeUnknown(const request_identity &request, const endpoint_incarnation &endpoint,
                                     time_point now)
{
    const auto *run = m_runs.findUnderWay(request, endpoint);
    if (run != nullptr && run->endpointGone) {
        return onEndpointFailed(request, endpoint, now);
    }
    endRun(request, endpoint, run_end::Unanswered, now);
    return false;
}

void crash_tracker::onUnprovenEnd(const request_identity &request, const endpoint_incarnation &endpoint, time_point now)
{
    endRun(request, endpoint, run_end::UnprovenEnd, now);
    m_unprovenEnds.push_back({.notice = {.request = request, .endpoint = endpoint}, .since = now});
}

void crash_tracker::onAnswered(const request_identity &request, const endpoint_incarnation &endpoint, time_point now)
{
    const auto *run = m_runs.findUnderWay(request, endpoint);
    if (run != nullptr && run->endpointGone) { // It still serves, although it is not listed any more.
        onNotRun(request, endpoint);
        onCompleted(request, now);
        return;
    }
    endRun(request, endpoint, run_end::Answered, now);
}

void crash_tracker::onUnprovenReport(const run_notice &report, time_point now)
{
    auto run = runOf(report, run_source::Reported, now);
    run.end = run_end::UnprovenEnd;
    m_runs.add(std::move(run));
}

void crash_tracker::onBackup(const run_notice &notice, const std::string &sender, bool isListed, time_point now)
{
    auto run = runOf(notice, run_source::Backup, now);
    run.sender = sender;
    run.endpointGone = !isListed;
    m_runs.add(std::move(run));
}

std::vector<std::uint64_t> crash_tracker::onSenderLost(const std::string &sender, time_point now)
{
    std::vector<std::uint64_t> counted;
    m_runs.eraseIf(m_runs.all(), [&](open_run &run) {
        if (run.source != run_source::Backup || run.sender != sender) {
            return false;
        }
        run.sender.clear();
        if (run.endpointGone && countRun(run, true, now)) {
            counted.push_back(run.request.content);
        }
        return run.endpointGone;
    });
    return counted;
}

bool crash_tracker::countRun(const open_run &run, bool reports, time_point now)
{
    const auto survivedAt = m_survivals.lastOf(run.request);
    const bool isRefuted = survivedAt.has_value() && *survivedAt + m_survivalTime >= run.endedAt;
    const bool isOld = now - run.endedAt >= suspicionTime;
    const bool isNew = !isRefuted && !isOld && recordFailure(run.request, run.endpoint, run.endedAt);
    if (isNew && reports) {
        // Each endpoint that ends has just answered many daemons: that alone is not told to all of them.
        const bool isWeak =
            run.end == run_end::Answered && m_requests.at(run.request.content).failed.size() < endpointsUntilStored;
        (isWeak ? m_firstReports : m_reports)
            .push_back({.request = run.request, .failed = run.endpoint, .age = millisecondsBetween(run.endedAt, now)});
    }
    return isNew;
}

bool crash_tracker::endsWithEndpoint(open_run &run, gone_evidence evidence, time_point now,
                                     std::vector<std::uint64_t> &counted)
{
    const bool isListing = evidence == gone_evidence::Listing;
    const bool waitsForEnd = run.source == run_source::Own && run.isUnderWay();
    const bool waitsForSender = run.source == run_source::Backup && !run.sender.empty();
    if (waitsForEnd || waitsForSender) {
        run.endpointGone = run.endpointGone || isListing;
        return false;
    }
    // An endpoint that takes no connections may be full; of one that has answered, or long afterwards, that tells
    // little.
    if (!isListing && (run.end == run_end::Answered || now - run.endedAt >= m_survivalTime)) {
        return false;
    }
    // The daemon that has seen the end reads the same listing and reports the failure itself.
    const bool reports = run.source != run_source::Reported || !isListing;
    if (countRun(run, reports, now)) {
        counted.push_back(run.request.content);
    }
    return true;
}

std::vector<std::uint64_t> crash_tracker::onEndpointGone(const std::string &id, gone_evidence evidence, time_point now)
{
    std::vector<std::uint64_t> counted;
    m_runs.eraseIf(m_runs.atEndpoint(id), [&](open_run &run) { return endsWithEndpoint(run, evidence, now, counted); });
    return counted;
}

void crash_tracker::onEndpointLeft(const std::string &id)
{
    m_runs.eraseIf(m_runs.atEndpoint(id),
                   [](const open_run &run) { return !run.isUnderWay() || run.source == run_source::Backup; });
}

void crash_tracker::onSurvived(const open_run &run, time_point now)
{
    if (run.source == run_source::Own && isSuccess(run)) {
        recordAndReportCompletion(run.request, run.endedAt, now);
    }
}

void crash_tracker::onEndpointAlive(const endpoint_incarnation &endpoint, time_point sentAt, time_point now)
{
    m_runs.eraseIf(m_runs.atEndpoint(endpoint.id), [&](const open_run &run) {
        const bool hasSurvived = !run.isUnderWay() && run.endpoint == endpoint && run.endedAt < sentAt;
        if (hasSurvived) {
            onSurvived(run, now);
        }
        return hasSurvived;
    });
}

std::vector<endpoint_incarnation> crash_tracker::takeUnverified(std::uint64_t content)
{
    const bool hasFailed = hasFailures(content);
    std::set<endpoint_incarnation> endpoints;
    for (const auto number : m_runs.ofContent(content)) {
        auto &run = m_runs.at(number);
        const bool isOpen = run.end == run_end::UnprovenEnd || (hasFailed && run.end == run_end::Unanswered);
        if (isOpen && !std::exchange(run.verified, true)) {
            endpoints.insert(run.endpoint);
        }
    }
    return {endpoints.begin(), endpoints.end()};
}

bool crash_tracker::isAnswered(const request_identity &request) const
{
    return std::ranges::any_of(m_runs.ofContent(request.content), [&](internal::run_number number) {
        const auto &run = m_runs.at(number);
        return run.end == run_end::Answered && run.request == request;
    });
}

bool crash_tracker::isOnTrial(std::uint64_t content, const request_failures &value, time_point now) const
{
    return std::ranges::any_of(m_runs.ofContent(content), [&](internal::run_number number) {
        const auto &run = m_runs.at(number);
        return now - run.endedAt < m_survivalTime && !value.failed.contains(run.endpoint);
    });
}

std::set<std::string> crash_tracker::suspectedEndpoints() const
{
    return m_runs.endpoints();
}

std::vector<run_notice> crash_tracker::takeNotices(std::vector<queued_notice> &queue, time_point now)
{
    auto taken = std::exchange(queue, {});
    std::vector<run_notice> notices;
    std::ranges::transform(taken, std::back_inserter(notices), [now](queued_notice &item) {
        item.notice.age = millisecondsBetween(item.since, now);
        return std::move(item.notice);
    });
    return notices;
}

std::vector<run_notice> crash_tracker::takeUnprovenEnds(time_point now)
{
    return takeNotices(m_unprovenEnds, now);
}

std::vector<run_notice> crash_tracker::takeSuspectRuns(time_point now)
{
    return takeNotices(m_suspectRuns, now);
}

std::vector<run_notice> crash_tracker::takeBackups(time_point now)
{
    std::vector<run_notice> notices;
    for (const auto number : m_runs.all()) {
        auto &run = m_runs.at(number);
        const bool isDue = run.isUnderWay() ? now - run.sentAt >= backupDelay : run.end == run_end::Unanswered;
        if (run.source == run_source::Own && isDue && !std::exchange(run.backedUp, true)) {
            notices.push_back(
                {.request = run.request, .endpoint = run.endpoint, .age = millisecondsBetween(run.sentAt, now)});
        }
    }
    return notices;
}

std::chrono::milliseconds crash_tracker::survivalTime() const
{
    return m_survivalTime;
}

void crash_tracker::settleRuns(time_point now, const liveness_check &isAlive)
{
    m_runs.eraseIf(m_runs.all(), [&](const open_run &run) {
        const bool isDue = run.source == run_source::Own && isSuccess(run) && now - run.endedAt >= m_survivalTime;
        const bool hasSurvived = isDue && isAlive(run.endpoint);
        if (hasSurvived) {
            onSurvived(run, now);
        }
        return hasSurvived;
    });
}

std::size_t crash_tracker::contentCount() const
{
    return m_requests.size();
}

std::size_t crash_tracker::openRunCount() const
{
    return m_runs.size();
}

std::size_t crash_tracker::takeDroppedSuspicions()
{
    return m_runs.takeDropped();
}

} // namespace jackdawpick::crashes
