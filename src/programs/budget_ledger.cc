#include "programs/programs.h"

#include <algorithm>

namespace jackdawpick::programs
{

std::string_view programOf(const program_record &value)
{
    if (const auto *reserved = std::get_if<reservation>(&value)) {
        return reserved->program;
    }
    const auto *settled = std::get_if<settlement>(&value);
    return settled == nullptr ? std::string_view() : settled->program;
}

void budget_ledger::apply(const program_record &value, time_point now)
{
    if (std::holds_alternative<turn>(value)) {
        return;
    }
    auto &program = m_programs[std::string(programOf(value))];
    program.lastRecord = now;
    applyTo(program, value, now);
}

void budget_ledger::applyTo(program_state &program, const program_record &value, time_point now)
{
    if (const auto *reserved = std::get_if<reservation>(&value)) {
        reserve(program, *reserved, now);
    } else if (const auto *settled = std::get_if<settlement>(&value)) {
        settle(program, *settled);
    }
}

// Only the first record of a request counts; a reservation that was appended twice has no further effect. After a
// denial the next retry is decided anew: what the denial rested on may have been settled since.
void budget_ledger::reserve(program_state &program, const reservation &value, time_point now)
{
    const auto [entry, isNew] = program.attempts.try_emplace(value.attempt);
    const auto &known = entry->second;
    if (!isNew && (known.granted || known.settled || value.retry <= known.retry)) {
        return;
    }
    const auto &usage = program.usage;
    const bool fits = usage.spent + usage.reserved + value.tokens <= value.budget;
    entry->second = {.tokens = value.tokens, .granted = fits, .retry = value.retry, .since = now};
    if (fits) {
        program.usage.reserved += value.tokens;
    }
}

void budget_ledger::settle(program_state &program, const settlement &value)
{
    auto &attempt = program.attempts[value.attempt];
    if (attempt.settled) {
        // The larger of two settlements counts.
        program.usage.spent += std::max(value.tokens, attempt.tokens) - attempt.tokens;
        attempt.tokens = std::max(value.tokens, attempt.tokens);
        return;
    }
    if (attempt.granted) {
        program.usage.reserved -= attempt.tokens;
    }
    attempt.tokens = value.tokens;
    attempt.settled = true;
    program.usage.spent += value.tokens;
}

const budget_ledger::attempt_state *budget_ledger::find(const std::string &program, const std::string &attempt) const
{
    const auto state = m_programs.find(program);
    if (state == m_programs.end()) {
        return nullptr;
    }
    const auto found = state->second.attempts.find(attempt);
    return found == state->second.attempts.end() ? nullptr : &found->second;
}

reservation_state budget_ledger::stateOf(const std::string &program, const std::string &attempt) const
{
    const auto *state = find(program, attempt);
    if (state == nullptr) {
        return reservation_state::Unknown;
    }
    return state->granted ? reservation_state::Granted : reservation_state::Denied;
}

std::uint32_t budget_ledger::tokensOf(const std::string &program, const std::string &attempt) const
{
    const auto *state = find(program, attempt);
    return state != nullptr && (state->granted || state->settled) ? state->tokens : 0;
}

bool budget_ledger::isSettled(const std::string &program, const std::string &attempt) const
{
    const auto *state = find(program, attempt);
    return state != nullptr && state->settled;
}

bool budget_ledger::isApplied(const reservation &value) const
{
    const auto *state = find(value.program, value.attempt);
    return state != nullptr && (state->granted || state->settled || state->retry >= value.retry);
}

std::uint32_t budget_ledger::nextRetryOf(const std::string &program, const std::string &attempt) const
{
    const auto *state = find(program, attempt);
    return state != nullptr && !state->granted && !state->settled ? state->retry + 1 : 0;
}

std::vector<unsettled_reservation> budget_ledger::unsettledOf(const std::string &program) const
{
    std::vector<unsettled_reservation> result;
    if (const auto state = m_programs.find(program); state != m_programs.end()) {
        for (const auto &[attempt, entry] : state->second.attempts) {
            if (entry.granted && !entry.settled) {
                result.push_back({.attempt = attempt, .tokens = entry.tokens, .since = entry.since});
            }
        }
    }
    std::ranges::sort(result, std::less<>(),
                      [](const unsettled_reservation &entry) { return std::pair(entry.since, entry.attempt); });
    return result;
}

budget_usage budget_ledger::usageOf(const std::string &program) const
{
    const auto state = m_programs.find(program);
    return state == m_programs.end() ? budget_usage{} : state->second.usage;
}

budget_usage budget_ledger::usageAfter(const std::string &program, std::span<const program_record> records) const
{
    if (records.empty()) {
        return usageOf(program);
    }
    const auto found = m_programs.find(program);
    auto state = found == m_programs.end() ? program_state{} : found->second;
    std::ranges::for_each(records, [&state](const program_record &value) { applyTo(state, value, {}); });
    return state.usage;
}

void budget_ledger::evictIdle(time_point now)
{
    std::erase_if(m_programs, [now](const auto &entry) { return now - entry.second.lastRecord > idleRetention; });
}

std::size_t budget_ledger::size() const
{
    return m_programs.size();
}

} // namespace jackdawpick::programs
