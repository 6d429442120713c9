#pragma once

// Queueing, admission control and endpoint selection for calls. The settings select each policy from a std::variant, so
// that a policy and its baselines can be compared in one run.
//
//   scheduler queue(options, seed);
//   if (auto refused = queue.admit(call, table, now)) { ... }
//   queue.enqueue(call, now);
//   for (const assignment &next : queue.assign(table, caches, now)) { ... }

#include "cache/cache.h"
#include "configuration/configuration.h"
#include "endpoints/endpoints.h"

namespace jackdawpick
{

// A call that waits for an endpoint. Handles are unique among waiting calls.
struct waiting_call
{
    std::uint64_t handle = 0;
    program_key program;
    rank_index rank = 0;
    std::string pool{};
    std::string zone{}; // Of this daemon.
    token_count promptTokens = 0;
    token_count maxTokens = 0;
    token_count attainedService = 0; // Tokens that the whole program has used, sub-agents included.
    digest content = 0;
    time_point arrived;
    time_point deadline;
    std::vector<endpoint_id> excluded{}; // Already tried by this call.
};

struct assignment
{
    std::uint64_t handle = 0;
    endpoint_id endpoint{};
    token_count expectedCachedTokens = 0;
    // Passed to the engine; 0 is the most urgent. The call's rank, or 0 if the call is dispatched because its rank is
    // below its minimum share.
    rank_index priority = 0;
};

// A call whose deadline or queue target passed while it waited; it did not run.
struct expired_call
{
    std::uint64_t handle = 0;
    result_code code = result_code::Overloaded; // Overloaded or DeadlineExceededNotRun.
    std::chrono::milliseconds retryAfter{0};
};

struct scheduler_options; // Defined in scheduler_options.h.

class scheduler
{
public:
    scheduler(const scheduler_options &options, std::uint64_t seed);
    ~scheduler();
    scheduler(scheduler &&) noexcept;
    scheduler &operator=(scheduler &&) noexcept;

    // Replaces ranks, shares and targets; waiting calls remain in the queue.
    void configure(const std::vector<rank_policy> &ranks, const limit_policy &limits);
    // Refuses a call that cannot be served within its rank's queue target, with Overloaded and a retry time.
    [[nodiscard]] std::optional<refusal> admit(const waiting_call &call, const endpoint_table &table, time_point now);
    void enqueue(waiting_call call, time_point now);
    // Removes a waiting call; false if it is not waiting.
    bool remove(std::uint64_t handle);
    // Assigns waiting calls to endpoints that accept work, in policy order, and records the dispatches in `table`.
    [[nodiscard]] std::vector<assignment> assign(endpoint_table &table, const cache_directory &caches, time_point now);
    [[nodiscard]] std::vector<expired_call> expire(time_point now);
    // Reports the service that a finished call used.
    void onServed(rank_index rank, const std::string &pool, token_count tokens, duration total, time_point now);
    // Takes one retry from the customer's budget; false if none is left. Each admitted first attempt adds to the
    // budget.
    [[nodiscard]] bool spendRetry(const std::string &customer, time_point now);

    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t waiting(rank_index rank) const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
