#include "fleet/fleet.h"

#include <algorithm>
#include <xxhash.h>

namespace jackdawpick::fleet
{

namespace
{

// All costs are in milliseconds.
constexpr double tokensReadPerMillisecond = 471; // Prompt tokens that are not cached.
constexpr double slowdownPerToken = 0.0154; // Each other running request delays each generated token by this.
constexpr double otherZoneCost = 3; // There and back.
constexpr double affinityGain = 8; // Of the endpoint that the requests of one session or object share.
constexpr double noiseRange = 2;
constexpr double newConnectionCost = 2;
constexpr double defaultServiceTime = 300;
constexpr double pausedCost = 10000; // Endpoints that failed are used only if all others are worse.
// An endpoint that was slower than usual is taken to stay slower by this part of the difference.
constexpr double slownessWeight = 0.5;

// The endpoint with the highest weight for a key is the same for all daemons (rendezvous hashing).
std::uint64_t weightFor(const std::string &key, const std::string &endpoint)
{
    return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

double endpoint_pool::usualServiceTime(const std::string &service) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == service && value.serviceMilliseconds.has_value()) {
            sum += *value.serviceMilliseconds;
            ++count;
        }
    }
    return count == 0 ? defaultServiceTime : sum / static_cast<double>(count);
}

endpoint_pool::candidate endpoint_pool::rate(const endpoint &value, const placement_request &request, double usualTime,
                                             time_point now) const
{
    const double busy = totalInFlight(value, now);
    const double slots = std::max(value.entry.slots, 1U);
    const double ownTime = value.serviceMilliseconds.value_or(usualTime);
    const double wait = busy < slots ? 0 : (busy - slots + 1) / slots * ownTime;
    double cost = wait + std::min(busy, slots) * slowdownPerToken * request.outputTokens;
    if (request.outputTokens == 0) {
        cost += busy / slots; // Plain services: the emptier one among the idle.
    }
    bool cached = true;
    for (const auto &part : request.prompt) {
        cached = cached && value.cached.contains(part.id);
        cost += cached ? 0 : part.tokens / tokensReadPerMillisecond;
    }
    cost += std::max(0.0, ownTime - usualTime) * slownessWeight;
    cost += value.entry.zone == request.zone ? 0 : otherZoneCost;
    cost += value.pausedUntil > now ? pausedCost : 0;
    const bool hasKeptConnection = value.inFlight < value.recentPeak && now - value.peakAt < keptConnectionLife;
    cost += hasKeptConnection ? 0 : newConnectionCost;
    return {.where = &value, .wait = wait, .cost = cost};
}

std::optional<placement> endpoint_pool::choose(const placement_request &request, double noise, time_point now) const
{
    const double usualTime = usualServiceTime(request.service);
    const auto limit = connectionLimit(request.service);
    std::vector<candidate> candidates;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == request.service && isUsable(value, now) && value.inFlight < limit
            && !request.excluded.contains(id)) {
            candidates.push_back(rate(value, request, usualTime, now));
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (!request.affinity.empty()) {
        const auto home = std::ranges::max_element(candidates, std::less<>(), [&](const candidate &entry) {
            return weightFor(request.affinity, entry.where->entry.id);
        });
        home->cost -= affinityGain;
    }
    const auto noisy = [noise, index = 0U](const candidate &entry) mutable {
        ++index;
        const double part = noise * index;
        return entry.cost + noiseRange * (part - static_cast<double>(static_cast<std::uint64_t>(part)));
    };
    std::vector<double> costs;
    std::ranges::transform(candidates, std::back_inserter(costs), noisy);
    const auto best = static_cast<std::size_t>(std::ranges::min_element(costs) - costs.begin());
    const auto &chosen = candidates[best];
    return placement{.id = chosen.where->entry.id,
                     .address = chosen.where->entry.address,
                     .expectedWait = std::chrono::duration<double, std::milli>(chosen.wait)};
}

} // namespace jackdawpick::fleet
