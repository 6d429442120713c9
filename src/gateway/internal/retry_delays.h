#pragma once

// Retry-after times for callers.

#include <chrono>

namespace jackdawpick::gateway::internal
{

// Outages of the store last for seconds and callers make only a few attempts; a long delay makes it more likely that
// the last attempt falls after the outage.
inline constexpr std::chrono::milliseconds storeRetryDelay{1000};
// Another daemon most likely reaches the store.
inline constexpr std::chrono::milliseconds staleConfigurationRetryDelay{20};

} // namespace jackdawpick::gateway::internal
