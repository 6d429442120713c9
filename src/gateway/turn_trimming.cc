// Deletes the records of turns that are no longer retained; otherwise the store is full within a minute of load.
//
// The daemons that rendezvous hashing ranks first for a partition, trimmersPerPartition of them, are told of the
// appends to it. The first one deletes; the others do if it has not done so after a delay, because it died or has
// restarted.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// A turn does not depend on records older than this share of the retention: the smaller it is, the sooner old records
// can be deleted, and the more often the histories of long programs are written again.
constexpr int checkpointAgeDivisor = 6;
// A turn is retained from the end of its response, at most 1.8 s after its record was written; a request that continues
// it may read it for 1.2 s. The rest covers delays of the events between these.
constexpr milliseconds keepMargin{5000};
// Of that, the time for the reads of a request that comes at the end of the retention.
constexpr milliseconds readReserve{2000};
// If no route states one.
constexpr milliseconds defaultRetention{60000};
constexpr std::size_t trimmersPerPartition = 3;
// How long a daemon leaves a deletion to each of those ranked before it.
constexpr milliseconds trimDelayPerRank{10000};
constexpr milliseconds trimCheckInterval{1000};
// Partitions of a full store that are considered at each check; all are within half a minute.
constexpr std::uint32_t partitionsPerFullCheck = 64;

} // namespace

// Turns of a route that has a shorter retention now, or is gone, keep the one that they were promised.
void gateway::implementation::updateTurnRetention(const routing::configuration &configuration)
{
    for (const auto &route : configuration.routes) {
        if (route.retainsTurns && route.retention > milliseconds(0)) {
            m_longestRetention = std::max(m_longestRetention.value_or(route.retention), route.retention);
        }
    }
}

milliseconds gateway::implementation::turnRetention() const
{
    return m_longestRetention.value_or(defaultRetention);
}

milliseconds gateway::implementation::checkpointAge() const
{
    return turnRetention() / checkpointAgeDivisor;
}

// The time after which no retained turn depends on a record.
milliseconds gateway::implementation::turnKeepTime() const
{
    return turnRetention() + checkpointAge() + keepMargin;
}

// Whether all records of the chain of a turn exist until the retention of the turn has passed, if its response ends at
// this time.
bool gateway::implementation::outlivesRetention(const programs::turn_chain &chain, time_point responseEnd) const
{
    return chain.began.has_value() && responseEnd + turnRetention() + readReserve <= *chain.began + turnKeepTime();
}

// What the log tells of a chain whose records may be deleted too early.
std::vector<log_field> gateway::implementation::chainFields(const programs::turn_chain &chain, time_point now) const
{
    std::vector<log_field> fields{{"records", chain.records.size()}, {"retention_ms", turnRetention().count()}};
    if (chain.began.has_value()) {
        fields.emplace_back("oldest_record_age_ms", millisecondsBetween(*chain.began, now).count());
        fields.emplace_back("oldest_record_life_ms", millisecondsBetween(now, *chain.began + turnKeepTime()).count());
    }
    return fields;
}

// Tells the daemons that delete the records of a partition that all records before `end` exist.
void gateway::implementation::markTurnAppend(const store::partition &where, std::uint64_t end, time_point now)
{
    if (m_marks.empty()) {
        m_trimCheckAt = now + trimCheckInterval;
    }
    tellTrimmers({.where = where, .end = end}, now);
}

void gateway::implementation::tellTrimmers(const peers::turn_mark &mark, time_point now)
{
    auto names = rankedDeciders(mark.where, now);
    names.resize(std::min(names.size(), trimmersPerPartition));
    for (const auto &name : names) {
        if (name == m_options.self.name) {
            applyTurnMark(mark, now);
        } else if (const auto link = m_peers.linkTo(name); link.has_value()) {
            m_effects.emplace_back(send_message{*link, mark});
        }
    }
}

void gateway::implementation::applyTurnMark(const peers::turn_mark &mark, time_point now)
{
    if (mark.trimmed) {
        m_marks.onTrimmed(mark.where, mark.end);
    } else {
        m_marks.add(mark.where, mark.end, now - mark.writtenAgo);
    }
}

void gateway::implementation::on(link_id /*link*/, const peers::turn_mark &message, time_point now)
{
    if (m_marks.empty()) {
        m_trimCheckAt = now + trimCheckInterval;
    }
    applyTurnMark(message, now);
}

