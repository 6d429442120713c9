// Writes each finished turn to the log before its response ends.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// How long the end of a response may wait for the write of its turn; callers abandon a stream after 2 s of silence.
constexpr milliseconds turnWriteTimeout{1800};
// How long of that the segments of the history may take; the rest is for the record of the turn.
constexpr milliseconds segmentWriteTimeout = turnWriteTimeout / 2;
// After this time, or primaryWriteLatencyFactor times the smoothed store latency if that is longer, a turn or segment
// is written to its fallback partition.
constexpr milliseconds primaryWriteTimeout{250};
constexpr int primaryWriteLatencyFactor = 3;
// How long turns and segments go to their fallback partitions after a write to their primary partition failed.
constexpr milliseconds partitionBackoff{2000};
// The largest text that is written again in one record; the store accepts records of 256 KB.
constexpr std::size_t maxSegmentBytes = 160U << 10U;

} // namespace

void gateway::implementation::startTurnWrite(request_context &context, time_point now)
{
    context.phase = request_phase::WritingTurn;
    context.turnText = context.request.body + context.responseText;
    context.previousRecord = context.request.previousTurn;
    context.turnWriteBegan = now;
    context.turnWriteDeadline = now + turnWriteTimeout;
    if (!reachesBackTooFar(context, now)) {
        writeTurnRecord(context, now);
    } else if (context.history.size() + context.turnText.size() <= maxSegmentBytes) {
        context.turnText.insert(0, context.history);
        context.history.clear();
        context.chain = {};
        writeTurnRecord(context, now);
    } else {
        startSegmentWrites(context, now);
    }
    settleReservation(context, true, now);
}

// Whether the records of the chain must be replaced by new ones: records are deleted turnKeepTime() after they were
// written, so a turn must not depend on older ones than checkpointAge(). The age of a chain that was read from the
// store is not known.
bool gateway::implementation::reachesBackTooFar(const request_context &context, time_point now) const
{
    const auto &chain = context.chain;
    return !chain.records.empty() && (!chain.began.has_value() || now - *chain.began > checkpointAge());
}

// Writes the history before the turn again, in records that each fit the store. They form a chain like turns do. The
// line feed in their ids keeps requests from naming them.
void gateway::implementation::startSegmentWrites(request_context &context, time_point now)
{
    const auto &history = context.history;
    auto &segments = context.segments;
    for (std::size_t begin = 0; begin < history.size(); begin += maxSegmentBytes) {
        programs::turn segment{.id = fmt::format("{}\n{}", context.request.attempt, segments.size()),
                               .previous = segments.empty() ? std::string() : segments.back().id,
                               .text = history.substr(begin, maxSegmentBytes),
                               .ancestors = {}};
        auto record = programs::encodeRecord(segment);
        const bool useFallback = isFailing(turnPartition(segment.id, false), now);
        segments.push_back({.id = std::move(segment.id),
                            .record = std::move(record),
                            .useFallbackPartition = useFallback,
                            .location = std::nullopt});
        appendSegment(context, segments.size() - 1, now);
    }
}

void gateway::implementation::appendSegment(request_context &context, std::size_t index, time_point now)
{
    const auto &segment = context.segments.at(index);
    const auto last = context.turnWriteBegan + segmentWriteTimeout;
    const auto deadline = segment.useFallbackPartition ? last : std::min(last, now + primaryTimeout());
    const auto ticket = m_log.append(turnPartition(segment.id, segment.useFallbackPartition), segment.record, deadline);
    m_tickets.emplace(ticket, ticket_owner{context.id, ticket_use::WriteSegment, index});
}

