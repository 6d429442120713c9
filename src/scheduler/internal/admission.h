#pragma once

// Wait estimates and the verdict of admission policies.

#include "scheduler/internal/random.h"
#include "scheduler/internal/waiting_queue.h"

namespace jackdawpick::internal
{

// What an admission policy sees of a call's pool.
struct admission_request
{
    const waiting_call &call;
    const endpoint_table &table;
    pool_queue &queue;
    const std::vector<rank_policy> &ranks;
    random_source &random;
    time_point now;
};

// Seconds until a new call of this rank would be dispatched: the calls before it over the rate at which this daemon has
// lately dispatched calls. The rank either waits for all more urgent calls or gets its minimum share, whichever is
// faster.
[[nodiscard]] double estimatedWaitSeconds(const admission_request &what);

[[nodiscard]] std::optional<refusal> admitBy(const admission_policy &policy, const admission_request &what);

// Retry time for a refused call: its estimated wait; for a new program also until the new programs refused lately can
// be served.
[[nodiscard]] std::chrono::milliseconds retryTime(const target_admission &policy, const admission_request &what);

} // namespace jackdawpick::internal
