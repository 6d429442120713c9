#pragma once

// Priorities of turns at the model engines, and admission control for new programs.
//
// The objective is the latency of whole programs, not of single turns. Therefore turns of running programs take
// precedence over first turns of the same rank, and under overload only first turns are refused, before any engine time
// has been spent on the program. Urgent ranks are refused last, and tenants whose rate is high for their quota first.
//
//   admission::priorityOf({.rank = 0, .firstTurn = true});   // 1; 0 is the most urgent
//   const auto decision = admission::decide({.turn = {.rank = 2, .firstTurn = true},
//                                            .utilisationBySlots = 1.4,
//                                            .timeLeft = 3000ms,
//                                            .serviceTime = 300ms,
//                                            .randomFraction = random()});
//   if (decision.what == admission::verdict::Refused) { refuse(decision.delay); }
//
// docs/design/fair-shares.md gives the reasons. No I/O; thread-compatible.

#include "clock/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

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

// Below this many requests in flight per slot, nothing that an engine has room for is refused.
inline constexpr double minRefusalUtilisation = 0.5;

struct admission_input
{
    turn_urgency turn;
    double utilisationBySlots = 0; // Requests in flight per engine slot.
    double utilisationByMemory = 0; // Expected tokens in progress, as a fraction of what may be filled; 0: not known.
    double urgentShare = 0.5; // Of the most urgent rank among recent first turns.
    // Recent rate of the request's tenant as a fraction of its limit; unset without a tenant or limit, or if not known.
    std::optional<double> tenantPressure;
    std::chrono::milliseconds target{0}; // Of the route, until the first byte; 0: none.
    std::chrono::milliseconds timeLeft{0}; // Until the deadline.
    std::chrono::milliseconds serviceTime{0}; // Typical time of a turn at the engines, waits there included.
    double randomFraction = 0; // In [0, 1).
    bool fitsEngine = true; // An engine that runs nothing else can hold the request.
    bool hasRoom = true; // An engine has room for the request beside those that it runs.
    std::chrono::milliseconds waited{0}; // For room.
};

enum class verdict : std::uint8_t {
    Admitted,
    Waits, // No engine has room; to be decided again after the delay.
    Refused, // To be sent again after the delay.
    TooLarge, // No engine can ever hold it.
};

[[nodiscard]] std::string_view nameOf(verdict value);

// The ranks of recent first turns.
class arrival_mix
{
public:
    void onFirstTurn(int rank, time_point now);
    // Of the most urgent rank; a half if little is known.
    [[nodiscard]] double urgentShare(time_point now) const;

private:
    [[nodiscard]] double decayUntil(time_point now) const;

    double m_urgent = 0; // Decayed counts.
    double m_routine = 0;
    time_point m_countedAt{};
};

struct admission_decision
{
    verdict what = verdict::Admitted;
    std::chrono::milliseconds delay{0};
    double refusalProbability = 0;
};

// Decides whether a turn is sent to an engine now. With room, only first turns are refused, with a probability that
// grows with the utilisation by slots or by memory, whichever refuses more; `randomFraction` makes the choice, so that
// the daemons refuse the right share in total without coordination. Without room, requests wait while that can succeed;
// then first turns are refused and others admitted.
[[nodiscard]] admission_decision decide(const admission_input &input);

} // namespace jackdawpick::admission
