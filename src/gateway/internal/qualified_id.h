#pragma once

// The names of programs, turns and attempts inside the daemons and in the log. Callers choose their ids; those of two
// tenants, or of a tenant and of callers without one, must never name the same thing.
//
//   const auto name = encode({.tenant = "red", .id = "turn-7"});   // "3:red/turn-7"
//   decode(name).id;                                               // "turn-7"
//
// Value types; thread compatible.

#include <string>
#include <string_view>

namespace jackdawpick::gateway::internal
{

struct qualified_id
{
    std::string tenant; // Empty: callers without a tenant.
    std::string id; // As the caller sent it; any bytes.
    bool operator==(const qualified_id &) const = default;
};

// No two values have the same name. The id of a caller without a tenant is its own name, as in the records of
// deployments without tenants, unless it reads like the name of a tenant's; then it gets an empty tenant's prefix. An
// empty id, which names nothing, stays empty.
[[nodiscard]] std::string encode(const qualified_id &value);
// The value of a name that encode() has returned for an id that is not empty.
[[nodiscard]] qualified_id decode(std::string_view name);

} // namespace jackdawpick::gateway::internal
