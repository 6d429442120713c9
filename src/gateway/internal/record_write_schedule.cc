#include "gateway/internal/record_write_schedule.h"

#include <algorithm>

namespace jackdawpick::gateway::internal
{

record_write_schedule::record_write_schedule(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<record_write_schedule::record_id>
record_write_schedule::takeDue(const std::set<record_id> &missing, const std::function<std::size_t(record_id)> &rankOf,
                               std::size_t daemons, time_point now)
{
    plan(missing, now);
    refill(daemons, now);
    std::vector<record_id> due;
    for (auto &[record, planned] : m_planned) {
        if (!planned.missing || planned.due > now) {
            continue;
        }
        // Ranks change: daemons that have just started do not know the others yet, and those ranked first may die.
        const auto allowedAt = planned.missingSince + delayPerRank * static_cast<int>(rankOf(record));
        if (allowedAt > now) {
            planned.due = std::min(allowedAt, now + rankCheckInterval);
            continue;
        }
        if (m_allowance < 1) {
            break;
        }
        m_allowance -= 1;
        planned.due = now + retryDelay(planned.writes);
        ++planned.writes;
        due.push_back(record);
    }
    return due;
}

// Plans stay for a while after their records are stored, so that a record that is stored and lost again and again is
// not written more often than one that is never stored.
void record_write_schedule::plan(const std::set<record_id> &missing, time_point now)
{
    for (auto &[record, planned] : m_planned) {
        planned.missing = planned.missing && missing.contains(record);
    }
    std::erase_if(m_planned, [now](const auto &entry) {
        return !entry.second.missing && now - entry.second.due >= maxRetryDelay;
    });
    for (const auto record : missing) {
        auto &planned = m_planned.try_emplace(record, planned_write{.missingSince = now, .due = now}).first->second;
        if (!planned.missing) {
            planned.missing = true;
            planned.missingSince = now;
        }
    }
}

void record_write_schedule::refill(std::size_t daemons, time_point now)
{
    const std::chrono::duration<double> passed = now - m_refilledAt.value_or(now);
    const auto share = sharedWritesPerSecond / static_cast<double>(std::max<std::size_t>(daemons, 1));
    m_allowance = std::min(m_allowance + passed.count() * share, burst);
    m_refilledAt = now;
}

std::chrono::milliseconds record_write_schedule::retryDelay(unsigned writes)
{
    constexpr unsigned maxDoublings = 5;
    const auto delay =
        std::min<std::chrono::milliseconds>(minRetryDelay * (1U << std::min(writes, maxDoublings)), maxRetryDelay);
    const auto jitter = std::uniform_real_distribution<double>(0, maxJitter)(m_random);
    return delay + std::chrono::duration_cast<std::chrono::milliseconds>(delay * jitter);
}

} // namespace jackdawpick::gateway::internal
