#pragma once

// What goes first at a model engine, and whether a program may begin while the engines are full.
//
// Only the latency of a whole program counts. So a program that is under way goes before one of its rank that begins,
// and in a flood programs are turned away at their first turn, before anything has been spent on them.
//
//   admission::priorityOf({.rank = 0, .firstTurn = true});   // 1; 0 is the most urgent
//   if (auto retryAfter = admission::delayOf({.rank = 2, .firstTurn = true}, 1.4, noise)) { ... }   // refused
//
// Pure; thread compatible.

#include <chrono>
#include <optional>

namespace jackdawpick::admission
{

struct turn_urgency
{
    int rank = 0; // Of the route; 0 is the most urgent.
    bool firstTurn = false;
};

// The least urgent priority that engines know.
inline constexpr int lastPriority = 9;

// From 0, the most urgent, to lastPriority. A turn never goes before one of a more urgent rank.
[[nodiscard]] int priorityOf(const turn_urgency &turn);

// When the caller of a turn that is refused for now should come back; nothing if the turn is admitted, as turns of
// programs under way always are. `utilisation` is the number of requests at the engines for each of their slots.
// `noise` in [0, 1) decides which of several turns is refused, so that the daemons together refuse the right share.
[[nodiscard]] std::optional<std::chrono::milliseconds> delayOf(const turn_urgency &turn, double utilisation,
                                                               double noise);

} // namespace jackdawpick::admission
