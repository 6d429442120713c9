#include "scheduler/internal/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawpick::internal
{

namespace
{

// Up to this size all members of a pool are looked at; above it a sample, so that a decision stays cheap.
constexpr std::size_t smallPool = 32;
constexpr std::size_t sampleTries = 24;
constexpr double assumedPrefillSpeed = 8000; // Tokens per second while none was measured.
constexpr double assumedCallSeconds = 5;
constexpr double assumedOutputTokens = 250;
constexpr double satisfactionWeight = 0.05;
constexpr double initialSatisfaction = 0.5;

} // namespace

router::router(const routing_policy &policy, std::uint64_t seed)
    : m_policy(policy)
    , m_random(seed)
    , m_turn(m_random.next()) // Daemons start their round at different members.
{
}

bool router::eligible(const request &what, endpoint_id id, double extraLoad)
{
    return what.table.accepts(id, what.now) && what.table.load(id, what.now) < what.ceiling + extraLoad
        && std::ranges::find(what.call.excluded, id) == what.call.excluded.end()
        && !what.table.runsOtherSuspect(id, what.call.content, what.now);
}

void router::sample(const request &what, std::size_t wanted)
{
    m_sample.clear();
    const std::size_t size = what.members.size();
    const bool all = size <= smallPool;
    const std::size_t start = m_random.below(size);
    for (std::size_t tried = 0; tried < (all ? size : sampleTries) && m_sample.size() < wanted; ++tried) {
        const endpoint_id id = what.members[all ? (start + tried) % size : m_random.below(size)];
        if (std::ranges::find(m_sample, id) == m_sample.end() && eligible(what, id)) {
            m_sample.push_back(id);
        }
    }
}

void router::findHolders(const request &what)
{
    m_holders.clear();
    for (const cached_prefix &prefix : what.caches.cachedPrefixes(what.call.program)) {
        const token_count tokens = std::min(what.caches.estimatedTokens(prefix), what.call.promptTokens);
        const auto id = tokens == 0 ? std::nullopt : what.table.find(what.caches.endpointName(prefix.endpoint));
        if (id && what.table.view(*id).pool == what.call.pool) {
            m_holders.push_back({.endpoint = *id, .cachedTokens = tokens});
        }
    }
    std::ranges::sort(m_holders, std::ranges::greater{}, &route::cachedTokens);
}

std::optional<route> router::choose(const waiting_call &call, const endpoint_table &table,
                                    const cache_directory &caches, double ceiling, time_point now)
{
    const request what{.call = call,
                       .table = table,
                       .caches = caches,
                       .members = table.pool(call.pool),
                       .ceiling = ceiling,
                       .now = now};
    if (what.members.empty()) {
        return std::nullopt;
    }
    const auto chosen = std::visit([&](const auto &policy) { return pick(policy, what); }, m_policy);
    if (!chosen) {
        return std::nullopt;
    }
    const token_count cached = caches.cachedTokens(call.program, table.view(*chosen).name);
    return route{.endpoint = *chosen, .cachedTokens = std::min(cached, call.promptTokens)};
}

std::optional<endpoint_id> router::pick(const random_routing & /*policy*/, const request &what)
{
    sample(what, smallPool);
    return m_sample.empty() ? std::nullopt : std::optional(m_sample[m_random.below(m_sample.size())]);
}

std::optional<endpoint_id> router::pick(const round_robin_routing & /*policy*/, const request &what)
{
    const std::size_t size = what.members.size();
    for (std::size_t tried = 0; tried < std::min(size, smallPool); ++tried) {
        const endpoint_id id = what.members[m_turn++ % size];
        if (eligible(what, id)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<endpoint_id> router::pick(const least_loaded_routing & /*policy*/, const request &what)
{
    sample(what, smallPool);
    const auto load = [&what](endpoint_id id) {
        return what.table.load(id, what.now);
    };
    const auto least = std::ranges::min_element(m_sample, {}, load);
    return least == m_sample.end() ? std::nullopt : std::optional(*least);
}

std::optional<endpoint_id> router::pick(const program_hash_routing & /*policy*/, const request &what)
{
    const std::size_t size = what.members.size();
    const std::size_t start = std::hash<program_key>{}(what.call.program) % size;
    for (std::size_t tried = 0; tried < std::min(size, smallPool); ++tried) {
        const endpoint_id id = what.members[(start + tried) % size];
        if (eligible(what, id)) {
            return id;
        }
    }
    return std::nullopt;
}

// Time until a slot is free, to compute the prompt's uncached part, and what decoding loses in a fuller batch.
double router::estimatedSeconds(const request &what, endpoint_id id, token_count cached,
                                const prefix_affinity_routing &policy)
{
    const endpoint_view &view = what.table.view(id);
    const double load = what.table.load(id, what.now);
    const double slots = std::max<std::uint32_t>(view.slots, 1);
    const double callSeconds = view.secondsPerCall > 0 ? view.secondsPerCall : assumedCallSeconds;
    // Ends of calls are spread evenly: with n ahead in a queue, the next free slot comes after (n + 1) / slots calls.
    const double queued = load < 1 ? 0 : (load - 1) * slots + 1;
    const auto uncached = static_cast<double>(what.call.promptTokens - std::min(cached, what.call.promptTokens));
    const double decoding = view.tokensPerSecond > 0 ? assumedOutputTokens / view.tokensPerSecond : 0;
    const double away = view.zone == what.call.zone ? 0 : policy.remoteZoneSeconds;
    return queued * callSeconds / slots + policy.recomputeWeight * uncached / assumedPrefillSpeed
        + policy.slowdownSeconds * std::min(load, 1.0) + decoding + away;
}

std::optional<endpoint_id> router::pick(const prefix_affinity_routing &policy, const request &what)
{
    findHolders(what);
    sample(what, m_holders.empty() ? policy.firstTurnChoices : policy.choices);
    std::optional<endpoint_id> best;
    double bestSeconds = std::numeric_limits<double>::max();
    const auto consider = [&](endpoint_id id, token_count cached) {
        const double time = estimatedSeconds(what, id, cached, policy);
        if (time < bestSeconds) {
            bestSeconds = time;
            best = id;
        }
    };
    constexpr std::size_t holdersConsidered = 3;
    for (const route &holder : std::span(m_holders).first(std::min(m_holders.size(), holdersConsidered))) {
        if (what.table.load(holder.endpoint, what.now) < policy.loadBound
            && eligible(what, holder.endpoint, policy.holderExtra)) {
            consider(holder.endpoint, holder.cachedTokens);
        }
    }
    std::ranges::for_each(m_sample, [&](endpoint_id id) { consider(id, 0); });
    return best;
}

std::optional<endpoint_id> router::pick(const sbqa_routing &policy, const request &what)
{
    sample(what, policy.k);
    const auto load = [&what](endpoint_id id) {
        return what.table.load(id, what.now);
    };
    std::ranges::sort(m_sample, {}, load);
    m_sample.resize(std::min<std::size_t>(m_sample.size(), policy.kn));
    findHolders(what);
    double &consumer = m_consumers.try_emplace(what.call.program.customer, initialSatisfaction).first->second;
    std::optional<endpoint_id> best;
    double bestScore = -std::numeric_limits<double>::max();
    double bestConsumerInterest = 0;
    double bestProviderInterest = 0;
    for (const endpoint_id id : m_sample) {
        const auto index = static_cast<std::size_t>(id);
        if (m_providers.size() <= index) {
            m_providers.resize(index + 1, initialSatisfaction);
        }
        const auto holder = std::ranges::find(m_holders, id, &route::endpoint);
        const double cached = holder == m_holders.end() ? 0 : static_cast<double>(holder->cachedTokens);
        // The consumer wants its prefix, the provider wants work up to its slots; both from -1 to 1.
        const double consumerInterest =
            2 * cached / std::max<double>(1, static_cast<double>(what.call.promptTokens)) - 1;
        const double providerInterest = std::clamp(1 - 2 * load(id), -1.0, 1.0);
        const double omega = ((consumer - m_providers[index]) + 1) / 2;
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
        double &provider = m_providers[static_cast<std::size_t>(*best)];
        consumer += satisfactionWeight * ((bestConsumerInterest + 1) / 2 - consumer);
        provider += satisfactionWeight * ((bestProviderInterest + 1) / 2 - provider);
    }
    return best;
}

} // namespace jackdawpick::internal