// Gives a peer that may have restarted the marks that it would have been told of.
void gateway::implementation::sendTurnMarks(link_id link, time_point now)
{
    const auto peer = m_peers.nameOf(link);
    const auto isTrimmer = [&](const store::partition &where) {
        auto names = rankedDeciders(where, now);
        if (std::ranges::find(names, peer) == names.end()) { // Not ready yet.
            names.push_back(peer);
            sortByRendezvousWeight(names, rendezvousKeyOf(where));
        }
        names.resize(std::min(names.size(), trimmersPerPartition));
        return std::ranges::find(names, peer) != names.end();
    };
    std::optional<std::pair<store::partition, bool>> latest; // The marks of a partition follow each other.
    for (const auto &held : m_marks.all()) {
        if (!latest.has_value() || latest->first != held.where) {
            latest = {held.where, isTrimmer(held.where)};
        }
        if (latest->second) {
            m_effects.emplace_back(send_message{
                link,
                peers::turn_mark{
                    .where = held.where, .end = held.end, .writtenAgo = millisecondsBetween(held.written, now)}});
        }
    }
}

void gateway::implementation::trimDuePartitions(time_point now)
{
    // Without a configuration the retention is not known; peers may have given this daemon marks already.
    if (m_marks.empty() || m_table == nullptr || m_trimCheckAt > now) {
        return;
    }
    m_trimCheckAt = now + trimCheckInterval;
    const auto delayOf = [this, now](const store::partition &where) -> milliseconds {
        const auto names = rankedDeciders(where, now);
        const auto rank = std::ranges::find(names, m_options.self.name) - names.begin();
        return trimDelayPerRank * std::min<std::ptrdiff_t>(rank, trimmersPerPartition);
    };
    for (const auto &trim : m_marks.takeDue(now, turnKeepTime(), delayOf)) {
        startStoreCall(internal::trim_owner{trim}, store::trim_call{trim.where, trim.before}, now);
    }
}

std::optional<time_point> gateway::implementation::nextTrimCheck() const
{
    std::optional<time_point> next;
    if (!m_marks.empty() && m_table != nullptr) {
        next = m_trimCheckAt;
    }
    if (m_store.room().isFull()) {
        next = std::min(next.value_or(m_fullCheckAt), m_fullCheckAt);
    }
    return next;
}

// A store that was full when all daemons started takes no append, and so no mark comes from one. What lies in it now is
// old enough to be deleted when this daemon has run for the time that turns are kept.
void gateway::implementation::markFullPartitions(time_point now)
{
    if (!m_store.room().isFull() || m_fullCheckAt > now) {
        return;
    }
    m_fullCheckAt = now + trimCheckInterval;
    const auto &layout = m_options.layout;
    const auto count = layout.turnTopics * layout.partsPerTopic;
    for (std::uint32_t i = 0; i < std::min(partitionsPerFullCheck, count); ++i) {
        const auto where =
            turnPartitionAt(m_nextFullPartition / layout.partsPerTopic, m_nextFullPartition % layout.partsPerTopic);
        m_nextFullPartition = (m_nextFullPartition + 1) % count;
        if (!m_marks.contains(where) && firstDaemon(rendezvousKeyOf(where), now) == m_options.self.name) {
            readPartitionEnd(where, 0, now);
        }
    }
}

void gateway::implementation::readPartitionEnd(const store::partition &where, std::uint64_t from, time_point now)
{
    startStoreCall(internal::partition_end_owner{where},
                   store::read_call{.where = where, .from = from, .maxKilobytes = 1}, now);
}

void gateway::implementation::complete(const internal::partition_end_owner &owner, const store::reply &result,
                                       time_point now)
{
    if (const auto *expired = std::get_if<store::expired>(&result)) {
        readPartitionEnd(owner.where, expired->first, now);
    } else if (const auto *read = std::get_if<store::records_read>(&result)) {
        if (read->end > 0) {
            markTurnAppend(owner.where, read->end, now);
        }
    } else if (const auto *reason = std::get_if<store::failure>(&result)) {
        log(log_level::Debug, "partition_end_unknown",
            {{"reason", store::nameOf(*reason)}, {"topic", owner.where.topic}, {"part", owner.where.number}});
    }
}

void gateway::implementation::complete(const internal::trim_owner &owner, const store::reply &result, time_point now)
{
    if (const auto *reason = std::get_if<store::failure>(&result)) {
        log(log_level::Debug, "trim_failed",
            {{"reason", store::nameOf(*reason)}, {"topic", owner.trim.where.topic}, {"part", owner.trim.where.number}});
        m_marks.onTrimFailed(owner.trim, now, turnKeepTime());
        return;
    }
    tellTrimmers({.where = owner.trim.where, .end = owner.trim.before, .trimmed = true}, now);
}

} // namespace jackdawpick::gateway
