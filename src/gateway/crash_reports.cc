// What the daemons know together of requests that crash endpoints: reports on the links, and records in the store.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// Keys of these records in the partition that also holds the addresses of the daemons, which all of them watch.
constexpr std::string_view crashRecordPrefix = "crashing/";
constexpr milliseconds crashWriteCheckInterval{100};

std::string crashRecordKey(std::uint64_t content)
{
    return fmt::format("{}{:016x}", crashRecordPrefix, content);
}

// The content that the key names; nothing if it is no key of such a record.
std::optional<std::uint64_t> contentOfKey(std::string_view key)
{
    if (!key.starts_with(crashRecordPrefix)) {
        return std::nullopt;
    }
    key.remove_prefix(crashRecordPrefix.size());
    constexpr int hexadecimal = 16;
    std::uint64_t content = 0;
    const auto [end, failure] = std::from_chars(key.data(), key.data() + key.size(), content, hexadecimal);
    return failure == std::errc() && end == key.data() + key.size() ? std::optional(content) : std::nullopt;
}

} // namespace

// The endpoint may or may not be alive; if it turns out to have ended, the request counts as the cause.
void gateway::implementation::noteOutcomeUnknown(const request_context &context, time_point now)
{
    m_crashes.onOutcomeUnknown(context.identity, {context.endpoint, context.endpointBorn}, now);
}

void gateway::implementation::noteRunFailure(const request_context &context, dispatch_outcome outcome,
                                             failure_site where, time_point now)
{
    const bool hasPath = context.relay.has_value() || !m_paths.isCutOff();
    if (outcome == dispatch_outcome::NotSent) {
        if (where == failure_site::Endpoint && !context.relay.has_value() && hasPath) {
            noteEndpointGone(context.endpoint, crashes::gone_evidence::Connection, now);
        }
    } else if (where == failure_site::Path || outcome == dispatch_outcome::TimedOut || !hasPath) {
        noteOutcomeUnknown(context, now);
    } else if (where == failure_site::Endpoint && outcome == dispatch_outcome::Lost
               && m_crashes.onEndpointFailed(context.identity, {context.endpoint, context.endpointBorn}, now)) {
        logRequest(log_level::Warning, "endpoint_broke", context,
                   {{"endpoint", context.endpoint}, {"content", context.identity.content}}, now);
    }
}

// Only the length of a response, its chunks or the number of its tokens prove that it is whole.
void gateway::implementation::noteRunEnd(const request_context &context, time_point now)
{
    const bool isSuccess = context.status / 100 == 2; // An error may have been decided before the request was run.
    const bool endsInsideEvent = context.eventStream && context.eventSplitter.isInsideEvent();
    if (!endsInsideEvent && (!context.endsWithConnection || holdsAllTokens(context))) {
        if (isSuccess) {
            m_crashes.onCompleted(context.identity, now);
        }
    } else if (isSuccess) {
        m_crashes.onUnprovenEnd(context.identity, {context.endpoint, context.endpointBorn}, now);
    } else {
        noteOutcomeUnknown(context, now);
    }
}

bool gateway::implementation::holdsAllTokens(const request_context &context) const
{
    return context.eventStream && context.request.maxOutputTokens > 0
        && tokensDelivered(context) >= context.request.maxOutputTokens;
}

void gateway::implementation::noteEndpointGone(const std::string &endpoint, crashes::gone_evidence evidence,
                                               time_point now)
{
    for (const auto content : m_crashes.onEndpointGone(endpoint, evidence, now)) {
        log(log_level::Warning, "endpoint_broke", {{"endpoint", endpoint}, {"content", content}, {"gone", true}});
    }
}

// Endpoints that a complete listing does not name have ended too.
void gateway::implementation::noteUnlistedEndpoints(const std::set<std::string> &listed, time_point now)
{
    for (const auto &endpoint : m_crashes.suspectedEndpoints()) {
        if (!listed.contains(endpoint)) {
            noteEndpointGone(endpoint, crashes::gone_evidence::Listing, now);
        }
    }
}

