// Histories of agent programs: the text of the turns that a request continues, and the record of a finished turn before
// the end of its answer.

#include "gateway/internal/implementation.h"
#include "gateway/internal/retry_times.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using internal::storeRetry;
using std::chrono::milliseconds;

// How long a request may wait for its history. Beyond this a caller is better off coming again.
constexpr milliseconds historyTimeout{1200};
// How long another daemon may take to send a turn; the store has it too.
constexpr milliseconds peerTurnTimeout{60};
// How long the end of an answer may wait for its turn to be written; callers give a silent stream up after 2 s.
constexpr milliseconds saveTimeout{1800};
// After this, or a few usual times of the store, the turn is written to its second place.
constexpr milliseconds firstPlaceTimeout{250};
constexpr int firstPlaceTimes = 3;
// Fewer records are not worth a call.
constexpr std::uint64_t fewestTrimmed = 3;
// How long a partition that failed is passed over.
constexpr milliseconds failingTime{2000};

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

store::partition gateway::implementation::turnPartition(const std::string &turn, bool second) const
{
    const auto &layout = m_options.layout;
    return partitionFor("turns", second ? turn + "/2" : turn, layout.turnTopics, layout.partsPerTopic);
}

// `holder` is a daemon that has the text; empty if none is known.
void gateway::implementation::beginHistory(call &value, const std::string &holder, time_point now)
{
    if (const auto *text = m_turns.find(value.request.previousTurn); text != nullptr) {
        value.history = *text;
        value.historyPending = false;
        continueIfPrepared(value, now);
        return;
    }
    const auto link = m_peers.linkTo(holder);
    if (!link.has_value()) {
        readHistory(value, now);
        return;
    }
    m_turnQuestions.emplace(++m_lastQuestion, peer_question{value.id, *link, now + peerTurnTimeout});
    m_out.emplace_back(send_message{*link, peers::turn_request{m_lastQuestion, value.request.previousTurn}});
}

void gateway::implementation::readHistory(call &value, time_point now)
{
    const auto &turn = value.request.previousTurn;
    if (!storeAvailable(now)) {
        refuseCall(value, result_code::LogUnavailable, storeRetry, now);
        return;
    }
    if (const auto place = m_turns.locate(turn); place.has_value()) {
        startStoreCall(internal::for_turn{value.id}, store::read_call{.where = place->where, .from = place->offset},
                       now);
        return;
    }
    const auto where = turnPartition(turn, value.secondPlace);
    const auto ticket = m_log.catchUp(where, std::min(value.deadline, now + historyTimeout / 2));
    m_tickets.emplace(ticket, ticket_owner{value.id, ticket_use::History});
}

// The partition of the turn has been read to its end if `certain`.
void gateway::implementation::onHistoryRead(call &value, bool certain, time_point now)
{
    value.historyUncertain = value.historyUncertain || !certain;
    if (const auto *text = m_turns.find(value.request.previousTurn); text != nullptr) {
        value.historyPending = false;
        value.history = *text;
        continueIfPrepared(value, now);
    } else if (m_turns.locate(value.request.previousTurn).has_value()) {
        readHistory(value, now); // Found, and evicted again by the turns behind it.
    } else if (!value.secondPlace) {
        value.secondPlace = true;
        readHistory(value, now);
    } else if (value.historyUncertain) {
        refuseCall(value, result_code::HistoryUnavailable, storeRetry, now);
    } else {
        refuseCall(value, result_code::UnknownTurn, std::nullopt, now);
    }
}

// The reply to the read of one turn by its place.
void gateway::implementation::onTurnRead(call &value, const store::reply &result, time_point now)
{
    value.historyPending = false;
    const auto *read = std::get_if<store::records_read>(&result);
    if (read == nullptr || read->records.empty()) {
        refuseCall(value, result_code::HistoryUnavailable, storeRetry, now);
        return;
    }
    const auto record = programs::decodeRecord(read->records.front().value);
    const auto *turn = record.has_value() ? std::get_if<programs::turn>(&*record) : nullptr;
    if (turn == nullptr || turn->id != value.request.previousTurn) {
        refuseCall(value, result_code::HistoryUnavailable, storeRetry, now);
        return;
    }
    value.history = turn->history;
    continueIfPrepared(value, now);
}

void gateway::implementation::continueIfPrepared(call &value, time_point now)
{
    const bool isPrepared = !value.reservationPending && !value.historyPending && value.phase == call_phase::Preparing;
    if (isPrepared && admit(value, now)) {
        dispatch(value, now);
    }
}

void gateway::implementation::beginSaving(call &value, time_point now)
{
    value.phase = call_phase::Saving;
    value.history += value.request.body;
    value.history += value.output;
    value.saveDeadline = now + saveTimeout;
    const auto failing = m_failingUntil.find(turnPartition(value.request.attempt, false));
    value.secondPlace = failing != m_failingUntil.end() && failing->second > now;
    saveTurn(value, now);
    settle(value, true, now);
}

void gateway::implementation::saveTurn(call &value, time_point now)
{
    const auto first = std::max<milliseconds>(firstPlaceTimeout, m_store.usualTime() * firstPlaceTimes);
    const auto deadline = value.secondPlace ? value.saveDeadline : std::min(value.saveDeadline, now + first);
    const programs::turn record{.id = value.request.attempt, .history = value.history};
    const auto ticket =
        m_log.append(turnPartition(record.id, value.secondPlace), programs::encodeRecord(record), deadline);
    m_tickets.emplace(ticket, ticket_owner{value.id, ticket_use::SaveTurn});
}

void gateway::implementation::onSaved(call &value, const store::ticket_result &result, time_point now)
{
    const auto &turn = value.request.attempt;
    const auto where = turnPartition(turn, value.secondPlace);
    if (!result.done && !value.secondPlace) {
        log(log_level::Warning, "partition_failing", {{"topic", where.topic}, {"part", where.number}});
        m_failingUntil[where] = now + failingTime;
        value.secondPlace = true;
        saveTurn(value, now);
        return;
    }
    if (!result.done) {
        m_out.emplace_back(abort_response{value.id});
        finishCall(value, "turn_not_written", now);
        return;
    }
    m_turns.add(turn, std::move(value.history), {where, result.offset}, now);
    trimBehind(where, result.offset, now);
    m_out.emplace_back(end_response{value.id});
    finishCall(value, internal::answeredOutcome, now);
}

// Each daemon deletes what lies before its own last visit to the partition, if that was long enough ago. Without this
// the store would be full within minutes of normal load.
void gateway::implementation::trimBehind(const store::partition &where, std::uint64_t offset, time_point now)
{
    const auto [mark, isNew] = m_marks.try_emplace(where, offset, now);
    if (isNew || now - mark->second.second < m_options.turnLogRetention) {
        return;
    }
    if (offset - mark->second.first >= fewestTrimmed) {
        startStoreCall(internal::for_nobody{}, store::trim_call{where, mark->second.first}, now);
    }
    mark->second = {offset, now};
}

std::uint32_t gateway::implementation::tokensHandedOver(const call &value) const
{
    const auto *service = value.table->findService(value.service);
    const bool known = service != nullptr && service->engine.has_value();
    return value.eventCount * (known ? service->engine->tokensPerEvent : 1);
}

} // namespace jackdawpick::gateway
