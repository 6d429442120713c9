#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace jackdawpick::fleet
{

namespace
{

// All costs are in milliseconds.
constexpr double crossZoneCost = 3; // Round trip.
constexpr double affinityBonus = 8; // For the endpoint shared by requests with the same affinity value.
constexpr double nonHomePenalty = 8; // For endpoints that later turns of the conversation will not prefer.
// For endpoints above their share of the load. About the time in which another engine reads a long conversation.
constexpr double overBoundPenalty = 100;
constexpr double tieBreakRange = 2;
constexpr double newConnectionCost = 2;
constexpr double defaultServiceTime = 300;
constexpr double minServiceTime = 1;
constexpr double backoffPenalty = 10000; // Endpoints in backoff are used only as a last resort.
// A request sent to an endpoint with more of its slots taken may queue: loads of peers are known late.
constexpr double maxUnqueuedLoad = 0.8;

// With a rate limit an endpoint counts for at least this many slots.
constexpr double minCapacity = 0.1;
constexpr double millisecondsPerSecond = 1000;

} // namespace

double endpoint_pool::capacityOf(const endpoint &value, double serviceMilliseconds)
{
    const double slots = std::max(value.entry.slots, 1U);
    if (!value.rateLimit.has_value()) {
        return slots;
    }
    return std::clamp(*value.rateLimit * serviceMilliseconds / millisecondsPerSecond, minCapacity, slots);
}

endpoint_pool::typical_times endpoint_pool::typicalTimes(const std::string &service) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == service && value.smoothedServiceMilliseconds.has_value()) {
            sum += *value.smoothedServiceMilliseconds;
            ++count;
        }
    }
    typical_times typical{.service = count == 0 ? defaultServiceTime : sum / static_cast<double>(count), .engine = {}};
    if (const auto found = m_services.find(service); found != m_services.end()) {
        typical.engine = found->second.speeds.typical();
        typical.holderShare = found->second.prefixes.holderShare();
    }
    return typical;
}

std::vector<endpoint_pool::candidate> endpoint_pool::estimateLoads(const std::string &service,
                                                                   const typical_times &typical, time_point now) const
{
    std::vector<candidate> result;
    std::unordered_map<std::string_view, std::size_t> indices;
    double totalSlots = 0;
    for (const auto &[id, value] : m_endpoints) {
        if (value.entry.service == service && isUsable(value, now)) {
            indices.emplace(id, result.size());
            result.push_back({.target = &value,
                              .inFlight = static_cast<double>(value.inFlight),
                              .tokens = static_cast<double>(value.tokens)});
            totalSlots += capacityOf(value, typical.service);
        }
    }
    const auto memory = m_room.memoryOf(service, now);
    double spread = 0;
    double spreadTokens = 0;
    for (const auto &[name, peer] : m_peers) {
        const std::chrono::duration<double, std::milli> age = now - peer.receivedAt;
        const double weight = std::exp(-age.count() / std::max(typical.service, minServiceTime));
        for (const auto &load : peer.loads) {
            if (const auto found = indices.find(load.endpoint); found != indices.end()) {
                const double tokens = memory.tokensOf(load.requests, load.tokens);
                result[found->second].inFlight += weight * load.requests;
                result[found->second].tokens += weight * tokens;
                spread += (1 - weight) * load.requests;
                spreadTokens += (1 - weight) * tokens;
            }
        }
    }
    for (auto &entry : result) {
        const double share = capacityOf(*entry.target, typical.service) / totalSlots;
        entry.inFlight += spread * share;
        entry.tokens += spreadTokens * share;
        entry.assumed = spread * share;
    }
    return result;
}