// ---- Ends of responses that prove nothing ----

// The request that has come again does not wait: an endpoint that does not answer would cost it its time.
void gateway::implementation::verifyUnprovenEnds(const request_context &context, time_point now)
{
    if (m_paths.isCutOff()) {
        return;
    }
    for (const auto &endpoint : m_crashes.takeUnverified(context.identity.content)) {
        if (const auto address = m_pool.addressOf(endpoint); address.has_value()) {
            logRequest(log_level::Info, "endpoint_verified", context,
                       {{"endpoint", endpoint.id}, {"content", context.identity.content}}, now);
            m_verifications.emplace(probe_id{++m_lastProbe}, endpoint);
            m_effects.emplace_back(probe_endpoint{probe_id{m_lastProbe}, *address});
        }
    }
}

void gateway::implementation::onEndpointVerified(const endpoint_calls::endpoint_incarnation &endpoint, bool reached,
                                                 time_point now)
{
    if (!reached && !m_paths.isCutOff()) {
        noteEndpointGone(endpoint.id, crashes::gone_evidence::Connection, now);
    }
}

bool gateway::implementation::isKnownAlive(const endpoint_calls::endpoint_incarnation &endpoint, time_point now) const
{
    const auto &paths = m_store.paths();
    return m_pool.addressOf(endpoint).has_value() && paths.isDirectPathUp(now)
        && !paths.wasDownWithin(2 * crashes::crash_tracker::suspicionTime, now);
}

// At most one message for each heartbeat, since on some days every third response ends so.
void gateway::implementation::sendUnprovenEnds(time_point now)
{
    if (now < m_unprovenReportAt) {
        return;
    }
    if (auto ends = m_crashes.takeUnprovenEnds(); !ends.empty()) {
        m_unprovenReportAt = now + m_peers.heartbeatInterval();
        m_peers.broadcast(peers::run_reports{.reports = {}, .unproven = std::move(ends)}, m_effects);
    }
}

void gateway::implementation::sendKnownCrashes(link_id link, time_point now)
{
    if (auto reports = m_crashes.allReports(now); !reports.empty()) {
        m_effects.emplace_back(send_message{link, peers::run_reports{std::move(reports), {}}});
    }
}

void gateway::implementation::on(link_id link, const peers::run_reports &message, time_point now)
{
    applyRunReports(message.reports, m_peers.nameOf(link), now);
    std::ranges::for_each(message.unproven, [&](const auto &end) { m_crashes.onUnprovenReport(end, now); });
}

void gateway::implementation::applyRunReports(const std::vector<crashes::run_report> &reports,
                                              const std::string &source, time_point now)
{
    std::ranges::for_each(reports, [&](const auto &report) { m_crashes.onReport(report, now); });
    logBlockChanges(source);
}

void gateway::implementation::logBlockChanges(std::string_view source)
{
    for (const auto &change : m_crashes.takeChanges()) {
        log(log_level::Warning, change.blocked ? "request_blocked" : "request_released",
            {{"content", change.content}, {"failures", change.failures}, {"source", source}});
    }
}

void gateway::implementation::tickCrashes(time_point now)
{
    logBlockChanges("response");
    if (auto reports = m_crashes.takeReports(); !reports.empty()) {
        for (const auto &report : reports) {
            if (!report.failed.has_value() && m_crashes.isStored(report.request.content)) {
                storeCrashes(report.request.content, now);
            }
        }
        m_peers.broadcast(peers::run_reports{std::move(reports), {}}, m_effects);
    }
    sendUnprovenEnds(now);
    writeDueCrashRecords(now);
}

// ---- Records in the store, for daemons that no other one can tell ----

void gateway::implementation::writeCrashRecord(std::uint64_t content, std::string value, time_point now)
{
    log(log_level::Info, value.empty() ? "crash_record_deleted" : "crash_record_written", {{"content", content}});
    startStoreCall(internal::crash_record_owner{content},
                   store::put_call{m_options.layout.daemons, crashRecordKey(content), std::move(value)}, now);
}

