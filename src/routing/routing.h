#pragma once

// The operators' routes and services as the gateway uses them, and the choice of a route for a request.
//
//   routing::route_table table(configuration);
//   if (const auto *route = table.find("shop.example", "/orders/17")) { ... route->services ... }
//
// Value types; thread compatible.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::routing
{

// Whether a request may run more than once.
enum class request_kind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Stream, // Runs once, and its answer is a stream of events.
};

[[nodiscard]] std::string_view nameOf(request_kind value);

// One of the services among which the requests of a route are divided.
struct service_share
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    request_kind kind = request_kind::NonIdempotent;
    std::chrono::milliseconds timeout{0}; // Longest time until the final answer; 0: none.
    std::chrono::milliseconds latencyTarget{0}; // Until the first byte of the body; 0: none.
    int rank = 5; // 0 is the most urgent.
    std::vector<service_share> services;
    std::uint32_t maxAttempts = 1; // Endpoints on which one request may run.
    bool retainsTurns = false; // Requests name the turn they continue, and their input and output are kept.
    std::chrono::milliseconds retention{0};
    bool sticky = false;
    bool resumable = false; // A broken stream may be continued with another request.
};

// What is known of the model engines of a service.
struct engine_profile
{
    std::uint32_t slots = 0;
    std::uint32_t tokensPerEvent = 1;
    std::uint64_t cacheTokens = 0;
};

struct service
{
    std::string name;
    std::uint32_t maxConnections = 0; // To one endpoint, from all daemons together; 0: no limit.
    std::optional<engine_profile> engine; // Nothing for plain services.
};

struct caller_limits
{
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds idleTimeout{15000};
};

struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
};

class route_table
{
public:
    route_table() = default;
    explicit route_table(configuration source);

    // Among the routes of `host` the one with the longest prefix of `path`; null if there is none. The pointer is valid
    // as long as the table.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service *findService(std::string_view name) const;
    [[nodiscard]] const configuration &source() const;

private:
    configuration m_source; // Routes sorted by host, then longest prefix first.
};

// The service that takes a request whose position in [0, 1) is `position`, by the weights of the route; empty if the
// route has none.
[[nodiscard]] std::string_view chooseService(const route &from, double position);

} // namespace jackdawpick::routing
