#include "admission/admission.h"

#include <algorithm>

namespace jackdawpick::admission
{

namespace
{

constexpr int prioritiesPerRank = 2;

// The share of refused first turns grows linearly from none at `begin` to all at `end`.
struct utilisation_range
{
    double begin = 0;
    double end = 0;
};

// Engines serve urgent turns first, so routine turns queue at a lower utilisation and for longer.
constexpr utilisation_range urgentRefusalRange{.begin = 2.0, .end = 3.0};
constexpr utilisation_range routineRefusalRange{.begin = 1.25, .end = 2.0};

// Long enough for the engines to finish a few turns, short enough that the program can still meet its deadline.
constexpr std::chrono::milliseconds urgentRetryDelay{200};
constexpr std::chrono::milliseconds routineRetryDelay{700};

constexpr double urgentFirstTurnReserve = 1; // Permits.
constexpr double routineFirstTurnReserve = 2;

} // namespace

int priorityOf(const turn_urgency &turn)
{
    return std::clamp(turn.rank * prioritiesPerRank + (turn.firstTurn ? 1 : 0), 0, lowestPriority);
}

double permitReserveOf(const turn_urgency &turn)
{
    if (!turn.firstTurn) {
        return 0;
    }
    return turn.rank == 0 ? urgentFirstTurnReserve : routineFirstTurnReserve;
}

std::optional<std::chrono::milliseconds> retryDelayOf(const turn_urgency &turn, double utilisation,
                                                      double randomFraction)
{
    const auto &range = turn.rank == 0 ? urgentRefusalRange : routineRefusalRange;
    const double refusalProbability = (utilisation - range.begin) / (range.end - range.begin);
    if (!turn.firstTurn || randomFraction >= refusalProbability) {
        return std::nullopt;
    }
    return turn.rank == 0 ? urgentRetryDelay : routineRetryDelay;
}

} // namespace jackdawpick::admission
