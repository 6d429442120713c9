#pragma once

// Retry-after times for callers.

#include <algorithm>
#include <chrono>

namespace jackdawpick::gateway::internal
{

// Outages of the store last for seconds and callers make only a few attempts.
inline constexpr std::chrono::milliseconds minStoreRetryDelay{1000};
inline constexpr std::chrono::milliseconds maxStoreRetryDelay{2000};

// When a caller is to come back that the store cannot serve now. An outage that has lasted for some time is likely to
// last as long again.
[[nodiscard]] inline std::chrono::milliseconds storeRetryDelay(std::chrono::milliseconds unavailableFor)
{
    return std::clamp(unavailableFor, minStoreRetryDelay, maxStoreRetryDelay);
}

} // namespace jackdawpick::gateway::internal
