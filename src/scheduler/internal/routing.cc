#include "scheduler/internal/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawpick::internal
{

namespace
{

// All members of a pool up to this size are considered; of a larger pool only a sample, to bound the cost of a
// decision.
constexpr std::size_t smallPoolSize = 32;
constexpr std::size_t maxSampleAttempts = 24;
constexpr double assumedPrefillSpeed = 8000; // Tokens per second, as long as there is no measurement.
constexpr double assumedCallSeconds = 5;
constexpr double assumedOutputTokens = 250;
constexpr double satisfactionWeight = 0.05;
constexpr double initialSatisfaction = 0.5;

} // namespace

router::router(const routing_policy &policy, std::uint64_t seed)
    : m_policy(policy)
    , m_random(seed)
    , m_nextRoundRobin(m_random.next()) // Random, so that daemons start at different members.
{
}

bool router::eligible(const routing_request &request, endpoint_id id, double extraLoad)
{
    return request.table.accepts(id, request.now) && request.table.load(id, request.now) < request.ceiling + extraLoad
        && std::ranges::find(request.call.excluded, id) == request.call.excluded.end()
        && !request.table.runsOtherSuspect(id, request.call.content, request.now);
}

void router::sampleEligible(const routing_request &request, std::size_t maxCount)
{
    m_sample.clear();
    const std::size_t size = request.members.size();
    const bool isSmallPool = size <= smallPoolSize;
    const std::size_t start = m_random.below(size);
    for (std::size_t attempt = 0; attempt < (isSmallPool ? size : maxSampleAttempts) && m_sample.size() < maxCount;
         ++attempt) {
        const endpoint_id id = request.members[isSmallPool ? (start + attempt) % size : m_random.below(size)];
        if (std::ranges::find(m_sample, id) == m_sample.end() && eligible(request, id)) {
            m_sample.push_back(id);
        }
    }
}

void router::findHolders(const routing_request &request)
{
    m_holders.clear();
    for (const cached_prefix &prefix : request.caches.cachedPrefixes(request.call.program)) {
        const token_count tokens = std::min(request.caches.estimatedTokens(prefix), request.call.promptTokens);
        const auto id = tokens == 0 ? std::nullopt : request.table.find(request.caches.endpointName(prefix.endpoint));
        if (id && request.table.view(*id).pool == request.call.pool) {
            m_holders.push_back({.endpoint = *id, .cachedTokens = tokens});
        }
    }
    std::ranges::sort(m_holders, std::ranges::greater{}, &route::cachedTokens);
}

std::optional<route> router::choose(const waiting_call &call, const endpoint_table &table,
                                    const cache_directory &caches, double ceiling, time_point now)
{
    const routing_request request{.call = call,
                                  .table = table,
                                  .caches = caches,
                                  .members = table.pool(call.pool),
                                  .ceiling = ceiling,
                                  .now = now};
    if (request.members.empty()) {
        return std::nullopt;
    }
    const auto chosen = std::visit([&](const auto &policy) { return pick(policy, request); }, m_policy);
    if (!chosen) {
        return std::nullopt;
    }
    const token_count cached = caches.cachedTokens(call.program, table.view(*chosen).name);
    return route{.endpoint = *chosen, .cachedTokens = std::min(cached, call.promptTokens)};
}

std::optional<endpoint_id> router::pick(const random_routing & /*policy*/, const routing_request &request)
{
    sampleEligible(request, smallPoolSize);
    return m_sample.empty() ? std::nullopt : std::optional(m_sample[m_random.below(m_sample.size())]);
}

std::optional<endpoint_id> router::pick(const round_robin_routing & /*policy*/, const routing_request &request)
{
    const std::size_t size = request.members.size();
    for (std::size_t attempt = 0; attempt < std::min(size, smallPoolSize); ++attempt) {
        const endpoint_id id = request.members[m_nextRoundRobin++ % size];
        if (eligible(request, id)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<endpoint_id> router::pick(const least_loaded_routing & /*policy*/, const routing_request &request)
{
    sampleEligible(request, smallPoolSize);
    const auto load = [&request](endpoint_id id) {
        return request.table.load(id, request.now);
    };
    const auto least = std::ranges::min_element(m_sample, {}, load);
    return least == m_sample.end() ? std::nullopt : std::optional(*least);
}

std::optional<endpoint_id> router::pick(const program_hash_routing & /*policy*/, const routing_request &request)
{
    const std::size_t size = request.members.size();
    const std::size_t start = std::hash<program_key>{}(request.call.program) % size;
    for (std::size_t attempt = 0; attempt < std::min(size, smallPoolSize); ++attempt) {
        const endpoint_id id = request.members[(start + attempt) % size];
        if (eligible(request, id)) {
            return id;
        }
    }
    return std::nullopt;
}

// Estimated time until a slot is free, plus the time to compute the uncached part of the prompt and to decode, which is
// slower in a fuller batch.
double router::estimatedSeconds(const routing_request &request, endpoint_id id, token_count cached,
                                const prefix_affinity_routing &policy)
{
    const endpoint_view &view = request.table.view(id);
    const double load = request.table.load(id, request.now);
    const double slots = std::max<std::uint32_t>(view.slots, 1);
    const double callSeconds = view.secondsPerCall > 0 ? view.secondsPerCall : assumedCallSeconds;
    // Assumes that calls end at evenly spread times: with n calls queued ahead, a slot is free after (n + 1) / slots
    // call durations.
    const double queued = load < 1 ? 0 : (load - 1) * slots + 1;
    const auto uncached = static_cast<double>(request.call.promptTokens - std::min(cached, request.call.promptTokens));
    const double decoding = view.tokensPerSecond > 0 ? assumedOutputTokens / view.tokensPerSecond : 0;
    const double remoteZoneDelay = view.zone == request.call.zone ? 0 : policy.remoteZoneSeconds;
    return queued * callSeconds / slots + policy.recomputeWeight * uncached / assumedPrefillSpeed
        + policy.slowdownSeconds * std::min(load, 1.0) + decoding + remoteZoneDelay;
}

std::optional<endpoint_id> router::pick(const prefix_affinity_routing &policy, const routing_request &request)
{
    findHolders(request);
    sampleEligible(request, m_holders.empty() ? policy.firstTurnChoices : policy.choices);
    std::optional<endpoint_id> best;
    double bestSeconds = std::numeric_limits<double>::max();
    const auto consider = [&](endpoint_id id, token_count cached) {
        const double time = estimatedSeconds(request, id, cached, policy);
        if (time < bestSeconds) {
            bestSeconds = time;
            best = id;
        }
    };
    constexpr std::size_t holdersConsidered = 3;
    for (const route &holder : std::span(m_holders).first(std::min(m_holders.size(), holdersConsidered))) {
        if (request.table.load(holder.endpoint, request.now) < policy.loadBound
            && eligible(request, holder.endpoint, policy.holderExtraLoad)) {
            consider(holder.endpoint, holder.cachedTokens);
        }
    }
    std::ranges::for_each(m_sample, [&](endpoint_id id) { consider(id, 0); });
    return best;
}

std::optional<endpoint_id> router::pick(const sbqa_routing &policy, const routing_request &request)
{
    sampleEligible(request, policy.k);
    const auto load = [&request](endpoint_id id) {
        return request.table.load(id, request.now);
    };
    std::ranges::sort(m_sample, {}, load);
    m_sample.resize(std::min<std::size_t>(m_sample.size(), policy.kn));
    findHolders(request);
    double &consumerSatisfaction =
        m_consumerSatisfaction.try_emplace(request.call.program.customer, initialSatisfaction).first->second;
    std::optional<endpoint_id> best;
    double bestScore = -std::numeric_limits<double>::max();
    double bestConsumerInterest = 0;
    double bestProviderInterest = 0;
    for (const endpoint_id id : m_sample) {
        const auto index = static_cast<std::size_t>(id);
        if (m_providerSatisfaction.size() <= index) {
            m_providerSatisfaction.resize(index + 1, initialSatisfaction);
        }
        const auto holder = std::ranges::find(m_holders, id, &route::endpoint);
        const double cached = holder == m_holders.end() ? 0 : static_cast<double>(holder->cachedTokens);
        // The consumer prefers a cached prefix, the provider prefers work until its slots are full; both from -1 to 1.
        const double consumerInterest =
            2 * cached / std::max<double>(1, static_cast<double>(request.call.promptTokens)) - 1;
        const double providerInterest = std::clamp(1 - 2 * load(id), -1.0, 1.0);
        const double omega = ((consumerSatisfaction - m_providerSatisfaction[index]) + 1) / 2;
        const bool positive = consumerInterest > 0 && providerInterest > 0;
        const double score = positive ? std::pow(providerInterest, omega) * std::pow(consumerInterest, 1 - omega)
                                      : -(std::pow(1 - providerInterest + policy.epsilon, omega)
                                          * std::pow(1 - consumerInterest + policy.epsilon, 1 - omega));
        if (score > bestScore) {
            bestScore = score;
            best = id;
            bestConsumerInterest = consumerInterest;
            bestProviderInterest = providerInterest;
        }
    }
    if (best) {
        double &providerSatisfaction = m_providerSatisfaction[static_cast<std::size_t>(*best)];
        consumerSatisfaction += satisfactionWeight * ((bestConsumerInterest + 1) / 2 - consumerSatisfaction);
        providerSatisfaction += satisfactionWeight * ((bestProviderInterest + 1) / 2 - providerSatisfaction);
    }
    return best;
}

} // namespace jackdawpick::internal
