// Budgets and histories of agent programs: reservations before a request runs, the text of the turns that it continues,
// and the record of a finished turn before the end of its answer.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// How long a request may wait for its reservation and its history. Beyond this a caller is better off coming again.
constexpr milliseconds preparationTimeout{1200};
// How long the end of an answer may wait for its turn to be written; callers give a silent stream up after 2 s.
constexpr milliseconds saveTimeout{1800};
// A settlement that cannot be written counts as the whole reservation, which costs the program budget.
constexpr milliseconds settlementTimeout{10000};
constexpr milliseconds storeRetry{700};

store::partition partitionFor(std::string_view prefix, const std::string &key, std::uint32_t topics,
                              std::uint32_t parts)
{
    const auto hash = XXH3_64bits(key.data(), key.size());
    const auto topic = static_cast<std::uint32_t>(hash % topics);
    const auto part = static_cast<std::uint32_t>((hash / topics) % parts);
    return {fmt::format("{}-{}", prefix, topic), part};
}

} // namespace

bool gateway::implementation::hasBudget(const call &value)
{
    return value.request.tokenBudget.has_value() && !value.request.program.empty();
}

store::partition gateway::implementation::programPartition(const std::string &program) const
{
    return partitionFor("programs", program, m_options.layout.programTopics, m_options.layout.partsPerTopic);
}

store::partition gateway::implementation::turnPartition(const std::string &turn) const
{
    return partitionFor("turns", turn, m_options.layout.turnTopics, m_options.layout.partsPerTopic);
}

void gateway::implementation::beginReservation(call &value, time_point now)
{
    if (!storeAvailable(now)) {
        refuseCall(value, 503, storeRetry, "store_unavailable", now);
        return;
    }
    const programs::reservation record{.program = value.request.program,
                                       .attempt = value.request.attempt,
                                       .tokens = value.request.maxOutputTokens,
                                       .budget = *value.request.tokenBudget};
    const auto ticket = m_log.append(programPartition(value.request.program), programs::encodeRecord(record),
                                     store::follow::UntilRead, std::min(value.deadline, now + preparationTimeout));
    m_tickets.emplace(ticket, ticket_owner{value.id, ticket_use::Reservation});
    value.reserved = true;
    value.reservationPending = true;
}

void gateway::implementation::onReservation(call &value, const store::ticket_result &result, time_point now)
{
    value.reservationPending = false;
    if (!result.done) {
        refuseCall(value, 503, storeRetry, "reservation_not_written", now);
        return;
    }
    if (m_ledger.verdictOn(value.request.program, value.request.attempt) != programs::verdict::Granted) {
        const auto usage = m_ledger.usageOf(value.request.program);
        logCall(log_level::Info, "budget_exceeded", value,
                {{"budget", *value.request.tokenBudget},
                 {"asked", value.request.maxOutputTokens},
                 {"spent", usage.spent},
                 {"reserved", usage.reserved},
                 {"offset", result.offset}},
                now);
        value.reserved = false; // A denied reservation holds nothing.
        refuseCall(value, 402, std::nullopt, "budget_exceeded", now);
        return;
    }
    continueIfPrepared(value, now);
}

void gateway::implementation::beginHistory(call &value, time_point now)
{
    const auto &turn = value.request.previousTurn;
    if (turn.empty()) {
        return;
    }
    if (const auto *text = m_turns.find(turn); text != nullptr) {
        value.history = *text;
        return;
    }
    if (!storeAvailable(now)) {
        refuseCall(value, 503, storeRetry, "store_unavailable", now);
        return;
    }
    value.historyPending = true;
    if (const auto place = m_turns.locate(turn); place.has_value()) {
        startStoreCall(internal::for_turn{value.id}, store::read_call{.where = place->where, .from = place->offset},
                       now);
        return;
    }
    const auto ticket =
        m_log.catchUp(turnPartition(turn), std::min(value.deadline, now + preparationTimeout));
    m_tickets.emplace(ticket, ticket_owner{value.id, ticket_use::History});
}

// The partition of the turn has been read to its end if `certain`.
void gateway::implementation::onHistoryRead(call &value, bool certain, time_point now)
{
    value.historyPending = false;
    if (const auto *text = m_turns.find(value.request.previousTurn); text != nullptr) {
        value.history = *text;
        continueIfPrepared(value, now);
    } else if (!certain) {
        refuseCall(value, 503, storeRetry, "history_not_read", now);
    } else if (m_turns.locate(value.request.previousTurn).has_value()) {
        beginHistory(value, now); // Found, and evicted again by the turns behind it.
    } else {
        refuseCall(value, 404, std::nullopt, "no_such_turn", now);
    }
}

// The reply to the read of one turn by its place.
void gateway::implementation::onTurnRead(call &value, const store::reply &result, time_point now)
{
    value.historyPending = false;
    const auto *read = std::get_if<store::records_read>(&result);
    if (read == nullptr || read->records.empty()) {
        refuseCall(value, 503, storeRetry, "history_not_read", now);
        return;
    }
    const auto record = programs::decodeRecord(read->records.front().value);
    const auto *turn = record.has_value() ? std::get_if<programs::turn>(&*record) : nullptr;
    if (turn == nullptr || turn->id != value.request.previousTurn) {
        refuseCall(value, 503, storeRetry, "history_not_read", now);
        return;
    }
    value.history = turn->history;
    continueIfPrepared(value, now);
}

void gateway::implementation::continueIfPrepared(call &value, time_point now)
{
    if (!value.reservationPending && !value.historyPending && value.phase == call_phase::Preparing) {
        dispatch(value, now);
    }
}

void gateway::implementation::beginSaving(call &value, time_point now)
{
    value.phase = call_phase::Saving;
    programs::turn record{.id = value.request.attempt, .history = std::move(value.history)};
    record.history += value.request.body;
    record.history += value.output;
    const auto ticket = m_log.append(turnPartition(record.id), programs::encodeRecord(record),
                                     store::follow::UntilAppended, now + saveTimeout);
    m_tickets.emplace(ticket, ticket_owner{value.id, ticket_use::SaveTurn});
    settle(value, now);
}

void gateway::implementation::onSaved(call &value, const store::ticket_result &result, time_point now)
{
    if (!result.done) {
        m_out.emplace_back(abort_answer{value.id});
        finishCall(value, "turn_not_written", now);
        return;
    }
    m_out.emplace_back(end_answer{value.id});
    finishCall(value, "answered", now);
}

std::uint32_t gateway::implementation::tokensHandedOver(const call &value) const
{
    const auto *service = value.table->findService(value.service);
    const bool known = service != nullptr && service->engine.has_value();
    return value.eventCount * (known ? service->engine->tokensPerEvent : 1);
}

void gateway::implementation::settle(call &value, time_point now)
{
    if (!std::exchange(value.reserved, false)) {
        return;
    }
    const programs::settlement record{.program = value.request.program,
                                      .attempt = value.request.attempt,
                                      .tokens = tokensHandedOver(value)};
    m_log.append(programPartition(value.request.program), programs::encodeRecord(record),
                 store::follow::UntilAppended, now + settlementTimeout);
}

} // namespace jackdawpick::gateway
