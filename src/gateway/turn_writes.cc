// Writes each finished turn to the log before its response ends.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// How long the end of a response may wait for the write of its turn; callers abandon a stream after 2 s of silence.
constexpr milliseconds turnWriteTimeout{1800};
// How much of that is left to the record of the turn when its segments are abandoned.
constexpr milliseconds turnRecordTime{250};
// After this time, or primaryWriteLatencyFactor times the smoothed store latency if that is longer, a turn or segment
// is written to its fallback partition.
constexpr milliseconds primaryWriteTimeout{250};
constexpr int primaryWriteLatencyFactor = 3;
// How long turns and segments go to their fallback partitions after a write to their primary partition failed.
constexpr milliseconds partitionBackoff{2000};

} // namespace

void gateway::implementation::startTurnWrite(request_context &context, time_point now)
{
    context.phase = request_phase::WritingTurn;
    context.turnWriteBegan = now;
    context.turnWriteDeadline = now + turnWriteTimeout;
    settleReservation(context, true, now);
    context.response = m_texts.share(std::exchange(context.responseText, {}));
    if (context.segmentedWrite.has_value()) {
        retrySegments(context, now);
    } else {
        planSegments(context, std::nullopt);
        writeTurn(context, now);
    }
}

// Whether the records of the chain must be replaced by new ones: records are deleted turnKeepTime() after they were
// written, so a turn must not depend on older ones than checkpointAge(). The age of a chain that was read from the
// store is not known.
bool gateway::implementation::reachesBackTooFar(const request_context &context, time_point now) const
{
    const auto &chain = context.chain;
    return !chain.records.empty() && (!chain.began.has_value() || now - *chain.began >= checkpointAge());
}

// Whether they may have to be before the response of the request ends.
bool gateway::implementation::mayReachBackTooFar(const request_context &context) const
{
    return reachesBackTooFar(context, context.deadline + turnWriteTimeout);
}

// The time at which the end of a response stops waiting for segments.
time_point gateway::implementation::segmentsDeadline(const request_context &context)
{
    return context.turnWriteDeadline - turnRecordTime;
}

// Writes what the records of the chain do not hold, or everything if these are too old.
void gateway::implementation::writeTurn(request_context &context, time_point now)
{
    const bool rewrites = reachesBackTooFar(context, now);
    const auto text = textToWrite(context, rewrites) + rope(context.response);
    if (text.size() > maxSegmentBytes) {
        const auto rest = (text.size() - 1) / maxSegmentBytes * maxSegmentBytes;
        startSegments(context, rewrites, text, rest, now);
        context.segmentedWrite->rest = text.substr(rest, maxSegmentBytes);
        planSegments(context, segmentsDeadline(context));
        return;
    }
    if (rewrites) {
        context.chain = {};
    }
    writeTurnRecord(context, text.str(), now);
}

void gateway::implementation::writeTurnRecord(request_context &context, std::string text, time_point now)
{
    context.history.append(context.input);
    context.history.append(context.response);
    const programs::turn record{.id = context.request.attempt,
                                .previous = context.previousRecord,
                                .text = std::move(text),
                                .ancestors = context.chain.records,
                                .historyHash = programs::hashHistory(context.history),
                                .tokens = tokensDelivered(context)};
    context.turnRecord = shareRecord(context, programs::encodeRecord(record));
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
    markTurnAppend(where, result.offset + 1, now);
    if (!outlivesRetention(chain, now)) {
        breakOffUnkept(context, now); // This process has stood still meanwhile.
        return;
    }
    chain.records.push_back(locationOf(where, result.offset, context.turnRecord.size()));
    chain.tokens = tokensDelivered(context);
    m_turns.add(turn, std::move(context.history), std::move(chain), now);
    rewindEvictedTurns();
    m_effects.emplace_back(end_response{context.id});
    finishRequest(context, internal::answeredOutcome, now);
}

// Ends the response of a turn whose records are not kept until its retention ends, so that it does not look whole.
void gateway::implementation::breakOffUnkept(request_context &context, time_point now)
{
    logRequest(log_level::Warning, "turn_not_kept", context, chainFields(context.chain, now), now);
    m_effects.emplace_back(abort_response{context.id});
    finishRequest(context, "turn_not_kept", now);
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
