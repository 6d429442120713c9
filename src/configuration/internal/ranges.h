#pragma once

// Ranges of the numbers in a configuration, shared by validation and the tests' generators.

#include <chrono>
#include <cstdint>
#include <limits>

namespace jackdawpick::configuration_ranges
{

struct bounds
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

inline constexpr std::int64_t dayMs = 86400000;
inline constexpr bounds programTarget{1, 7 * dayMs};
inline constexpr bounds queueTarget{1, dayMs};
inline constexpr bounds minEngines{0, 100000};
inline constexpr bounds callCost{0, 1000000000};
inline constexpr bounds serviceTimeout{1, dayMs};
// Sums of a program's spent, reserved and carved parts stay far from overflow.
inline constexpr bounds budgetTokens{1, 1000000000000};
inline constexpr bounds maxTurns{1, 100000};
inline constexpr bounds historyTokens{1, 100000000};
inline constexpr bounds tokensPerCall{1, 10000000};
inline constexpr bounds programLease{1000, 7 * dayMs};
inline constexpr bounds callDeadline{1, dayMs};

// Values beyond 63 bits count as the largest integer, which no range contains.
constexpr std::int64_t asInteger(std::uint64_t value)
{
    constexpr auto largest = std::numeric_limits<std::int64_t>::max();
    return value > static_cast<std::uint64_t>(largest) ? largest : static_cast<std::int64_t>(value);
}

constexpr std::int64_t asInteger(std::uint32_t value)
{
    return value;
}

constexpr std::int64_t asInteger(std::chrono::milliseconds value)
{
    return value.count();
}

} // namespace jackdawpick::configuration_ranges
