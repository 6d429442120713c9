#pragma once

// Wait estimates and the decisions of the admission policies.

#include "scheduler/internal/random.h"
#include "scheduler/internal/waiting_queue.h"

namespace jackdawpick::internal
{

// Input of an admission policy.
struct admission_request
{
    const waiting_call &call;
    const endpoint_table &table;
    pool_queue &queue;
    const std::vector<rank_policy> &ranks;
    random_source &random;
    time_point now;
};

// Estimated seconds until a new call of this rank would be dispatched: the number of calls ahead of it, divided by this
// daemon's recent dispatch rate. The rank either waits for all more urgent calls or is served at its minimum share,
// whichever is faster.
[[nodiscard]] double estimatedWaitSeconds(const admission_request &request);

[[nodiscard]] std::optional<refusal> decideAdmission(const admission_policy &policy, const admission_request &request);

// Retry time for a refused call: its estimated wait. For a new program, includes the time to serve the other new
// programs that were refused recently.
[[nodiscard]] std::chrono::milliseconds retryTime(const target_admission &policy, const admission_request &request);

} // namespace jackdawpick::internal
