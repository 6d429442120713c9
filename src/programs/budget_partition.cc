#include "programs/programs.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawpick::programs
{

namespace
{

constexpr std::array<std::string_view, 3> budgetAnswerNames{"granted", "denied", "unavailable"};

// Whether an append with this reply may have been executed, or may still be.
bool mayBeExecuted(const store::reply &result)
{
    if (const auto *reason = std::get_if<store::failure>(&result)) {
        return *reason == store::failure::NoReply;
    }
    return !std::holds_alternative<store::conflict>(result) && !std::holds_alternative<store::expired>(result);
}

} // namespace

std::string_view nameOf(budget_decision value)
{
    return budgetAnswerNames.at(static_cast<std::size_t>(value));
}

budget_partition::budget_partition(store::partition where)
    : m_where(std::move(where))
{
}

void budget_partition::reserve(const reservation &request, time_point deadline, time_point now)
{
    const pending_request entry{.request = request, .deadline = deadline};
    if (isUnavailable(now)) {
        respond(request, budget_decision::Unavailable);
        m_readRequired = true;
        startRead();
        return;
    }
    if (m_readRequired) {
        m_pendingRequests.push_back(entry);
        startRead();
        return;
    }
    decide(entry, now);
}

void budget_partition::decide(const pending_request &entry, time_point now)
{
    const auto &request = entry.request;
    if (entry.deadline <= now) {
        respond(request, budget_decision::Unavailable);
        return;
    }
    if (isUnsettled(request.program, request.attempt)) {
        grant(request, now);
        return;
    }
    if (!fits(request)) {
        if (isViewFresh(now)) {
            deny(request, now);
        } else {
            m_pendingRequests.push_back(entry); // Another daemon may have written settlements meanwhile.
            startRead();
        }
        return;
    }
    auto record = request;
    record.retry = m_ledger.nextRetryOf(request.program, request.attempt);
    m_unwritten.push_back({.record = std::move(record), .since = now, .due = now, .deadline = entry.deadline});
    startAppend(now);
}

bool budget_partition::fits(const reservation &request) const
{
    const auto usage = certainUsageOf(request.program);
    return usage.spent + usage.reserved + request.tokens <= request.budget;
}

void budget_partition::reserveAgain(const reservation &request, time_point deadline, time_point now)
{
    m_readRequired = true;
    reserve(request, deadline, now);
}

void budget_partition::onTurnsMissing(const std::string &program, const std::vector<std::string> &attempts,
                                      time_point now)
{
    constexpr unsigned maxDoublings = 6;
    for (const auto &attempt : attempts) {
        auto &known = m_attempts[program][attempt];
        known.certainUntil = now + missingTurnTime * (1U << std::min(known.looks, maxDoublings));
        ++known.looks;
    }
}

// Whether the reservation of the request counts for certain: the request is under way, or it ended without a turn.
bool budget_partition::isCertain(const std::string &program, const std::string &attempt, time_point now) const
{
    const auto known = m_attempts.find(program);
    if (known == m_attempts.end()) {
        return false;
    }
    const auto found = known->second.find(attempt);
    if (found == known->second.end()) {
        return false;
    }
    return now < found->second.certainUntil;
}

void budget_partition::grant(const reservation &request, time_point now)
{
    m_attempts[request.program][request.attempt].certainUntil = now + presumedOpenTime;
    respond(request, budget_decision::Granted);
}

void budget_partition::deny(const reservation &request, time_point now)
{
    respond(request, budget_decision::Denied);
    auto &response = std::get<budget_response>(m_outputs.back());
    response.unsettled = m_ledger.unsettledOf(request.program);
    std::erase_if(response.unsettled, [&](const auto &entry) { return !isUnsettled(request.program, entry.attempt); });
    for (const auto &entry : response.unsettled) {
        if (response.uncertain.size() < maxUncertain && !isCertain(request.program, entry.attempt, now)) {
            response.uncertain.push_back(entry.attempt);
        }
    }
}

void budget_partition::respond(const reservation &request, budget_decision decision)
{
    m_outputs.emplace_back(budget_response{
        .request = request, .decision = decision, .usage = usageOf(request.program), .view = viewOf(request.program)});
    std::get<budget_response>(m_outputs.back()).request.retry = 0;
}

void budget_partition::settle(const settlement &use, time_point now, std::chrono::milliseconds delay)
{
    withdraw(use);
    if (const auto known = m_attempts.find(use.program); known != m_attempts.end()) {
        known->second.erase(use.attempt);
    }
    m_unwritten.push_back({.record = use, .since = now, .due = now + delay, .deadline = std::nullopt});
    startAppend(now);
    startRequiredRead();
}

// Removes what still waits for a reservation of a finished request. The settlement is written all the same: another
// daemon may have written the reservation.
void budget_partition::withdraw(const settlement &use)
{
    const auto isSameRequest = [&use](const reservation &request) {
        return request.program == use.program && request.attempt == use.attempt;
    };
    std::vector<reservation> withdrawn;
    for (const auto &entry : m_pendingRequests) {
        if (isSameRequest(entry.request)) {
            withdrawn.push_back(entry.request);
        }
    }
    std::erase_if(m_pendingRequests, [&](const pending_request &entry) { return isSameRequest(entry.request); });
    const auto removed =
        std::stable_partition(m_unwritten.begin(), m_unwritten.end(), [&](const unwritten_record &entry) {
            const auto *reserved = std::get_if<reservation>(&entry.record);
            return reserved == nullptr || !isSameRequest(*reserved);
        });
    std::transform(removed, m_unwritten.end(), std::back_inserter(withdrawn),
                   [](const unwritten_record &entry) { return std::get<reservation>(entry.record); });
    m_unwritten.erase(removed, m_unwritten.end());
    for (const auto &request : withdrawn) {
        respond(request, budget_decision::Unavailable);
    }
}

bool budget_partition::isUnsettled(const std::string &program, const std::string &attempt) const
{
    const auto isSettlement = [&](const unwritten_record &entry) {
        const auto *settled = std::get_if<settlement>(&entry.record);
        return settled != nullptr && settled->program == program && settled->attempt == attempt;
    };
    return m_ledger.stateOf(program, attempt) == reservation_state::Granted && !m_ledger.isSettled(program, attempt)
        && std::ranges::none_of(m_appending, isSettlement) && std::ranges::none_of(m_unwritten, isSettlement);
}

bool budget_partition::isViewFresh(time_point now) const
{
    return m_lastConfirmed.has_value() && now - *m_lastConfirmed <= maxViewAge;
}

bool budget_partition::isUnavailable(time_point now) const
{
    return m_failures >= failuresUntilUnavailable && now - m_failingSince >= unavailableAfter;
}

// Written records and settlements that are known to be due. A denial may rest on nothing else: a reservation that is
// not written may never be, and if it is, the order in the log decides between it and later ones.
budget_usage budget_partition::certainUsageOf(const std::string &program) const
{
    std::vector<program_record> settlements;
    const auto addSettlement = [&](const unwritten_record &entry) {
        if (const auto *settled = std::get_if<settlement>(&entry.record);
            settled != nullptr && settled->program == program) {
            settlements.emplace_back(*settled);
        }
    };
    std::ranges::for_each(m_appending, addSettlement);
    std::ranges::for_each(m_unwritten, addSettlement);
    return m_ledger.usageAfter(program, settlements);
}

budget_usage budget_partition::usageOf(const std::string &program) const
{
    std::vector<program_record> records;
    const auto addRecord = [&](const unwritten_record &entry) {
        if (programOf(entry.record) == program) {
            records.push_back(entry.record);
        }
    };
    std::ranges::for_each(m_abandoned, addRecord);
    std::ranges::for_each(m_appending, addRecord);
    std::ranges::for_each(m_unwritten, addRecord);
    return m_ledger.usageAfter(program, records);
}

bool budget_partition::hasUnwrittenRecords() const
{
    return !m_appending.empty() || !m_unwritten.empty();
}

// ---- Appends ----

// When the unwritten records are to be appended; empty while no append may start. A read could return records of a
// concurrent append, so the two never run at the same time.
std::optional<time_point> budget_partition::appendDue() const
{
    if (m_readRequired || m_appendCall.has_value() || m_readCall.has_value() || m_unwritten.empty()) {
        return std::nullopt;
    }
    const auto due = std::ranges::min_element(m_unwritten, std::less<>(), &unwritten_record::due)->due;
    return std::max(due, m_retryAt.value_or(due));
}

void budget_partition::startAppend(time_point now)
{
    if (const auto due = appendDue(); !due.has_value() || *due > now) {
        return;
    }
    store::append_call call{.where = m_where, .records = {}, .expectedEnd = m_nextOffset};
    m_appending = std::exchange(m_unwritten, {});
    std::ranges::transform(m_appending, std::back_inserter(call.records),
                           [](const unwritten_record &entry) { return encodeRecord(entry.record); });
    m_appendCall = budget_call_id{++m_lastCall};
    m_retryAt.reset();
    m_outputs.emplace_back(start_budget_call{.id = *m_appendCall, .call = std::move(call)});
}

void budget_partition::startRead()
{
    if (m_readCall.has_value() || m_appendCall.has_value() || m_retryAt.has_value()) {
        return; // The reply, or the retry, reads if something waits.
    }
    m_readCall = budget_call_id{++m_lastCall};
    m_outputs.emplace_back(
        start_budget_call{.id = *m_readCall, .call = store::read_call{.where = m_where, .from = m_nextOffset}});
}

// Starts a read if a request or an unwritten record waits for one.
void budget_partition::startRequiredRead()
{
    if (!m_pendingRequests.empty() || (m_readRequired && !m_unwritten.empty())) {
        startRead();
    }
}

void budget_partition::onReply(budget_call_id id, const store::reply &result, time_point now)
{
    const bool isAppend = m_appendCall == id;
    if (!isAppend && m_readCall != id) {
        return;
    }
    (isAppend ? m_appendCall : m_readCall).reset();
    m_failures = std::holds_alternative<store::failure>(result) ? m_failures : 0;
    if (isAppend && !std::holds_alternative<store::appended>(result)) {
        returnToUnwritten(mayBeExecuted(result));
    }
    if (const auto *appendResult = std::get_if<store::appended>(&result); appendResult != nullptr && isAppend) {
        onAppended(*appendResult, now);
    } else if (const auto *records = std::get_if<store::records_read>(&result)) {
        onRead(*records, now);
    } else if (const auto *expiredRange = std::get_if<store::expired>(&result)) {
        m_nextOffset = std::max(m_nextOffset, expiredRange->first);
        m_readRequired = true;
        startRead();
    } else if (std::holds_alternative<store::conflict>(result)) {
        m_readRequired = true;
        startRead();
    } else {
        // Whether an append without reply was executed can only be found out by reading.
        m_readRequired = m_readRequired || (isAppend && mayBeExecuted(result));
        m_retryAt = now + retryDelay;
        m_failingSince = m_failures == 0 ? now : m_failingSince;
        ++m_failures;
    }
    expire(now);
    startAppend(now);
    startRequiredRead();
}

void budget_partition::onAppended(const store::appended &result, time_point now)
{
    const auto written = std::exchange(m_appending, {});
    m_nextOffset = result.offset + written.size();
    m_lastConfirmed = now;
    std::ranges::for_each(written, [&](const unwritten_record &entry) { m_ledger.apply(entry.record, now); });
    std::ranges::for_each(written, [&](const unwritten_record &entry) { respondToWritten(entry, now); });
    forgetResolvedAppends();
}

// Puts the records of an append that was not acknowledged back to the front of the unwritten ones.
void budget_partition::returnToUnwritten(bool maybeExecuted)
{
    if (maybeExecuted) {
        std::ranges::for_each(m_appending, [this](unwritten_record &entry) { entry.lostAppendAt = m_nextOffset; });
    }
    m_unwritten.insert(m_unwritten.begin(), std::make_move_iterator(m_appending.begin()),
                       std::make_move_iterator(m_appending.end()));
    m_appending.clear();
}

// Responds to a reservation that has been written, if its response is pending.
void budget_partition::respondToWritten(const unwritten_record &entry, time_point now)
{
    if (!entry.deadline.has_value()) {
        return;
    }
    const auto &request = std::get<reservation>(entry.record);
    if (m_ledger.stateOf(request.program, request.attempt) == reservation_state::Granted) {
        grant(request, now);
    } else if (fits(request)) {
        // What the denial rested on was settled meanwhile.
        m_pendingRequests.push_back({.request = request, .deadline = *entry.deadline});
        m_pendingRequests.back().request.retry = 0;
    } else {
        deny(request, now);
    }
}

void budget_partition::onRead(const store::records_read &result, time_point now)
{
    for (const auto &entry : result.records) {
        if (entry.offset < m_nextOffset) {
            continue;
        }
        if (const auto record = decodeRecord(entry.value); record.has_value()) {
            m_ledger.apply(*record, now);
        }
    }
    m_nextOffset = std::max(m_nextOffset, result.next);
    if (m_nextOffset < result.end) {
        startRead();
        return;
    }
    m_readRequired = false;
    m_lastConfirmed = now;
    removeWritten(now);
    forgetResolvedAppends();
    decidePending(now);
}

// Removes unwritten records that the partition contains, since an append without reply may have been executed.
void budget_partition::removeWritten(time_point now)
{
    std::vector<unwritten_record> remaining;
    for (auto &entry : std::exchange(m_unwritten, {})) {
        if (isWritten(entry.record)) {
            respondToWritten(entry, now);
        } else {
            remaining.push_back(std::move(entry));
        }
    }
    m_unwritten = std::move(remaining);
}

// A lost append can no longer be executed once the partition has grown past the end on which it was conditional.
void budget_partition::forgetResolvedAppends()
{
    std::erase_if(m_abandoned, [this](const unwritten_record &entry) {
        return isWritten(entry.record) || m_nextOffset > entry.lostAppendAt.value_or(0);
    });
}

bool budget_partition::isWritten(const program_record &record) const
{
    if (const auto *reserved = std::get_if<reservation>(&record)) {
        return m_ledger.isApplied(*reserved);
    }
    const auto &settled = std::get<settlement>(record);
    return m_ledger.isSettled(settled.program, settled.attempt);
}

void budget_partition::decidePending(time_point now)
{
    for (const auto &entry : std::exchange(m_pendingRequests, {})) {
        decide(entry, now);
    }
}

// ---- Time ----

// Removes requests whose deadline has passed. Their reservations must not be settled with 0 tokens here: another daemon
// may have granted the same request meanwhile, and the tokens used there must count.
void budget_partition::expire(time_point now)
{
    const auto isInTime = [now](const auto &entry) {
        return entry.deadline > now;
    };
    std::vector<reservation> expired;
    const auto overdue = std::stable_partition(m_pendingRequests.begin(), m_pendingRequests.end(), isInTime);
    std::transform(overdue, m_pendingRequests.end(), std::back_inserter(expired),
                   [](const pending_request &entry) { return entry.request; });
    m_pendingRequests.erase(overdue, m_pendingRequests.end());
    const auto unwanted =
        std::stable_partition(m_unwritten.begin(), m_unwritten.end(), [&](const unwritten_record &entry) {
            return !entry.deadline.has_value() || *entry.deadline > now;
        });
    for (auto entry = unwanted; entry != m_unwritten.end(); ++entry) {
        expired.push_back(std::get<reservation>(entry->record));
        if (entry->lostAppendAt.has_value()) {
            m_abandoned.push_back(std::move(*entry));
        }
    }
    m_unwritten.erase(unwanted, m_unwritten.end());
    for (const auto &request : expired) {
        respond(request, budget_decision::Unavailable);
    }
}

void budget_partition::tick(time_point now)
{
    if (m_retryAt.has_value() && *m_retryAt <= now) {
        m_retryAt.reset();
    }
    expire(now);
    startRequiredRead();
    startAppend(now);
}

std::optional<time_point> budget_partition::nextDeadline() const
{
    std::optional<time_point> earliest = appendDue();
    const auto consider = [&earliest](time_point when) {
        earliest = std::min(earliest.value_or(when), when);
    };
    if (m_retryAt.has_value()) {
        consider(*m_retryAt);
    }
    std::ranges::for_each(m_pendingRequests, consider, &pending_request::deadline);
    for (const auto &entry : m_unwritten) {
        if (entry.deadline.has_value()) {
            consider(*entry.deadline);
        }
    }
    return earliest;
}

std::size_t budget_partition::programCount() const
{
    return m_ledger.size();
}

void budget_partition::evictIdle(time_point now)
{
    m_ledger.evictIdle(now);
    std::erase_if(m_attempts, [this](const auto &entry) { return m_ledger.unsettledOf(entry.first).empty(); });
}

unwritten_records budget_partition::unwrittenRecords() const
{
    unwritten_records result;
    const auto addRecord = [&result](const unwritten_record &entry) {
        ++(std::holds_alternative<reservation>(entry.record) ? result.reservations : result.settlements);
        result.oldest = std::min(result.oldest.value_or(entry.since), entry.since);
    };
    std::ranges::for_each(m_appending, addRecord);
    std::ranges::for_each(m_unwritten, addRecord);
    return result;
}

budget_view budget_partition::viewOf(const std::string &program) const
{
    budget_view view{.reservedWritten = m_ledger.usageOf(program).reserved, .confirmed = m_lastConfirmed};
    const auto addReservation = [&](const unwritten_record &entry) {
        const auto *reserved = std::get_if<reservation>(&entry.record);
        view.reservedUnwritten += reserved != nullptr && reserved->program == program ? reserved->tokens : 0;
    };
    std::ranges::for_each(m_abandoned, addReservation);
    std::ranges::for_each(m_appending, addReservation);
    std::ranges::for_each(m_unwritten, addReservation);
    return view;
}

std::vector<budget_output> budget_partition::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace jackdawpick::programs
