// Records in the store of requests that crash endpoints, for daemons that no other one can tell and for the time after
// all have ended.

#include "gateway/internal/crash_record_key.h"
#include "gateway/internal/implementation.h"

#include <algorithm>
#include <charconv>

namespace jackdawpick::gateway
{

namespace
{

using internal::crashRecordKey;
using internal::crashRecordPrefix;
using std::chrono::milliseconds;

constexpr milliseconds crashWriteCheckInterval{100};

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

void gateway::implementation::writeCrashRecord(std::uint64_t content, std::string value, time_point now)
{
    log(log_level::Info, value.empty() ? "crash_record_deleted" : "crash_record_written", {{"content", content}});
    startStoreCall(internal::crash_record_owner{content},
                   store::put_call{m_options.layout.daemons, crashRecordKey(content), std::move(value)}, now);
}

void gateway::implementation::storeCrashes(std::uint64_t content, time_point now)
{
    writeCrashRecord(content, peers::encodeMessage(peers::run_reports{m_crashes.reportsOf(content, now), {}, {}}), now);
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
