#pragma once

// Requests that endpoints have run to their end and survived, and when they did so last. A request that crashes the
// endpoints that run it has no survivals.
//
//   survivals known;
//   known.add(request, now);
//   if (known.lastOf(request) >= failedAt) { ... }
//
// Bounded; the oldest are dropped. No I/O; thread-compatible.

#include "clock/clock.h"
#include "endpoint_calls/endpoint_calls.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace jackdawpick::crashes::internal
{

class survivals
{
public:
    static constexpr std::size_t maxRequests = 1024;

    void add(const endpoint_calls::request_identity &request, time_point at);
    [[nodiscard]] std::optional<time_point> lastOf(const endpoint_calls::request_identity &request) const;
    // The latest survivals of the content, by caller.
    [[nodiscard]] std::map<std::uint64_t, time_point> ofContent(std::uint64_t content) const;
    void eraseBefore(time_point time);

private:
    std::map<std::pair<std::uint64_t, std::uint64_t>, time_point> m_last; // By content and caller.
};

} // namespace jackdawpick::crashes::internal
