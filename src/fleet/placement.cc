#include "fleet/fleet.h"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace jackdawpick::fleet
{

namespace
{

// All costs are in milliseconds.
constexpr double tokensReadPerMillisecond = 471; // Prompt tokens that are not cached.
constexpr double slowdownPerToken = 0.0154; // Each other running request delays each generated token by this.
constexpr double otherZoneCost = 3; // There and back.
constexpr double affinityGain = 8; // Of the endpoint that the requests about one object share.
// Prompts that begin with the same part are read at one in so many endpoints: few enough that these keep the part
// cached, enough to carry the part that is asked for most.
constexpr std::size_t endpointsForOnePart = 3;
constexpr double homeGain = 8; // Of the endpoint to which the later turns of a line will come.
constexpr double noiseRange = 2;
constexpr double newConnectionCost = 2;
constexpr double defaultServiceTime = 300;
constexpr double pausedCost = 10000; // Endpoints that failed are used only if all others are worse.
// A plain service's endpoint that was slower than usual is taken to stay slower by this part of the difference.
constexpr double slownessWeight = 0.5;
constexpr double noticedSlowness = 1.5; // Less comes from the load.
// An engine that was slow is tried again after this time without a stream from it.
constexpr std::chrono::milliseconds slownessLife{4000};

// The endpoint with the highest weight for a key is the same for all daemons (rendezvous hashing).
std::uint64_t weightFor(const std::string &key, const std::string &endpoint)
{
    return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

endpoint_pool::usual_times endpoint_pool::usualTimes(const std::string &service) const
{
    double sum = 0;
    std::size_t count = 0;
    std::vector<double> gaps;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service != service) {
            continue;
        }
        if (value.serviceMilliseconds.has_value()) {
            sum += *value.serviceMilliseconds;
            ++count;
        }
        if (value.eventMilliseconds.has_value()) {
            gaps.push_back(*value.eventMilliseconds);
        }
    }
    usual_times usual{.service = count == 0 ? defaultServiceTime : sum / static_cast<double>(count), .event = {}};
    if (!gaps.empty()) {
        const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
        std::ranges::nth_element(gaps, middle);
        usual.event = *middle;
    }
    return usual;
}

double endpoint_pool::slownessOf(const endpoint &value, const usual_times &usual, time_point now)
{
    if (!value.eventMilliseconds.has_value() || usual.event.value_or(0) <= 0
        || now - value.eventsSeen >= slownessLife) {
        return 1;
    }
    const std::chrono::duration<double> age = now - value.eventsSeen;
    const double weight = 1 - age / std::chrono::duration<double>(slownessLife);
    const double ratio = *value.eventMilliseconds / *usual.event;
    return ratio < noticedSlowness ? 1 : 1 + (ratio - 1) * weight;
}

endpoint_pool::candidate endpoint_pool::rate(const endpoint &value, const placement_request &request,
                                             const usual_times &usual, time_point now) const
{
    const double busy = totalInFlight(value, now);
    const double slots = std::max(value.entry.slots, 1U);
    const double slowness = slownessOf(value, usual, now);
    const bool isStream = request.outputTokens > 0;
    const double ownTime = isStream ? usual.service * slowness : value.serviceMilliseconds.value_or(usual.service);
    const double wait = busy < slots ? 0 : (busy - slots + 1) / slots * ownTime;
    const double batch = std::min(busy, slots);
    // A request delays each other one of the batch as much as that one delays it.
    double cost = wait + 2 * batch * slowdownPerToken * request.outputTokens;
    if (isStream) {
        cost += ownTime - usual.service;
    } else {
        cost += busy / slots; // The emptier one among the idle.
        cost += std::max(0.0, ownTime - usual.service) * slownessWeight;
    }
    cost += value.entry.zone == request.zone ? 0 : otherZoneCost;
    cost += value.pausedUntil > now ? pausedCost : 0;
    const bool hasKeptConnection = value.inFlight < value.recentPeak && now - value.peakAt < keptConnectionLife;
    cost += hasKeptConnection ? 0 : newConnectionCost;
    return {.where = &value, .wait = wait, .cost = cost};
}

// Adds the time to read what an endpoint is not expected to have cached of the prompt, which delays its whole batch.
// All daemons expect the same without a word: prompts that begin alike are read at some endpoints, and those that also
// continue one line of turns at one of these.
void endpoint_pool::rateReading(const placement_request &request, std::vector<candidate> &candidates,
                                time_point now) const
{
    if (request.prompt.empty()) {
        return;
    }
    const auto &first = request.prompt.front();
    const auto &line = request.prompt.size() > 1 ? request.prompt[1] : first;
    std::ranges::sort(candidates, std::greater<>(),
                      [&first](const candidate &entry) { return weightFor(first.id, entry.where->entry.id); });
    const auto sharing = (candidates.size() + endpointsForOnePart - 1) / endpointsForOnePart;
    const auto begin = candidates.begin();
    const auto end = begin + static_cast<std::ptrdiff_t>(sharing);
    const auto home = std::max_element(begin, end, [&line](const candidate &left, const candidate &right) {
        return weightFor(line.id, left.where->entry.id) < weightFor(line.id, right.where->entry.id);
    });
    const double all = std::accumulate(request.prompt.begin(), request.prompt.end(), 0.0,
                                       [](double sum, const prompt_segment &part) { return sum + part.tokens; });
    for (auto entry = begin; entry != candidates.end(); ++entry) {
        const double cached = entry == home ? all : (entry < end ? first.tokens : 0);
        const auto &where = *entry->where;
        const double batch = std::min<double>(totalInFlight(where, now), std::max(where.entry.slots, 1U));
        entry->cost += (all - cached) / tokensReadPerMillisecond * (1 + batch);
        entry->cost += entry == home ? 0 : homeGain;
    }
}

std::optional<placement> endpoint_pool::choose(const placement_request &request, double noise, time_point now) const
{
    const auto usual = usualTimes(request.service);
    const auto limit = connectionLimit(request.service);
    std::vector<candidate> candidates;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == request.service && isUsable(value, now) && value.inFlight < limit
            && !request.excluded.contains(id)) {
            candidates.push_back(rate(value, request, usual, now));
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    rateReading(request, candidates, now);
    if (!request.affinity.empty() && request.prompt.empty()) {
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