void gateway::implementation::storeCrashes(std::uint64_t content, time_point now)
{
    writeCrashRecord(content, peers::encodeMessage(peers::run_reports{m_crashes.reportsOf(content, now), {}}), now);
}

void gateway::implementation::complete(const internal::crash_record_owner &owner, const store::reply &result,
                                       time_point /*now*/)
{
    // Written again unless the watch shows the record.
    if (const auto *reason = std::get_if<store::failure>(&result)) {
        log(log_level::Warning, "crash_record_failed",
            {{"content", owner.content}, {"reason", store::nameOf(*reason)}});
    }
}

void gateway::implementation::writeDueCrashRecords(time_point now)
{
    if (now < m_crashCheckAt) {
        return;
    }
    m_crashCheckAt = now + crashWriteCheckInterval;
    if (!m_peers.hadTimeToConnect(now)) {
        return; // Daemons that do not know each other yet all rank themselves first.
    }
    const auto rankOf = [&](std::uint64_t content) {
        const auto names = rankedDaemons(crashRecordKey(content), now);
        return static_cast<std::size_t>(std::ranges::find(names, m_options.self.name) - names.begin());
    };
    for (const auto content : m_crashWrites.takeDue(m_crashes.unstored(), rankOf, m_peers.size() + 1, now)) {
        storeCrashes(content, now);
    }
}

std::optional<time_point> gateway::implementation::nextCrashWrite() const
{
    return m_crashes.unstored().empty() ? std::nullopt : std::optional(m_crashCheckAt);
}

bool gateway::implementation::applyCrashRecord(const store::record &record, time_point writtenAfter, time_point now)
{
    const auto content = contentOfKey(record.key);
    if (!content.has_value()) {
        return false;
    }
    m_emptyCrashRecords.erase(*content);
    if (record.value.empty()) {
        m_crashes.onRecordDeleted(*content, now);
        return true;
    }
    auto message = peers::decodeMessage(record.value);
    auto *reports = message.has_value() ? std::get_if<peers::run_reports>(&*message) : nullptr;
    if (reports == nullptr) {
        log(log_level::Warning, "crash_record_unreadable", {{"key", record.key}, {"offset", record.offset}});
        return true;
    }
    // The ages are those of the time of writing. A failure must not seem younger than a success that came after it.
    for (auto &report : reports->reports) {
        report.age += millisecondsBetween(writtenAfter, now);
    }
    applyRunReports(reports->reports, "store", now);
    m_crashes.onStored(*content,
                       static_cast<std::size_t>(std::ranges::count_if(
                           reports->reports, [](const auto &report) { return report.failed.has_value(); })));
    if (m_crashes.reportsOf(*content, now).empty()) {
        m_emptyCrashRecords.insert(*content); // Of a success after which all daemons were started again.
    }
    return true;
}

// Called by all daemons at about the same time, since they have known of the request for the same time.
void gateway::implementation::evictCrashes(time_point now)
{
    const auto isAlive = [&](const auto &endpoint) {
        return isKnownAlive(endpoint, now);
    };
    for (const auto content : m_crashes.evictExpired(now, isAlive)) {
        if (firstDaemon(crashRecordKey(content), now) == m_options.self.name) {
            writeCrashRecord(content, {}, now);
        }
    }
    if (m_peers.hadTimeToConnect(now)) {
        for (const auto content : m_emptyCrashRecords) {
            if (firstDaemon(crashRecordKey(content), now) == m_options.self.name) {
                writeCrashRecord(content, {}, now);
            }
        }
    }
    if (const auto dropped = m_crashes.takeDroppedSuspicions(); dropped > 0) {
        log(log_level::Warning, "unknown_outcomes_dropped", {{"requests", dropped}});
    }
}

} // namespace jackdawpick::gateway