void endpoint_pool::estimateCost(candidate &entry, const placement_request &request, const typical_times &typical,
                                 time_point now) const
{
    const auto &value = *entry.target;
    const double inFlight = entry.inFlight;
    const double slots = capacityOf(value, typical.service);
    const bool isStream = request.outputTokens > 0;
    const double weight = value.speed.weight();
    const double ownServiceTime = typical.service * value.speed.slowdown(now) / weight;
    const double wait = inFlight < slots ? 0 : (inFlight - slots + 1) / slots * ownServiceTime;
    const double batch = std::min(inFlight, slots);
    const double batchDelay = typical.engine.batchDelayPerToken / value.speed.lasting();
    // Counted twice: each request in the batch delays this one, and this one delays it by the same amount.
    double cost = wait + 2 * batch * batchDelay * request.outputTokens;
    cost += std::max(0.0, ownServiceTime - typical.service);
    if (isStream) {
        entry.lastingExcess = std::max(0.0, typical.service / weight - typical.service);
    } else {
        cost += inFlight / (slots * weight); // Prefers the less loaded endpoint when none has to queue.
    }
    cost += value.entry.zone == request.zone ? 0 : crossZoneCost;
    cost += value.backoffUntil > now ? backoffPenalty : 0;
    const bool hasIdleConnection = value.inFlight < value.peakInFlight && now - value.peakAt < idleConnectionLifetime;
    cost += hasIdleConnection ? 0 : newConnectionCost;
    entry.wait = wait;
    entry.cost = cost;
    entry.isDisturbed = value.backoffUntil > now || value.speed.slowdown(now) > 1;
}

void endpoint_pool::setShares(std::vector<candidate> &candidates)
{
    // The nominal service time: daemons measure different ones, and have to agree here.
    const auto slotsOf = [](const candidate &entry) {
        return capacityOf(*entry.target, defaultServiceTime);
    };
    double load = 1; // The new request.
    double totalSlots = 0;
    for (const auto &entry : candidates) {
        load += entry.inFlight;
        totalSlots += slotsOf(entry);
    }
    for (auto &entry : candidates) {
        const double slots = slotsOf(entry);
        entry.weight = slots * entry.target->speed.weight();
        // Not by weight: with its share of the requests, a slow endpoint has as many in flight as a fast one.
        entry.hasRoom = entry.inFlight + 1 <= loadBound(load, slots / totalSlots, slots);
        entry.isLightlyLoaded = isLightLoad(entry.inFlight + 1, slots);
    }
}

home_selection endpoint_pool::selectHomeAmong(const std::string &key, std::span<const candidate> candidates)
{
    std::vector<affinity_target> targets;
    targets.reserve(candidates.size());
    std::ranges::transform(candidates, std::back_inserter(targets), [](const candidate &entry) {
        return affinity_target{.id = entry.target->entry.id,
                               .weight = entry.weight,
                               .hasRoom = entry.hasRoom && !entry.isDisturbed,
                               .isSlow = entry.target->speed.isLastinglySlow(),
                               .isLightlyLoaded = entry.isLightlyLoaded};
    });
    return selectHome(affinityKey(key), targets);
}

std::size_t endpoint_pool::moveHoldersToFront(const std::string &segment, double share,
                                              std::vector<candidate> &candidates)
{
    constexpr double rounding = 1e-6; // A third of three is one.
    const auto holders = static_cast<std::size_t>(std::ceil(share * static_cast<double>(candidates.size()) - rounding));
    if (holders >= candidates.size()) {
        return candidates.size();
    }
    const auto key = affinityKey(segment);
    for (auto &entry : candidates) {
        entry.holderScore = rendezvousScore(key, entry.target->entry.id, entry.weight);
    }
    std::ranges::nth_element(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(holders), std::greater<>(),
                             &candidate::holderScore);
    return holders;
}

