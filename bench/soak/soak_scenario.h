#pragma once

// What every randomised history starts from: hosts, cluster configuration and the behaviour of the log.

#include "configuration/configuration.h"
#include "testing/fake_log.h"

namespace jackdawpick
{

inline constexpr std::uint32_t engineCount = 3;
inline constexpr std::uint32_t serviceCount = 2;

[[nodiscard]] std::vector<host_entry> endpointHosts();
// Two ranks; `routineShare` is the part of the service that routine work keeps.
[[nodiscard]] configuration cluster(double routineShare);
// With `faults`, requests and answers are lost and delayed.
[[nodiscard]] fake_log_options logOptions(bool faults);

} // namespace jackdawpick
