#pragma once

// Choice of an endpoint for one call: a visitor over routing_policy with the state that some policies keep.

#include "cache/cache.h"
#include "endpoints/endpoints.h"
#include "scheduler/internal/random.h"
#include "scheduler/scheduler.h"
#include "scheduler/scheduler_options.h"

namespace jackdawpick::internal
{

struct route
{
    endpoint_id endpoint{};
    token_count cachedTokens = 0;
};

class router
{
public:
    router(const routing_policy &policy, std::uint64_t seed);

    // An endpoint that may take the call now and whose load is below `ceiling`; empty if there is none, or in a big
    // pool if a sample found none.
    [[nodiscard]] std::optional<route> choose(const waiting_call &call, const endpoint_table &table,
                                              const cache_directory &caches, double ceiling, time_point now);

private:
    struct request
    {
        const waiting_call &call;
        const endpoint_table &table;
        const cache_directory &caches;
        const std::vector<endpoint_id> &members;
        double ceiling = 0;
        time_point now;
    };
    // Running mean of what a participant got, from 0 to 1; see SbQA.
    using satisfaction_map = std::unordered_map<std::string, double>;

    [[nodiscard]] static bool eligible(const request &what, endpoint_id id, double extraLoad = 0);
    // Eligible members: all of a small pool in a random rotation, a sample of a big one. At most `wanted`.
    void sample(const request &what, std::size_t wanted);
    // Adds the program's holders to m_holders, longest prefix first.
    void findHolders(const request &what);
    [[nodiscard]] static double estimatedSeconds(const request &what, endpoint_id id, token_count cached,
                                                 const prefix_affinity_routing &policy);

    std::optional<endpoint_id> pick(const random_routing &policy, const request &what);
    std::optional<endpoint_id> pick(const round_robin_routing &policy, const request &what);
    std::optional<endpoint_id> pick(const least_loaded_routing &policy, const request &what);
    std::optional<endpoint_id> pick(const program_hash_routing &policy, const request &what);
    std::optional<endpoint_id> pick(const prefix_affinity_routing &policy, const request &what);
    std::optional<endpoint_id> pick(const sbqa_routing &policy, const request &what);

    routing_policy m_policy;
    random_source m_random;
    std::uint64_t m_turn = 0;
    satisfaction_map m_consumers;
    std::vector<double> m_providers; // By endpoint.
    std::vector<endpoint_id> m_sample; // Reused between decisions.
    std::vector<route> m_holders;
};

} // namespace jackdawpick::internal
