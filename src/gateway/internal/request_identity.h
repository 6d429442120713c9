#pragma once

// What identifies a request over all its attempts, by which requests that crash endpoints are known.
//
//   const auto identity = identityOf(request, "red");
//
// Pure functions; thread compatible.

#include "endpoint_calls/endpoint_calls.h"
#include "gateway/events.h"

#include <string_view>

namespace jackdawpick::gateway::internal
{

// All attempts of a request have the same content. A body identifies a request under whatever program, session or
// previous turn it comes again; requests without one are told apart by their program and object. Those of two tenants
// are never the same.
// `tenant` is the name of the caller's tenant, empty for callers without one; the program's id is already qualified.
[[nodiscard]] endpoint_calls::request_identity identityOf(const caller_request &request, std::string_view tenant);

} // namespace jackdawpick::gateway::internal
