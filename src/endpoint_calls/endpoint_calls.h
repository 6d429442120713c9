#pragma once

// A request to an endpoint and the parts of its response as data, for the daemon that makes the call and for those that
// pass it on.
//
//   endpoint_calls::endpoint_request request{.address = "10.0.0.1:80", .endpoint = "e1", .attempt = "a1"};
//
// Value types; thread compatible.

#include "rope/rope.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace jackdawpick::endpoint_calls
{

using header_list = std::vector<std::pair<std::string, std::string>>;

// One start of an endpoint. An endpoint may start again under the id that it had.
struct endpoint_incarnation
{
    std::string id;
    std::uint64_t born = 0; // In milliseconds since the Unix epoch; 0 if unknown.
    bool operator==(const endpoint_incarnation &) const = default;
};

[[nodiscard]] inline bool operator<(const endpoint_incarnation &left, const endpoint_incarnation &right)
{
    return std::tie(left.id, left.born) < std::tie(right.id, right.born);
}

// Identifies a request over all its attempts.
struct request_identity
{
    std::uint64_t content = 0; // Hash of method, host, path and body.
    std::uint64_t caller = 0; // Hash of what names its caller in all attempts; 0 if unknown.
    bool operator==(const request_identity &) const = default;
};

struct endpoint_request
{
    std::string address; // "ip:port"
    std::string endpoint; // Expected id; an endpoint with another id must not run the request.
    std::uint64_t endpointBorn = 0; // As in endpoint_incarnation.
    request_identity identity;
    std::string attempt;
    std::string method;
    std::string host;
    std::string target; // Path and query.
    header_list headers;
    rope body;
    std::chrono::milliseconds remaining{0}; // Time until the deadline, at which the endpoint stops.
    std::optional<int> priority; // 0 is the most urgent.
    std::string tenant; // Whose request it is; empty if there are no tenants.
    bool operator==(const endpoint_request &) const = default;
};

// The status with which an endpoint answers a request that expects another endpoint.
inline constexpr std::uint16_t misdirectedRequest = 421;

// Status and headers of an endpoint's response.
struct endpoint_head
{
    std::uint16_t status = 0;
    bool hasEndpointSignature = false; // Carries the signature header of an endpoint.
    bool notExecuted = false; // The endpoint states that it did not run the request.
    bool leaving = false; // The endpoint states that it is leaving and takes no new requests.
    std::optional<double> rateLimit; // Requests per second that the endpoint takes from all daemons together.
    header_list headers; // Forwarded to the caller.
    std::optional<std::uint64_t> contentLength;
    // The body has neither a length nor chunks. The end of its connection ends it, which does not prove it complete.
    bool endsWithConnection = false;
    bool operator==(const endpoint_head &) const = default;
};

enum class dispatch_outcome : std::uint8_t {
    Complete,
    NotSent, // No byte of the request was sent.
    Lost, // The connection was lost; the request may have run.
    TimedOut,
};

[[nodiscard]] std::string_view nameOf(dispatch_outcome value);

} // namespace jackdawpick::endpoint_calls
