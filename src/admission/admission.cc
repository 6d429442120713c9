#include "admission/admission.h"

#include <algorithm>

namespace jackdawpick::admission
{

namespace
{

constexpr int prioritiesOfRank = 2;

// Utilisation from which on some, and all, first turns of a rank are refused.
struct admission_range
{
    double begin = 0;
    double end = 0;
};

// Engines serve urgent turns before others, which therefore wait first and longest.
constexpr admission_range urgentRange{.begin = 2.0, .end = 3.0};
constexpr admission_range routineRange{.begin = 1.25, .end = 2.0};

// Long enough for engines to end a few turns, short enough that the program can still finish in time.
constexpr std::chrono::milliseconds urgentDelay{200};
constexpr std::chrono::milliseconds routineDelay{700};

} // namespace

int priorityOf(const turn_urgency &turn)
{
    return std::clamp(turn.rank * prioritiesOfRank + (turn.firstTurn ? 1 : 0), 0, lastPriority);
}

std::optional<std::chrono::milliseconds> delayOf(const turn_urgency &turn, double utilisation, double noise)
{
    const auto &range = turn.rank == 0 ? urgentRange : routineRange;
    const double refusedShare = (utilisation - range.begin) / (range.end - range.begin);
    if (!turn.firstTurn || noise >= refusedShare) {
        return std::nullopt;
    }
    return turn.rank == 0 ? urgentDelay : routineDelay;
}

} // namespace jackdawpick::admission