// Adds the prefill time of the prompt tokens that the endpoint is not expected to have cached; prefill delays the whole
// batch. All daemons derive the same expectation without communication: rendezvous hashing of the first segment selects
// the endpoints that hold it, and hashing of the conversation's segment selects the home endpoint among these.
void endpoint_pool::addPrefillCost(const placement_request &request, const typical_times &typical,
                                   std::vector<candidate> &candidates)
{
    const auto &first = request.prompt.front();
    const auto &conversation = request.prompt.size() > 1 ? request.prompt[1] : first;
    const auto holders = moveHoldersToFront(first.id, typical.holderShare, candidates);
    const auto home = selectHomeAmong(conversation.id, std::span(candidates).first(holders));
    const double promptTokens =
        std::accumulate(request.prompt.begin(), request.prompt.end(), 0.0,
                        [](double sum, const prompt_segment &segment) { return sum + segment.tokens; });
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto &entry = candidates[i];
        // A home above its bound has what was sent there before; the endpoint preferred in its place soon has too.
        const bool isHome = i == home.first || i == home.preferred;
        entry.cachedTokens = isHome ? promptTokens : (i < holders ? first.tokens : 0);
        const auto &target = *entry.target;
        const double batch = std::min<double>(entry.inFlight, std::max(target.entry.slots, 1U));
        const double prefillSpeed = typical.engine.prefillTokensPerMillisecond * target.speed.lasting();
        entry.cost += (promptTokens - entry.cachedTokens) / prefillSpeed * (1 + batch);
        entry.cost += i == home.preferred ? -entry.lastingExcess : nonHomePenalty;
        entry.cost += entry.hasRoom ? 0 : overBoundPenalty;
    }
}

void endpoint_pool::addAffinityBonus(const placement_request &request, std::vector<candidate> &candidates)
{
    candidates[selectHomeAmong(request.affinity, candidates).preferred].cost -= affinityBonus;
}

std::optional<placement> endpoint_pool::choose(const placement_request &request, double randomFraction,
                                               time_point now) const
{
    const auto typical = typicalTimes(request.service);
    const auto limit = connectionLimit(request.service);
    auto candidates = estimateLoads(request.service, typical, now);
    std::erase_if(candidates, [&](const candidate &entry) {
        const auto &target = *entry.target;
        return target.inFlight >= limit || target.blockedUntil > now
            || (request.unlimitedOnly && target.rateLimit.has_value()) || request.excluded.contains(target.entry.id);
    });
    const bool hasRoom = keepThoseWithRoom(candidates, request, now);
    for (auto &entry : candidates) {
        estimateCost(entry, request, typical, now);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (!request.prompt.empty()) {
        setShares(candidates);
        addPrefillCost(request, typical, candidates);
    } else if (!request.affinity.empty()) {
        setShares(candidates);
        addAffinityBonus(request, candidates);
    }
    const auto withTieBreak = [randomFraction, index = 0U](const candidate &entry) mutable {
        ++index;
        const double scaled = randomFraction * index;
        return entry.cost + tieBreakRange * (scaled - static_cast<double>(static_cast<std::uint64_t>(scaled)));
    };
    std::vector<double> costs;
    std::ranges::transform(candidates, std::back_inserter(costs), withTieBreak);
    const auto best = static_cast<std::size_t>(std::ranges::min_element(costs) - costs.begin());
    const auto &chosen = candidates[best];
    return placement{.id = chosen.target->entry.id,
                     .address = chosen.target->entry.address,
                     .zone = chosen.target->entry.zone,
                     .born = chosen.target->entry.born,
                     .expectedWait = std::chrono::duration<double, std::milli>(chosen.wait),
                     .limited = chosen.target->rateLimit.has_value(),
                     .reading = forecastFor(request, chosen),
                     .speed = chosen.target->speed.weight(),
                     .hasRoom = hasRoom};
}

reading_forecast endpoint_pool::forecastFor(const placement_request &request, const candidate &chosen)
{
    reading_forecast forecast{.cachedTokens = chosen.cachedTokens, .inFlight = chosen.inFlight};
    if (!request.prompt.empty()) {
        forecast.firstPart = affinityKey(request.prompt.front().id);
        forecast.firstTokens = request.prompt.front().tokens;
        forecast.promptTokens =
            std::accumulate(request.prompt.begin(), request.prompt.end(), 0.0,
                            [](double sum, const prompt_segment &segment) { return sum + segment.tokens; });
    }
    forecast.mayQueue = chosen.inFlight + 1 > maxUnqueuedLoad * std::max(chosen.target->entry.slots, 1U);
    return forecast;
}

} // namespace jackdawpick::fleet
