#pragma once

// When callers are told to come back.

#include <chrono>

namespace jackdawpick::gateway::internal
{

// Outages of the store last for seconds; callers come back as late as they can, so that their few attempts reach
// further.
inline constexpr std::chrono::milliseconds storeRetryDelay{1000};

} // namespace jackdawpick::gateway::internal
