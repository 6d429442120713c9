#pragma once

// Order of waiting calls, admission, and the choice of endpoint. Policies are chosen by settings through std::variant,
// so that each can be measured against its baselines in the same run.
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
    token_count attainedService = 0; // Of the whole program, sub-agents included.
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
    // For the engine, 0 the most urgent: the call's rank, or 0 for a call that its rank's minimum share lets through.
    rank_index priority = 0;
};

// Calls whose deadline or queue target passed while they waited; they did not run.
struct expired_call
{
    std::uint64_t handle = 0;
    result_code code = result_code::Overloaded; // Overloaded or DeadlineExceededNotRun.
    std::chrono::milliseconds retryAfter{0};
};

struct scheduler_options; // Policies; see scheduler_options.h of this library.

class scheduler
{
public:
    scheduler(const scheduler_options &options, std::uint64_t seed);
    ~scheduler();
    scheduler(scheduler &&) noexcept;
    scheduler &operator=(scheduler &&) noexcept;

    // Ranks, shares and targets in force; waiting calls stay.
    void configure(const std::vector<rank_policy> &ranks, const limit_policy &limits);
    // Refuses a call that cannot be served within its rank's target (Overloaded, not run, with a retry time).
    [[nodiscard]] std::optional<refusal> admit(const waiting_call &call, const endpoint_table &table, time_point now);
    void enqueue(waiting_call call, time_point now);
    // Removes a waiting call; false if it is not waiting.
    bool remove(std::uint64_t handle);
    // Assigns waiting calls to endpoints that accept work, best first, and counts them as dispatched in `table`.
    [[nodiscard]] std::vector<assignment> assign(endpoint_table &table, const cache_directory &caches, time_point now);
    [[nodiscard]] std::vector<expired_call> expire(time_point now);
    // Service that a finished call used, for shares and wait estimates.
    void onServed(rank_index rank, const std::string &pool, token_count tokens, duration total, time_point now);
    // Spends one retry of the customer's budget; false if none is left. First attempts earn budget through admit().
    [[nodiscard]] bool spendRetry(const std::string &customer, time_point now);

    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t waiting(rank_index rank) const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
