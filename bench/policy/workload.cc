#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace jackdawpick::bench
{

namespace
{

using generator = std::mt19937_64;

double uniform(generator &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

// Bounded Pareto distribution.
double pareto(generator &random, double low, double high, double exponent)
{
    const double ratio = std::pow(low / high, exponent);
    return low / std::pow(1 - uniform(random) * (1 - ratio), 1 / exponent);
}

double logNormal(generator &random, double median, double sigma, double low, double high)
{
    return std::clamp(std::lognormal_distribution<double>(std::log(median), sigma)(random), low, high);
}

turn_plan makeTurn(generator &random, bool first)
{
    turn_plan turn;
    turn.newTokens = static_cast<token_count>(first ? logNormal(random, 1500, 0.6, 200, 8000)
                                                    : logNormal(random, 350, 0.9, 20, 6000));
    turn.outputTokens = static_cast<token_count>(logNormal(random, 180, 0.8, 10, 1500));
    turn.pauseSeconds = pareto(random, 0.3, 60, 1.2); // Tools: mostly quick, some slow.
    return turn;
}

constexpr double subAgentProbability = 0.03; // Per tool pause.

// Appends the program and its sub-agents.
void makeProgram(const fleet_shape &fleet, rank_index rank, double start, bool ofFlood, generator &random,
                 std::vector<program_plan> &plans)
{
    const std::size_t index = plans.size();
    const rank_shape &shape = fleet.ranks.at(rank);
    program_plan plan;
    plan.index = index;
    plan.rank = rank;
    plan.ofFlood = ofFlood;
    plan.daemon = random() % fleet.daemons;
    plan.customer = "customer" + std::to_string(random() % 20);
    plan.startSeconds = start;
    const auto turns =
        static_cast<std::size_t>(pareto(random, shape.minTurns, shape.maxTurns + 1, shape.turnsExponent));
    for (std::size_t turn = 0; turn < turns; ++turn) {
        plan.turns.push_back(makeTurn(random, turn == 0));
    }
    plan.turns.back().pauseSeconds = 0;
    plans.push_back(plan);
    for (std::size_t turn = 0; turn + 1 < turns; ++turn) {
        if (uniform(random) >= subAgentProbability) {
            continue;
        }
        program_plan child;
        child.index = plans.size();
        child.rank = rank;
        child.isSubAgent = true;
        child.ofFlood = ofFlood;
        child.daemon = plan.daemon;
        child.customer = plan.customer;
        const auto childTurns = 2 + random() % 5;
        for (std::size_t each = 0; each < childTurns; ++each) {
            child.turns.push_back(makeTurn(random, each == 0));
        }
        child.turns.back().pauseSeconds = 0;
        plans[index].turns[turn].subAgent = child.index;
        plans.push_back(child);
    }
}

// Means over a large sample with a fixed seed, so that the capacity does not depend on the seed of a run.
struct sample_means
{
    std::array<double, 2> calls{}; // Per program, by rank.
    std::array<double, 2> newTokens{}; // Per call, by rank.
    std::array<double, 2> outputTokens{};
};

sample_means sampleMeans(const fleet_shape &fleet)
{
    constexpr int samplePrograms = 20000;
    constexpr std::uint64_t sampleSeed = 977;
    sample_means means;
    for (rank_index rank = 0; rank < 2; ++rank) {
        generator random(sampleSeed + rank);
        std::vector<program_plan> plans;
        for (int i = 0; i < samplePrograms; ++i) {
            makeProgram(fleet, rank, 0, false, random, plans);
        }
        double calls = 0;
        for (const program_plan &plan : plans) {
            for (const turn_plan &turn : plan.turns) {
                calls += 1;
                means.newTokens.at(rank) += static_cast<double>(turn.newTokens);
                means.outputTokens.at(rank) += static_cast<double>(turn.outputTokens);
            }
        }
        means.newTokens.at(rank) /= calls;
        means.outputTokens.at(rank) /= calls;
        means.calls.at(rank) = calls / samplePrograms;
    }
    return means;
}

} // namespace

fleet_shape wanza()
{
    fleet_shape fleet;
    fleet.name = "wanza";
    fleet.engines = 12;
    fleet.zones = 3;
    fleet.betweenZonesSeconds = 0.0015;
    fleet.toClientsSeconds = 0.001;
    fleet.ranks = {rank_shape{.part = 0.5, .minTurns = 2, .maxTurns = 40, .turnsExponent = 0.8},
                   rank_shape{.part = 0.5, .minTurns = 2, .maxTurns = 60, .turnsExponent = 0.7}};
    return fleet;
}

fleet_shape vestkyst()
{
    fleet_shape fleet;
    fleet.name = "vestkyst";
    fleet.engines = 11;
    fleet.zones = 4;
    fleet.betweenZonesSeconds = 0.0005;
    fleet.toClientsSeconds = 0.003;
    fleet.ranks = {rank_shape{.part = 0.35, .minTurns = 2, .maxTurns = 20, .turnsExponent = 0.9},
                   rank_shape{.part = 0.65, .minTurns = 2, .maxTurns = 60, .turnsExponent = 0.7}};
    return fleet;
}

capacity_estimate estimateCapacity(const fleet_shape &fleet)
{
    const sample_means means = sampleMeans(fleet);
    double newTokens = 0;
    double outputTokens = 0;
    for (std::size_t rank = 0; rank < 2; ++rank) {
        newTokens += fleet.ranks.at(rank).part * means.newTokens.at(rank);
        outputTokens += fleet.ranks.at(rank).part * means.outputTokens.at(rank);
    }
    const engine_shape &engine = fleet.engine;
    const double step = engine.stepSeconds + engine.stepSecondsPerCall * (engine.slots - 1);
    // Slots times time = prefill time plus decode time of the calls; decoding loses speed while a prefill runs.
    double low = 0;
    double high = 1e6;
    for (int i = 0; i < 100; ++i) {
        const double rate = (low + high) / 2; // Calls per second of one engine
        const double prefilling = rate * newTokens / engine.prefillTokensPerSecond;
        const double slowed = step / std::max(1e-9, 1 - engine.prefillSlowdown * prefilling);
        const bool fits = prefilling < 1 && prefilling + rate * outputTokens * slowed <= engine.slots;
        (fits ? low : high) = rate;
    }
    const double prefilling = low * newTokens / engine.prefillTokensPerSecond;
    return {.callsPerSecond = low * static_cast<double>(fleet.engines),
            .callsPerProgram = means.calls,
            .secondsPerToken = step,
            .prefillWeight = 1 + engine.prefillSlowdown * (engine.slots - prefilling)};
}

std::vector<program_plan> generate(const fleet_shape &fleet, double load, const flood_plan &flood, double endSeconds,
                                   std::uint64_t seed)
{
    const capacity_estimate capacity = estimateCapacity(fleet);
    std::vector<program_plan> plans;
    const auto arrivals = [&](rank_index rank, double work, double from, double to, bool ofFlood,
                              std::uint64_t stream) {
        generator random(seed * 1000 + stream);
        const double rate = work * capacity.callsPerSecond / capacity.callsPerProgram.at(rank);
        if (rate <= 0) {
            return;
        }
        std::exponential_distribution<double> gap(rate);
        for (double at = from + gap(random); at < to; at += gap(random)) {
            makeProgram(fleet, rank, at, ofFlood, random, plans);
        }
    };
    for (rank_index rank = 0; rank < 2; ++rank) {
        arrivals(rank, load * fleet.ranks.at(rank).part, 0, endSeconds, false, rank);
    }
    const std::array<bool, 2> floods{flood.urgent, flood.routine};
    const double each = flood.factor / (flood.urgent && flood.routine ? 2 : 1);
    for (rank_index rank = 0; rank < 2; ++rank) {
        if (floods.at(rank)) {
            arrivals(rank, each, flood.startSeconds, flood.endSeconds, true, 10U + rank);
        }
    }
    return plans;
}

double idealSeconds(const fleet_shape &fleet, const std::vector<program_plan> &plans, std::size_t index)
{
    double total = 0;
    for (const turn_plan &turn : plans[index].turns) {
        total += 2 * fleet.toClientsSeconds;
        total += static_cast<double>(turn.newTokens) / fleet.engine.prefillTokensPerSecond;
        total += static_cast<double>(turn.outputTokens) * fleet.engine.stepSeconds;
        total += turn.subAgent ? idealSeconds(fleet, plans, *turn.subAgent) : turn.pauseSeconds;
    }
    return total;
}

double slotSeconds(const fleet_shape &fleet, const capacity_estimate &capacity, const turn_plan &turn)
{
    return capacity.prefillWeight * static_cast<double>(turn.newTokens) / fleet.engine.prefillTokensPerSecond
        + static_cast<double>(turn.outputTokens) * capacity.secondsPerToken;
}

} // namespace jackdawpick::bench
