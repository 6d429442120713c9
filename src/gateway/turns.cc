// Histories of agent programs: finds the text of the turns that a request continues, and writes each finished turn to
// the log before the response ends.

#include "gateway/internal/implementation.h"
#include "gateway/internal/retry_delays.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::storeRetryDelay;
using std::chrono::milliseconds;

// How long a request may wait for its history; after that a retry by the caller is more likely to succeed.
constexpr milliseconds historyTimeout{1200};
// How long a peer may take to send a turn before the turn is read from the store instead.
constexpr milliseconds peerTurnTimeout{60};
// How long the end of a response may wait for the write of its turn; callers abandon a stream after 2 s of silence.
constexpr milliseconds turnWriteTimeout{1800};
// After this time, or primaryWriteLatencyFactor times the smoothed store latency if that is longer, the turn is written
// to its fallback partition.
constexpr milliseconds primaryWriteTimeout{250};
constexpr int primaryWriteLatencyFactor = 3;
// Trimming fewer records does not justify a store call.
constexpr std::uint64_t minTrimmedRecords = 3;
// How long turns go to their fallback partitions after a write to their primary partition failed.
constexpr milliseconds partitionBackoff{2000};

store::partition partitionFor(std::string_view prefix, const std::string &key, std::uint32_t topics,
                              std::uint32_t parts)
{
    const auto hash = XXH3_64bits(key.data(), key.size());
    const auto topic = static_cast<std::uint32_t>(hash % topics);
    const auto part = static_cast<std::uint32_t>((hash / topics) % parts);
    return {fmt::format("{}-{}", prefix, topic), part};
}

} // namespace

store::partition gateway::implementation::programPartition(const std::string &program) const
{
    return partitionFor("programs", program, m_options.layout.programTopics, m_options.layout.partsPerTopic);
}

store::partition gateway::implementation::turnPartition(const std::string &turn, bool fallback) const
{
    const auto &layout = m_options.layout;
    return partitionFor("turns", fallback ? turn + "/2" : turn, layout.turnTopics, layout.partsPerTopic);
}

// `holder` is a daemon that has the text of the previous turn; empty if none is known.
void gateway::implementation::resolveHistory(request_context &context, const std::string &holder, time_point now)
{
    if (const auto *text = m_turns.find(context.request.previousTurn); text != nullptr) {
        context.history = *text;
        context.historyPending = false;
        dispatchIfPrepared(context, now);
        return;
    }
    const auto link = m_peers.linkTo(holder);
    if (!link.has_value()) {
        readHistoryFromStore(context, now);
        return;
    }
    m_pendingTurnRequests.emplace(++m_lastPeerRequest, pending_peer_request{context.id, *link, now + peerTurnTimeout});
    m_effects.emplace_back(send_message{*link, peers::turn_request{m_lastPeerRequest, context.request.previousTurn}});
}

void gateway::implementation::readHistoryFromStore(request_context &context, time_point now)
{
    const auto &turn = context.request.previousTurn;
    if (!storeAvailable(now)) {
        refuseRequest(context, result_code::LogUnavailable, storeRetryDelay, now);
        return;
    }
    if (const auto place = m_turns.locate(turn); place.has_value()) {
        startStoreCall(internal::turn_read_owner{context.id},
                       store::read_call{.where = place->where, .from = place->offset}, now);
        return;
    }
    const auto where = turnPartition(turn, context.useFallbackPartition);
    const auto ticket = m_log.catchUp(where, std::min(context.deadline, now + historyTimeout / 2));
    m_tickets.emplace(ticket, ticket_owner{context.id, ticket_use::History});
}

// Called after the partition of the previous turn was read; `readToEnd` is false if the end was not reached in time.
void gateway::implementation::onHistoryPartitionRead(request_context &context, bool readToEnd, time_point now)
{
    context.historyReadIncomplete = context.historyReadIncomplete || !readToEnd;
    if (const auto *text = m_turns.find(context.request.previousTurn); text != nullptr) {
        context.historyPending = false;
        context.history = *text;
        dispatchIfPrepared(context, now);
    } else if (m_turns.locate(context.request.previousTurn).has_value()) {
        readHistoryFromStore(context, now); // Read, but evicted from the cache by later turns.
    } else if (!context.useFallbackPartition) {
        context.useFallbackPartition = true;
        readHistoryFromStore(context, now);
    } else if (context.historyReadIncomplete) {
        refuseRequest(context, result_code::HistoryUnavailable, storeRetryDelay, now);
    } else {
        refuseRequest(context, result_code::UnknownTurn, std::nullopt, now);
    }
}

