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
// One daemon writes a record; the next ones in rank do if it has not after this time each.
constexpr milliseconds crashWriteDelayPerRank{500};
constexpr std::ptrdiff_t maxCrashWriteRank = 3;
constexpr milliseconds crashWriteRetryDelay{1000};
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
            noteEndpointGone(context.endpoint, now);
        }
    } else if (where == failure_site::Path || outcome == dispatch_outcome::TimedOut || !hasPath) {
        noteOutcomeUnknown(context, now);
    } else if (where == failure_site::Endpoint && outcome == dispatch_outcome::Lost
               && m_crashes.onEndpointFailed(context.identity, {context.endpoint, context.endpointBorn}, now)) {
        logRequest(log_level::Warning, "endpoint_broke", context,
                   {{"endpoint", context.endpoint}, {"content", context.identity.content}}, now);
    }
}

void gateway::implementation::noteEndpointGone(const std::string &endpoint, time_point now)
{
    for (const auto content : m_crashes.onEndpointGone(endpoint, now)) {
        log(log_level::Warning, "endpoint_broke", {{"endpoint", endpoint}, {"content", content}, {"gone", true}});
    }
}

// Endpoints that a complete listing does not name have ended too.
void gateway::implementation::noteUnlistedEndpoints(const std::set<std::string> &listed, time_point now)
{
    for (const auto &endpoint : m_crashes.suspectedEndpoints()) {
        if (!listed.contains(endpoint)) {
            noteEndpointGone(endpoint, now);
        }
    }
}

void gateway::implementation::sendKnownCrashes(link_id link, time_point now)
{
    if (auto reports = m_crashes.allReports(now); !reports.empty()) {
        m_effects.emplace_back(send_message{link, peers::run_reports{std::move(reports)}});
    }
}

void gateway::implementation::on(link_id link, const peers::run_reports &message, time_point now)
{
    applyRunReports(message.reports, m_peers.nameOf(link), now);
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
                writeCrashRecord(report.request.content, {}, now);
            }
        }
        m_peers.broadcast(peers::run_reports{std::move(reports)}, m_effects);
    }
    writeDueCrashRecords(now);
}

// ---- Records in the store, for daemons that no other one can tell ----

void gateway::implementation::writeCrashRecord(std::uint64_t content, std::string value, time_point now)
{
    log(log_level::Info, value.empty() ? "crash_record_deleted" : "crash_record_written", {{"content", content}});
    startStoreCall(internal::crash_record_owner{},
                   store::put_call{m_options.layout.daemons, crashRecordKey(content), std::move(value)}, now);
}

void gateway::implementation::complete(const internal::crash_record_owner & /*owner*/, const store::reply &result,
                                       time_point /*now*/)
{
    // Written again unless the watch shows the record.
    if (const auto *reason = std::get_if<store::failure>(&result)) {
        log(log_level::Warning, "crash_record_failed", {{"reason", store::nameOf(*reason)}});
    }
}

void gateway::implementation::writeDueCrashRecords(time_point now)
{
    if (m_crashes.unstored().empty()) {
        m_crashWriteAt.clear();
        return;
    }
    if (now < m_crashCheckAt) {
        return;
    }
    m_crashCheckAt = now + crashWriteCheckInterval;
    std::erase_if(m_crashWriteAt, [&](const auto &entry) { return !m_crashes.unstored().contains(entry.first); });
    for (const auto content : m_crashes.unstored()) {
        const auto key = crashRecordKey(content);
        const auto [due, isNew] = m_crashWriteAt.try_emplace(content, now);
        if (isNew) {
            const auto names = rankedDaemons(key, now);
            const auto rank = std::ranges::find(names, m_options.self.name) - names.begin();
            due->second += crashWriteDelayPerRank * std::min(rank, maxCrashWriteRank);
        }
        if (due->second <= now) {
            due->second = now + crashWriteRetryDelay;
            writeCrashRecord(content, peers::encodeMessage(peers::run_reports{m_crashes.reportsOf(content, now)}), now);
        }
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
    if (record.value.empty()) {
        // Its writer has seen a success, or the failures are too old to count.
        applyRunReports({{.request = {*content}, .failed = std::nullopt}}, "store", now);
        m_crashes.onStored(*content, 0);
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
    return true;
}

// Called by all daemons at about the same time, since they have known of the request for the same time.
void gateway::implementation::evictCrashes(time_point now)
{
    for (const auto content : m_crashes.evictExpired(now)) {
        if (firstDaemon(crashRecordKey(content), now) == m_options.self.name) {
            writeCrashRecord(content, {}, now);
        }
    }
}

} // namespace jackdawpick::gateway
