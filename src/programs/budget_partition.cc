#include "programs/programs.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawpick::programs
{

namespace
{

constexpr std::array<std::string_view, 3> budgetAnswerNames{"granted", "denied", "unavailable"};

} // namespace

std::string_view nameOf(budget_decision value)
{
    return budgetAnswerNames.at(static_cast<std::size_t>(value));
}

budget_partition::budget_partition(store::partition where)
    : m_where(std::move(where))
{
}

void budget_partition::reserve(const reservation &what, time_point deadline, time_point now)
{
    const question entry{.what = what, .deadline = deadline};
    if (isAway(now)) {
        answer(what, budget_decision::Unavailable);
        m_mustRead = true;
        startRead();
        return;
    }
    if (m_mustRead) {
        m_waiting.push_back(entry);
        startRead();
        return;
    }
    decide(entry, now);
}

void budget_partition::decide(const question &entry, time_point now)
{
    const auto &what = entry.what;
    if (isGranted(what)) {
        answer(what, budget_decision::Granted);
        return;
    }
    const auto usage = usageOf(what.program);
    const auto held = usage.spent + usage.reserved;
    if (held + what.tokens > what.budget) {
        if (isFresh(now)) {
            answer(what, budget_decision::Denied);
        } else {
            m_waiting.push_back(entry); // Another daemon may have written settlements here.
            startRead();
        }
        return;
    }
    m_unwritten.push_back({.record = what, .since = now, .deadline = entry.deadline});
    startAppend(now);
}

void budget_partition::answer(const reservation &what, budget_decision verdict)
{
    m_outputs.emplace_back(budget_response{.request = what, .decision = verdict, .usage = usageOf(what.program)});
}

void budget_partition::settle(const settlement &what, time_point now)
{
    // A reservation that is not being written yet need not be written any more if nothing was used.
    const auto own = [&what](const unwritten &entry) {
        const auto *asked = std::get_if<reservation>(&entry.record);
        return asked != nullptr && asked->program == what.program && asked->attempt == what.attempt;
    };
    const auto found = std::ranges::find_if(m_unwritten, own);
    if (found != m_unwritten.end() && !found->maybeWritten && what.tokens == 0) {
        m_unwritten.erase(found);
        return;
    }
    m_unwritten.push_back({.record = what, .since = now, .deadline = std::nullopt});
    startAppend(now);
}

bool budget_partition::isGranted(const reservation &what) const
{
    return m_written.verdictOn(what.program, what.attempt) == verdict::Granted
        && !m_written.isSettled(what.program, what.attempt);
}

bool budget_partition::isFresh(time_point now) const
{
    return m_confirmed.has_value() && now - *m_confirmed <= freshFor;
}

bool budget_partition::isAway(time_point now) const
{
    return m_failures >= failuresUntilAway && now - m_failingSince >= awayAfter;
}

budget_usage budget_partition::usageOf(const std::string &program) const
{
    auto usage = m_written.usageOf(program);
    std::unordered_map<std::string, std::uint32_t> reservedHere;
    for (const auto &entry : m_unwritten) {
        if (const auto *asked = std::get_if<reservation>(&entry.record); asked != nullptr) {
            if (asked->program == program) {
                usage.reserved += asked->tokens;
                reservedHere[asked->attempt] = asked->tokens;
            }
        } else if (const auto &used = std::get<settlement>(entry.record); used.program == program) {
            const auto here = reservedHere.find(used.attempt);
            const auto held = here != reservedHere.end() ? here->second : m_written.tokensOf(program, used.attempt);
            usage.reserved -= std::min<std::uint64_t>(usage.reserved, held);
            usage.spent += used.tokens;
        }
    }
    return usage;
}

bool budget_partition::hasUnwritten() const
{
    return !m_unwritten.empty();
}

// ---- Appends ----

// When the unwritten records are to be appended; nothing while they cannot be. A read may find own records, so none
// runs beside an append.
std::optional<time_point> budget_partition::appendDue() const
{
    if (m_mustRead || m_append.has_value() || m_read.has_value() || m_unwritten.empty()) {
        return std::nullopt;
    }
    const bool awaited = std::ranges::any_of(m_unwritten, [](const auto &entry) { return entry.deadline.has_value(); });
    const auto due = awaited ? m_unwritten.front().since : m_unwritten.front().since + groupingTime;
    return std::max(due, m_retryAt.value_or(due));
}

void budget_partition::startAppend(time_point now)
{
    if (const auto due = appendDue(); !due.has_value() || *due > now) {
        return;
    }
    store::append_call what{.where = m_where, .records = {}, .expectedEnd = m_next};
    std::ranges::transform(m_unwritten, std::back_inserter(what.records),
                           [](const unwritten &entry) { return encodeRecord(entry.record); });
    m_inFlight = m_unwritten.size();
    std::ranges::for_each(m_unwritten, [](unwritten &entry) { entry.maybeWritten = true; });
    m_append = budget_call_id{++m_lastCall};
    m_retryAt.reset();
    m_outputs.emplace_back(start_budget_call{.id = *m_append, .call = std::move(what)});
}

void budget_partition::startRead()
{
    if (m_read.has_value() || m_append.has_value() || m_retryAt.has_value()) {
        return; // The reply, or the retry, reads if something waits.
    }
    m_read = budget_call_id{++m_lastCall};
    m_outputs.emplace_back(
        start_budget_call{.id = *m_read, .call = store::read_call{.where = m_where, .from = m_next}});
}

void budget_partition::onReply(budget_call_id id, const store::reply &result, time_point now)
{
    const bool isAppend = m_append == id;
    if (!isAppend && m_read != id) {
        return;
    }
    (isAppend ? m_append : m_read).reset();
    m_failures = std::holds_alternative<store::failure>(result) ? m_failures : 0;
    if (const auto *done = std::get_if<store::appended>(&result); done != nullptr && isAppend) {
        onAppended(*done, now);
    } else if (const auto *records = std::get_if<store::records_read>(&result)) {
        onRead(*records, now);
    } else if (const auto *gone = std::get_if<store::expired>(&result)) {
        m_next = std::max(m_next, gone->first);
        m_mustRead = true;
        startRead();
    } else if (std::holds_alternative<store::conflict>(result)) {
        m_inFlight = 0;
        m_mustRead = true;
        startRead();
    } else {
        // After an append without reply only a read tells whether it was executed.
        const auto *reason = std::get_if<store::failure>(&result);
        m_mustRead = m_mustRead || (isAppend && (reason == nullptr || *reason == store::failure::NoReply));
        m_inFlight = 0;
        m_retryAt = now + retryDelay;
        m_failingSince = m_failures == 0 ? now : m_failingSince;
        ++m_failures;
    }
    expire(now);
    startAppend(now);
    if (!m_waiting.empty() || (m_mustRead && !m_unwritten.empty())) {
        startRead();
    }
}

void budget_partition::onAppended(const store::appended &result, time_point now)
{
    m_next = result.offset + m_inFlight;
    m_confirmed = now;
    std::vector<unwritten> written(
        std::make_move_iterator(m_unwritten.begin()),
        std::make_move_iterator(m_unwritten.begin() + static_cast<std::ptrdiff_t>(m_inFlight)));
    m_unwritten.erase(m_unwritten.begin(), m_unwritten.begin() + static_cast<std::ptrdiff_t>(m_inFlight));
    m_inFlight = 0;
    std::ranges::for_each(written, [&](const unwritten &entry) { m_written.apply(entry.record, now); });
    std::ranges::for_each(written, [this](const unwritten &entry) { answerWritten(entry); });
}

// The verdict on a reservation that has been written and is awaited.
void budget_partition::answerWritten(const unwritten &entry)
{
    if (!entry.deadline.has_value()) {
        return;
    }
    const auto &asked = std::get<reservation>(entry.record);
    const bool granted = m_written.verdictOn(asked.program, asked.attempt) == verdict::Granted;
    answer(asked, granted ? budget_decision::Granted : budget_decision::Denied);
}

void budget_partition::onRead(const store::records_read &result, time_point now)
{
    for (const auto &entry : result.records) {
        if (entry.offset < m_next) {
            continue;
        }
        if (const auto record = decodeRecord(entry.value); record.has_value()) {
            m_written.apply(*record, now);
        }
    }
    m_next = std::max(m_next, result.next);
    if (m_next < result.end) {
        startRead();
        return;
    }
    m_mustRead = false;
    m_confirmed = now;
    dropWritten();
    decideWaiting(now);
}

// Records whose append had no reply may turn out to be written.
void budget_partition::dropWritten()
{
    std::vector<unwritten> left;
    for (auto &entry : std::exchange(m_unwritten, {})) {
        if (isWritten(entry.record)) {
            answerWritten(entry);
        } else {
            left.push_back(std::move(entry));
        }
    }
    m_unwritten = std::move(left);
}

bool budget_partition::isWritten(const program_record &record) const
{
    if (const auto *asked = std::get_if<reservation>(&record)) {
        return m_written.verdictOn(asked->program, asked->attempt) != verdict::Unknown;
    }
    const auto &used = std::get<settlement>(record);
    return m_written.isSettled(used.program, used.attempt);
}

void budget_partition::decideWaiting(time_point now)
{
    for (const auto &entry : std::exchange(m_waiting, {})) {
        decide(entry, now);
    }
}

// ---- Time ----

// A reservation whose verdict comes too late is taken back unless its append may have been executed. It is never
// settled here: another daemon may have granted the same request meanwhile, and what it uses must count.
void budget_partition::expire(time_point now)
{
    std::erase_if(m_waiting, [&](const question &entry) {
        const bool late = entry.deadline <= now;
        if (late) {
            answer(entry.what, budget_decision::Unavailable);
        }
        return late;
    });
    std::erase_if(m_unwritten, [&](unwritten &entry) {
        if (!entry.deadline.has_value() || *entry.deadline > now) {
            return false;
        }
        answer(std::get<reservation>(entry.record), budget_decision::Unavailable);
        entry.deadline.reset();
        return !entry.maybeWritten;
    });
}

void budget_partition::tick(time_point now)
{
    if (m_retryAt.has_value() && *m_retryAt <= now) {
        m_retryAt.reset();
        if (m_mustRead && (!m_unwritten.empty() || !m_waiting.empty())) {
            startRead();
        }
    }
    if (!m_append.has_value()) {
        expire(now);
    }
    if (!m_waiting.empty()) {
        startRead();
    }
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
    if (!m_append.has_value()) {
        std::ranges::for_each(m_waiting, consider, &question::deadline);
    }
    return earliest;
}

void budget_partition::evictIdle(time_point now)
{
    m_written.evictIdle(now);
}

std::vector<budget_output> budget_partition::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

} // namespace jackdawpick::programs
