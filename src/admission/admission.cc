#include "admission/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace jackdawpick::admission
{

namespace
{

using std::chrono::milliseconds;

constexpr int prioritiesPerRank = 2;

// The share of refused first turns grows linearly from none at `begin` to all at `end`.
struct utilisation_range
{
    double begin = 0;
    double end = 0;
};

// Engines serve urgent turns first, so routine turns queue at a lower utilisation and for longer.
constexpr utilisation_range urgentSlotRange{.begin = 2.0, .end = 3.0};
constexpr utilisation_range routineSlotRange{.begin = 1.25, .end = 2.0};
// Below 1: requests beyond the slots wait in order of urgency, but one beyond the memory makes the engine preempt
// another.
constexpr utilisation_range urgentMemoryRange{.begin = 1.0, .end = 1.3};
constexpr utilisation_range routineMemoryRange{.begin = 0.7, .end = 0.95};
// Tenants with high pressure are refused at a lower utilisation, but not while slots are free or much memory is.
constexpr utilisation_range lowestSlotRange{.begin = 1.0, .end = 1.25};
constexpr utilisation_range lowestMemoryRange{.begin = 0.6, .end = 0.75};

// Factor on the ranges of utilisation, above 1 on their begin only, by the pressure of the tenant, linear between the
// points. Quotas are about 1.6 times the usual rate, so about 0.6 is usual and 1 is all that the quota allows.
struct pressure_point
{
    double pressure = 0;
    double factor = 0;
};
constexpr std::array pressurePoints{pressure_point{0, 1.25}, pressure_point{0.4, 1}, pressure_point{0.8, 1},
                                    pressure_point{1, 0.5}};

// No tenant and no kind of request may be served less than a quarter as often as all. The served share of routine first
// turns stays above this fraction of that of all first turns, and that of a tenant above this fraction of that of a
// tenant with the least pressure and the same rank.
constexpr double minRelativeShare = 0.4;

// Of the turns that end, about half are followed by another one of their program, which takes the slot again.
constexpr double turnsPerFreedSlot = 2;
// Retries are spread over this range, relative to the expected time.
constexpr double shortestRetrySpread = 0.75;
constexpr double longestRetrySpread = 1.5;
constexpr milliseconds minRetryDelay{50};
constexpr int timeLeftDivisor = 3; // A retry, or a wait, takes at most this part of the time that is left.
// Refusals later than this part of the target are costly to the callers, and longer waits than preemptions.
constexpr int targetDivisor = 4;

// While no engine has room, each of the requests that run may end next, so room is looked for often.
constexpr milliseconds minRoomCheckInterval{5};
constexpr milliseconds maxRoomCheckInterval{40};
constexpr int roomChecksPerServiceTime = 8;

// The ranks of first turns are counted with a weight that falls to 1/e in this time.
constexpr std::chrono::duration<double> mixLifetime{20};
constexpr double priorFirstTurns = 2; // Counts of unknown first turns, half of them urgent.

constexpr double urgentFirstTurnReserve = 1; // Permits.
constexpr double routineFirstTurnReserve = 2;

double factorOf(std::optional<double> pressure)
{
    if (!pressure.has_value()) {
        return 1;
    }
    const auto above =
        std::ranges::find_if(pressurePoints, [&](const pressure_point &point) { return point.pressure >= *pressure; });
    if (above == pressurePoints.begin() || above == pressurePoints.end()) {
        return (above == pressurePoints.end() ? pressurePoints.back() : pressurePoints.front()).factor;
    }
    const auto &below = *std::prev(above);
    const double position = (*pressure - below.pressure) / (above->pressure - below.pressure);
    return below.factor + position * (above->factor - below.factor);
}

utilisation_range scaled(const utilisation_range &range, double factor, const utilisation_range &lowest)
{
    return {.begin = std::max(range.begin * factor, lowest.begin),
            .end = std::max(range.end * std::min(factor, 1.0), lowest.end)};
}

double servedShareIn(const utilisation_range &range, double utilisation)
{
    return std::clamp((range.end - utilisation) / (range.end - range.begin), 0.0, 1.0);
}

utilisation_range slotRangeOf(bool urgent, double factor)
{
    return scaled(urgent ? urgentSlotRange : routineSlotRange, factor, lowestSlotRange);
}

// The share of first turns that is served at this utilisation, without the floors.
double servedShare(const admission_input &input, bool urgent, double factor)
{
    // Low pressure does not create memory.
    const auto memoryRange =
        scaled(urgent ? urgentMemoryRange : routineMemoryRange, std::min(factor, 1.0), lowestMemoryRange);
    return std::min(servedShareIn(slotRangeOf(urgent, factor), input.utilisationBySlots),
                    servedShareIn(memoryRange, input.utilisationByMemory));
}

// The share of all first turns that is served if routine ones get just their minimum.
double servedShareOfAll(const admission_input &input, double factor)
{
    return input.urgentShare * servedShare(input, true, factor) / (1 - minRelativeShare * (1 - input.urgentShare));
}

double refusalProbabilityOf(const admission_input &input)
{
    if (!input.turn.firstTurn || input.utilisationBySlots < minRefusalUtilisation) {
        return 0;
    }
    const bool urgent = input.turn.rank == 0;
    const double factor = factorOf(input.tenantPressure);
    const double leastPressureFactor = input.tenantPressure.has_value() ? pressurePoints.front().factor : 1;
    const double served = std::max({servedShare(input, urgent, factor),
                                    minRelativeShare * servedShare(input, urgent, leastPressureFactor),
                                    minRelativeShare * servedShareOfAll(input, leastPressureFactor)});
    return 1 - served;
}

// Of a turn that does not wait at the engine.
double processingMilliseconds(const admission_input &input)
{
    return static_cast<double>(input.serviceTime.count()) / std::max(input.utilisationBySlots, 1.0);
}

// When the requests above the utilisation at which refusals begin will have ended.
milliseconds retryDelayOf(const admission_input &input, double spreadFraction)
{
    const auto range = slotRangeOf(input.turn.rank == 0, factorOf(input.tenantPressure));
    const double excess = std::max(input.utilisationBySlots - range.begin, 0.0);
    const auto latest = input.timeLeft / timeLeftDivisor;
    const double expected = std::min(turnsPerFreedSlot * processingMilliseconds(input) * (1 + excess),
                                     static_cast<double>(latest.count()) / longestRetrySpread);
    const double spread = shortestRetrySpread + (longestRetrySpread - shortestRetrySpread) * spreadFraction;
    const milliseconds delay(static_cast<std::int64_t>(expected * spread));
    return std::min(std::max(delay, minRetryDelay), latest);
}

milliseconds longestWaitOf(const admission_input &input)
{
    const auto byDeadline = (input.timeLeft + input.waited) / timeLeftDivisor;
    return input.target.count() > 0 ? std::min(byDeadline, input.target / targetDivisor) : byDeadline;
}

admission_decision decideWithoutRoom(const admission_input &input)
{
    const auto waitLeft = longestWaitOf(input) - input.waited;
    // Above full memory the requests in excess have to end first. With many free slots the requests are few and large,
    // and the end of a single one may make room.
    const double excess =
        input.utilisationBySlots < minRefusalUtilisation ? 0 : std::max(input.utilisationByMemory - 1, 0.0);
    const milliseconds expectedWait(static_cast<std::int64_t>(processingMilliseconds(input) * excess));
    if (input.turn.firstTurn && waitLeft <= expectedWait) {
        return {.what = verdict::Refused, .delay = retryDelayOf(input, input.randomFraction)};
    }
    if (waitLeft.count() <= 0) {
        return {.what = verdict::Admitted};
    }
    const milliseconds interval(static_cast<std::int64_t>(processingMilliseconds(input) / roomChecksPerServiceTime
                                                          * (1 + input.randomFraction)));
    return {.what = verdict::Waits,
            .delay = std::min(std::clamp(interval, minRoomCheckInterval, maxRoomCheckInterval), waitLeft)};
}

} // namespace

std::string_view nameOf(verdict value)
{
    switch (value) {
    case verdict::Admitted:
        return "admitted";
    case verdict::Waits:
        return "waits";
    case verdict::Refused:
        return "refused";
    case verdict::TooLarge:
        return "too_large";
    }
    return {};
}

double arrival_mix::decayUntil(time_point now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_countedAt) / mixLifetime);
}

void arrival_mix::onFirstTurn(int rank, time_point now)
{
    const double decay = decayUntil(now);
    m_countedAt = now;
    m_urgent = m_urgent * decay + (rank == 0 ? 1 : 0);
    m_routine = m_routine * decay + (rank == 0 ? 0 : 1);
}

double arrival_mix::urgentShare(time_point now) const
{
    const double decay = decayUntil(now);
    return (m_urgent * decay + priorFirstTurns / 2) / ((m_urgent + m_routine) * decay + priorFirstTurns);
}

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

admission_decision decide(const admission_input &input)
{
    if (!input.fitsEngine) {
        return {.what = verdict::TooLarge};
    }
    if (!input.hasRoom) {
        return decideWithoutRoom(input);
    }
    const double probability = refusalProbabilityOf(input);
    if (input.randomFraction >= probability) {
        return {.what = verdict::Admitted, .refusalProbability = probability};
    }
    // Given that the turn is refused, the quotient is uniform in [0, 1).
    return {.what = verdict::Refused,
            .delay = retryDelayOf(input, input.randomFraction / probability),
            .refusalProbability = probability};
}

} // namespace jackdawpick::admission
