#pragma once

// Endpoint selection for a call: a visitor over routing_policy, with the state that some policies need.

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

    // Returns an endpoint that accepts the call now and whose load is below `ceiling`. Empty if there is none or, in a
    // large pool, if none was found in a sample.
    [[nodiscard]] std::optional<route> choose(const waiting_call &call, const endpoint_table &table,
                                              const cache_directory &caches, double ceiling, time_point now);

private:
    struct routing_request
    {
        const waiting_call &call;
        const endpoint_table &table;
        const cache_directory &caches;
        const std::vector<endpoint_id> &members;
        double ceiling = 0;
        time_point now;
    };
    // Moving average of how well a participant's interests were met, from 0 to 1; see SbQA.
    using satisfaction_map = std::unordered_map<std::string, double>;

    [[nodiscard]] static bool eligible(const routing_request &request, endpoint_id id, double extraLoad = 0);
    // Fills m_sample with at most `maxCount` eligible members: of a small pool from a random start, of a large pool by
    // random sampling.
    void sampleEligible(const routing_request &request, std::size_t maxCount);
    // Fills m_holders with the endpoints that hold a prefix of the program, longest prefix first.
    void findHolders(const routing_request &request);
    [[nodiscard]] static double estimatedSeconds(const routing_request &request, endpoint_id id, token_count cached,
                                                 const prefix_affinity_routing &policy);

    std::optional<endpoint_id> pick(const random_routing &policy, const routing_request &request);
    std::optional<endpoint_id> pick(const round_robin_routing &policy, const routing_request &request);
    std::optional<endpoint_id> pick(const least_loaded_routing &policy, const routing_request &request);
    std::optional<endpoint_id> pick(const program_hash_routing &policy, const routing_request &request);
    std::optional<endpoint_id> pick(const prefix_affinity_routing &policy, const routing_request &request);
    std::optional<endpoint_id> pick(const sbqa_routing &policy, const routing_request &request);

    routing_policy m_policy;
    random_source m_random;
    std::uint64_t m_nextRoundRobin = 0;
    satisfaction_map m_consumerSatisfaction;
    std::vector<double> m_providerSatisfaction; // By endpoint.
    std::vector<endpoint_id> m_sample; // Reused between decisions.
    std::vector<route> m_holders;
};

} // namespace jackdawpick::internal
