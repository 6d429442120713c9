#pragma once

// Seeded generators of agent programs for the policy bench, and what their programs cost at best.
//
//   fleet_shape fleet = vestkyst();
//   std::vector<program_plan> plans = generate(fleet, load, flood, seed);

#include "fake_engine.h"
#include "model/model.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace jackdawpick::bench
{

struct turn_plan
{
    token_count newTokens = 0; // Added to the history before the call.
    token_count outputTokens = 0;
    double pauseSeconds = 0; // Tool pause after the answer.
    std::optional<std::size_t> subAgent; // Index of the program that takes the place of the pause.
};

struct program_plan
{
    std::size_t index = 0;
    rank_index rank = 0;
    bool isSubAgent = false;
    bool ofFlood = false;
    std::size_t daemon = 0; // Owner.
    std::string customer;
    double startSeconds = 0; // Not used for sub-agents.
    std::vector<turn_plan> turns;
};

struct rank_shape
{
    double part = 0.5; // Of the offered work in normal operation.
    double minTurns = 2;
    double maxTurns = 60;
    double turnsExponent = 0.8; // Of a bounded Pareto distribution.
};

struct fleet_shape
{
    std::string name;
    std::size_t engines = 0;
    std::size_t zones = 0;
    std::size_t daemons = 9;
    double betweenZonesSeconds = 0; // One way
    double toClientsSeconds = 0; // One way
    engine_shape engine;
    std::array<rank_shape, 2> ranks;
    double routineShare = 0.2; // Configured minimum share.
};

struct flood_plan
{
    double factor = 0; // Offered work of the flooding ranks together, in units of the fleet's capacity.
    bool urgent = false;
    bool routine = false;
    double startSeconds = 200;
    double endSeconds = 260;
};

[[nodiscard]] fleet_shape wanza();
[[nodiscard]] fleet_shape vestkyst();

// Expected calls per second at which every slot of the fleet is always in use and every prefix is cached.
struct capacity_estimate
{
    double callsPerSecond = 0;
    std::array<double, 2> callsPerProgram{}; // By rank, sub-agents included.
    double secondsPerToken = 0; // Of one call in a full batch.
    double prefillWeight = 1; // Slot seconds per second of prefill: its own slot and what the rest of the batch loses.
};

[[nodiscard]] capacity_estimate estimateCapacity(const fleet_shape &fleet);

// Programs in the order of their start, sub-agents after their parents. Arrivals are Poisson and independent of how the
// system answers. The same seed gives the same normal programs with and without a flood.
[[nodiscard]] std::vector<program_plan> generate(const fleet_shape &fleet, double load, const flood_plan &flood,
                                                 double endSeconds, std::uint64_t seed);

// Latency of the program alone on an idle fleet with perfect caching, which no schedule can beat.
[[nodiscard]] double idealSeconds(const fleet_shape &fleet, const std::vector<program_plan> &plans, std::size_t index);

// Slot seconds that the call costs a full engine when its prefix is cached. Summed over the calls of the estimated
// capacity this gives exactly the slots of the fleet, whatever part of the work is prefill.
[[nodiscard]] double slotSeconds(const fleet_shape &fleet, const capacity_estimate &capacity, const turn_plan &turn);

} // namespace jackdawpick::bench