// Handles the reply to a read of one turn at its known location.
void gateway::implementation::onTurnRead(request_context &context, const store::reply &result, time_point now)
{
    context.historyPending = false;
    const auto *read = std::get_if<store::records_read>(&result);
    if (read == nullptr || read->records.empty()) {
        refuseRequest(context, result_code::HistoryUnavailable, storeRetryDelay, now);
        return;
    }
    const auto record = programs::decodeRecord(read->records.front().value);
    const auto *turn = record.has_value() ? std::get_if<programs::turn>(&*record) : nullptr;
    if (turn == nullptr || turn->id != context.request.previousTurn) {
        refuseRequest(context, result_code::HistoryUnavailable, storeRetryDelay, now);
        return;
    }
    context.history = turn->history;
    dispatchIfPrepared(context, now);
}

void gateway::implementation::dispatchIfPrepared(request_context &context, time_point now)
{
    const bool isPrepared =
        !context.reservationPending && !context.historyPending && context.phase == request_phase::Preparing;
    if (isPrepared && admit(context, now)) {
        dispatch(context, now);
    }
}

void gateway::implementation::startTurnWrite(request_context &context, time_point now)
{
    context.phase = request_phase::WritingTurn;
    context.history += context.request.body;
    context.history += context.responseText;
    context.turnWriteDeadline = now + turnWriteTimeout;
    const auto failing = m_partitionBackoffUntil.find(turnPartition(context.request.attempt, false));
    context.useFallbackPartition = failing != m_partitionBackoffUntil.end() && failing->second > now;
    appendTurn(context, now);
    settleReservation(context, true, now);
}

void gateway::implementation::appendTurn(request_context &context, time_point now)
{
    const auto primaryTimeout =
        std::max<milliseconds>(primaryWriteTimeout, m_store.smoothedLatency() * primaryWriteLatencyFactor);
    const auto deadline = context.useFallbackPartition ? context.turnWriteDeadline
                                                       : std::min(context.turnWriteDeadline, now + primaryTimeout);
    const programs::turn record{.id = context.request.attempt, .history = context.history};
    const auto ticket =
        m_log.append(turnPartition(record.id, context.useFallbackPartition), programs::encodeRecord(record), deadline);
    m_tickets.emplace(ticket, ticket_owner{context.id, ticket_use::WriteTurn});
}

void gateway::implementation::onTurnWritten(request_context &context, const store::ticket_result &result,
                                            time_point now)
{
    const auto &turn = context.request.attempt;
    const auto where = turnPartition(turn, context.useFallbackPartition);
    if (!result.done && !context.useFallbackPartition) {
        log(log_level::Warning, "partition_failing", {{"topic", where.topic}, {"part", where.number}});
        m_partitionBackoffUntil[where] = now + partitionBackoff;
        context.useFallbackPartition = true;
        appendTurn(context, now);
        return;
    }
    if (!result.done) {
        m_effects.emplace_back(abort_response{context.id});
        finishRequest(context, "turn_not_written", now);
        return;
    }
    m_turns.add(turn, std::move(context.history), {where, result.offset}, now);
    trimPartition(where, result.offset, now);
    m_effects.emplace_back(end_response{context.id});
    finishRequest(context, internal::answeredOutcome, now);
}

// Deletes the records before the last marked append of this daemon once that append is older than turnLogRetention.
// Without this the store would fill up within minutes of normal load.
void gateway::implementation::trimPartition(const store::partition &where, std::uint64_t offset, time_point now)
{
    const auto [mark, isNew] = m_trimMarks.try_emplace(where, offset, now);
    if (isNew || now - mark->second.second < m_options.turnLogRetention) {
        return;
    }
    if (offset - mark->second.first >= minTrimmedRecords) {
        startStoreCall(internal::no_owner{}, store::trim_call{where, mark->second.first}, now);
    }
    mark->second = {offset, now};
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
