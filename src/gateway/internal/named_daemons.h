#pragma once

// Which daemons the directory names to a caller.
//
//   auto named = selectNamed(readyDaemons, "zone-a");
//
// In a large deployment the directory names a part of the daemons only. All daemons with the same view of the others
// choose the same part, so that callers do not spread over all hosts, each with connections of its own to the
// endpoints.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::gateway::internal
{

struct listed_daemon
{
    std::string name;
    std::string zone;
    std::string callerAddress;
    bool reachesEndpoints = true;
    bool operator==(const listed_daemon &) const = default;
};

// Callers read no more addresses than this.
inline constexpr std::size_t maxNamedDaemons = 64;

// All of them if they are no more than callers read. Otherwise those of the zone of the caller, which is nearest, up to
// an equal share of the addresses for each zone, and others if the zone has fewer. Daemons without a path to the
// endpoints are left out unless they are most: the others could not serve all callers, while relaying a request costs
// them less than serving its caller.
[[nodiscard]] std::vector<listed_daemon> selectNamed(std::vector<listed_daemon> ready, std::string_view callerZone);

} // namespace jackdawpick::gateway::internal
