#pragma once

// Priorities of turns at the model engines, and admission control for new programs.
//
// The objective is the latency of whole programs, not of single turns. Therefore turns of running programs take
// precedence over first turns of the same rank, and under overload only first turns are refused, before any engine time
// has been spent on the program.
//
//   admission::priorityOf({.rank = 0, .firstTurn = true});   // 1; 0 is the most urgent
//   auto retryAfter = admission::retryDelayOf({.rank = 2, .firstTurn = true}, 1.4, randomFraction);   // set: refused
//
// No I/O; thread-compatible.

#include <chrono>
#include <optional>

namespace jackdawpick::admission
{

struct turn_urgency
{
    int rank = 0; // Rank of the route; 0 is the most urgent.
    bool firstTurn = false; // The first turn of its program.
};

// The least urgent priority that engines accept.
inline constexpr int lowestPriority = 9;

// Returns a priority from 0 (most urgent) to lowestPriority. A turn never has precedence over one of a more urgent
// rank.
[[nodiscard]] int priorityOf(const turn_urgency &turn);

// Permits to send to an endpoint with a rate limit that a request leaves to more urgent ones: turns of programs under
// way and calls of tools leave none, first turns of urgent programs some, those of other programs most.
[[nodiscard]] double permitReserveOf(const turn_urgency &turn);

// Returns how long the caller should wait before it retries a refused turn, or nullopt if the turn is admitted. Turns
// other than the first are always admitted. `utilisation` is the number of requests in flight per engine slot. The
// probability of a refusal grows with it; `randomFraction` in [0, 1) makes the choice, so that the daemons refuse the
// right share in total without coordination.
[[nodiscard]] std::optional<std::chrono::milliseconds> retryDelayOf(const turn_urgency &turn, double utilisation,
                                                                    double randomFraction);

} // namespace jackdawpick::admission
