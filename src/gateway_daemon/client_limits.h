#pragma once

// How much of the host's memory and descriptors clients may hold; what remains is for links, the store, endpoints and
// the daemon itself.
//
//   loop.setClientLimits(clientLimitsFor(settings));

#include "gateway_settings/gateway_settings.h"
#include "net/net.h"

namespace jackdawpick
{

[[nodiscard]] net::client_limits clientLimitsFor(const gateway_settings &settings);
// Most links between daemons, in both directions together.
[[nodiscard]] std::uint32_t linkLimitFor(const gateway_settings &settings);

} // namespace jackdawpick