void gateway::implementation::onSegmentWritten(request_context &context, std::size_t index,
                                               const store::ticket_result &result, time_point now)
{
    auto &segments = context.segments;
    if (segments.empty()) {
        return; // Another one could not be written.
    }
    auto &segment = segments.at(index);
    const auto where = turnPartition(segment.id, segment.useFallbackPartition);
    if (!result.done && !segment.useFallbackPartition) {
        markFailing(where, now);
        segment.useFallbackPartition = true;
        appendSegment(context, index, now);
        return;
    }
    if (!result.done) {
        // The old records still exist; a later turn of the chain writes the segments.
        segments.clear();
        logRequest(log_level::Warning, "segment_not_written", context, {{"segment", index}}, now);
        writeTurnRecord(context, now);
        return;
    }
    segment.location = locationOf(where, result.offset, segment.record.size());
    markTurnAppend(where, result.offset + 1, now);
    if (!std::ranges::all_of(segments, [](const auto &entry) { return entry.location.has_value(); })) {
        return;
    }
    context.chain = {.records = {}, .began = context.turnWriteBegan};
    std::ranges::transform(segments, std::back_inserter(context.chain.records),
                           [](const auto &entry) { return *entry.location; });
    context.previousRecord = segments.back().id;
    segments.clear();
    writeTurnRecord(context, now);
}

void gateway::implementation::writeTurnRecord(request_context &context, time_point now)
{
    context.history += context.turnText;
    context.turnRecord = programs::encodeRecord(programs::turn{.id = context.request.attempt,
                                                               .previous = context.previousRecord,
                                                               .text = std::move(context.turnText),
                                                               .ancestors = context.chain.records,
                                                               .historyHash = programs::hashHistory(context.history),
                                                               .tokens = tokensDelivered(context)});
    context.useFallbackPartition = isFailing(turnPartition(context.request.attempt, false), now);
    appendTurn(context, now);
}

void gateway::implementation::appendTurn(request_context &context, time_point now)
{
    const auto deadline = context.useFallbackPartition ? context.turnWriteDeadline
                                                       : std::min(context.turnWriteDeadline, now + primaryTimeout());
    const auto ticket = m_log.append(turnPartition(context.request.attempt, context.useFallbackPartition),
                                     context.turnRecord, deadline);
    m_tickets.emplace(ticket, ticket_owner{context.id, ticket_use::WriteTurn});
}

// How long a write to a primary partition may take before it goes to the fallback partition.
milliseconds gateway::implementation::primaryTimeout() const
{
    return std::max<milliseconds>(primaryWriteTimeout, m_store.smoothedLatency() * primaryWriteLatencyFactor);
}

// Whether a recent write to this primary partition failed.
bool gateway::implementation::isFailing(const store::partition &where, time_point now) const
{
    const auto found = m_partitionBackoffUntil.find(where);
    return found != m_partitionBackoffUntil.end() && found->second > now;
}

void gateway::implementation::markFailing(const store::partition &where, time_point now)
{
    log(log_level::Warning, "partition_failing", {{"topic", where.topic}, {"part", where.number}});
    m_partitionBackoffUntil[where] = now + partitionBackoff;
}

void gateway::implementation::onTurnWritten(request_context &context, const store::ticket_result &result,
                                            time_point now)
{
    const auto &turn = context.request.attempt;
    const auto where = turnPartition(turn, context.useFallbackPartition);
    if (!result.done && !context.useFallbackPartition) {
        markFailing(where, now);
        context.useFallbackPartition = true;
        appendTurn(context, now);
        return;
    }
    if (!result.done) {
        m_effects.emplace_back(abort_response{context.id});
        finishRequest(context, "turn_not_written", now);
        return;
    }
    auto &chain = context.chain;
    if (chain.records.empty()) {
        chain.began = context.turnWriteBegan;
    }
    chain.records.push_back(locationOf(where, result.offset, context.turnRecord.size()));
    chain.tokens = tokensDelivered(context);
    m_turns.add(turn, std::move(context.history), std::move(chain), now);
    markTurnAppend(where, result.offset + 1, now);
    m_effects.emplace_back(end_response{context.id});
    finishRequest(context, internal::answeredOutcome, now);
}

std::uint32_t gateway::implementation::tokensPerEvent(const request_context &context) const
{
    const auto *service = context.table->findService(context.service);
    const bool known = service != nullptr && service->engine.has_value();
    return known ? service->engine->tokensPerEvent : 1;
}

std::uint32_t gateway::implementation::tokensDelivered(const request_context &context) const
{
    return context.eventCount * tokensPerEvent(context);
}

} // namespace jackdawpick::gateway
