#include "gateway/internal/named_daemons.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace jackdawpick::gateway::internal
{

namespace
{

// The same at all daemons, and unrelated to the zone that the name may hold.
std::uint64_t rankOf(const listed_daemon &daemon)
{
    return XXH3_64bits(daemon.name.data(), daemon.name.size());
}

} // namespace

std::vector<listed_daemon> selectNamed(std::vector<listed_daemon> ready, std::string_view callerZone)
{
    const auto reaching = std::ranges::count_if(ready, &listed_daemon::reachesEndpoints);
    if (static_cast<std::size_t>(reaching) * 2 >= ready.size()) {
        std::erase_if(ready, [](const auto &daemon) { return !daemon.reachesEndpoints; });
    }
    if (ready.size() <= maxNamedDaemons) {
        return ready;
    }
    std::set<std::string_view> zones;
    std::ranges::transform(ready, std::inserter(zones, zones.end()), &listed_daemon::zone);
    const auto share = std::max<std::size_t>(maxNamedDaemons / zones.size(), 1);
    std::ranges::sort(ready, std::less<>(), [callerZone](const listed_daemon &daemon) {
        return std::tuple(daemon.zone != callerZone, rankOf(daemon), std::string_view(daemon.name));
    });
    ready.resize(share);
    return ready;
}

} // namespace jackdawpick::gateway::internal
