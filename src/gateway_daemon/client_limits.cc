#include "gateway_daemon/client_limits.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

// Without a memory size: more than clients within the limits hold.
constexpr std::size_t defaultHeldBytes = 64U << 20U;
// Counted bytes as a share of the host's memory. The rest is for what the allocator adds, for copies while a request is
// passed on, and for incomplete messages of links (17 MB).
constexpr double heldShare = 0.45;
// Resident memory of a daemon without load, beside what it knows of turns. Their texts are counted with those of
// requests.
constexpr std::size_t idleBytes = 10U << 20U;
// A request of the largest size is held by its connection, and once more on its way to the endpoint.
constexpr std::size_t largestBodiesHeld = 3;
// Descriptors of files, which include those of libraries and logs.
constexpr std::uint32_t fileDescriptorsReserved = 200;
// A request that is being served needs a descriptor for its caller and one for its endpoint; links, the store and idle
// connections to endpoints need the last third.
constexpr std::uint32_t clientPart = 3;
constexpr std::uint32_t leastConnections = 16;

std::uint32_t thirdOfDescriptors(const gateway_settings &settings)
{
    const auto sockets = std::max(settings.fileDescriptors, fileDescriptorsReserved) - fileDescriptorsReserved;
    return std::max(sockets / clientPart, leastConnections);
}

} // namespace

net::client_limits clientLimitsFor(const gateway_settings &settings)
{
    net::client_limits limits{.heldBytes = defaultHeldBytes, .connections = settings.maxConnections};
    if (settings.hostMemoryBytes > 0) {
        const auto share = static_cast<std::size_t>(heldShare * static_cast<double>(settings.hostMemoryBytes));
        const std::size_t idle = idleBytes + settings.turnChainBytes;
        limits.heldBytes = share - std::min(share, idle);
    }
    limits.heldBytes = std::max<std::size_t>(limits.heldBytes, largestBodiesHeld * settings.maxBodyBytes);
    if (settings.fileDescriptors > 0) {
        limits.connections = std::min<std::size_t>(limits.connections, thirdOfDescriptors(settings));
    }
    return limits;
}

std::uint32_t linkLimitFor(const gateway_settings &settings)
{
    return settings.fileDescriptors > 0 ? std::min(settings.maxConnections, thirdOfDescriptors(settings))
                                        : settings.maxConnections;
}

} // namespace jackdawpick
