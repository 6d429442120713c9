#pragma once

// Routes and services from the operators' configuration, and the lookup of the route for a request.
//
//   routing::route_table table(configuration);
//   if (const auto *route = table.find("shop.example", "/orders/17")) { ... route->services ... }
//
// Value types; thread compatible.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::routing
{

// How the requests of a route may be executed.
enum class request_kind : std::uint8_t {
    Idempotent, // May run more than once.
    NonIdempotent,
    Stream, // Must run only once; the response is a stream of events.
};

[[nodiscard]] std::string_view nameOf(request_kind value);

// A service that receives a share of a route's requests, in proportion to its weight.
struct weighted_service
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
    std::chrono::milliseconds timeout{0}; // Until the response is complete; 0: none.
    std::chrono::milliseconds latencyTarget{0}; // Until the first byte of the body; 0: none.
    int rank = 5; // 0 is the most urgent.
    std::vector<weighted_service> services;
    std::uint32_t maxAttempts = 1; // Maximum number of endpoints on which one request may run.
    bool retainsTurns = false; // Requests name the turn they continue; their input and output are retained.
    std::chrono::milliseconds retention{0};
    bool sticky = false;
    bool resumable = false; // An interrupted stream may be continued by another request.
    bool isPublic = false; // Requests need no key, also where there are tenants.
};

// Properties of the model engines of a service.
struct engine_profile
{
    std::uint32_t slots = 0;
    std::uint32_t tokensPerEvent = 1;
    std::uint64_t cacheTokens = 0;
};

struct service
{
    std::string name;
    std::uint32_t maxConnections = 0; // Per endpoint, from all daemons together; 0: no limit.
    std::optional<engine_profile> engine; // Empty for plain services.
};

struct caller_limits
{
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds idleTimeout{15000};
};

// An organisation whose callers identify themselves by one of its keys.
struct tenant
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> rank; // Takes precedence over the rank of the route.
    double ratePerSecond = 0; // Requests that it may make through all daemons together; 0: no limit.
    double burst = 0; // Requests beyond the rate that it may make at once.
    bool operator==(const tenant &) const = default;
};

struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    // Unset: requests carry no keys. An empty list asks for keys, and no key is one of a tenant.
    std::optional<std::vector<tenant>> tenants;
};

class route_table
{
public:
    route_table() = default;
    explicit route_table(configuration source);

    // Returns the route of `host` with the longest matching prefix of `path`, or null. The pointer is valid for the
    // lifetime of the table.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service *findService(std::string_view name) const;
    // Returns the tenant that holds the key, or null. The pointer is valid for the lifetime of the table.
    [[nodiscard]] const tenant *findTenant(std::string_view key) const;
    [[nodiscard]] const std::vector<tenant> &tenants() const; // Empty if requests carry no keys.
    [[nodiscard]] bool asksForKeys() const;
    [[nodiscard]] const configuration &source() const;

private:
    configuration m_source; // Routes are sorted by host, then by descending prefix length.
    std::map<std::string, std::size_t, std::less<>> m_tenantsByKey; // Indices in tenants().
};

// Selects a service in proportion to the weights of the route. `position` in [0, 1), such as a hash of the request,
// determines the choice. Returns an empty name if the route has no services.
[[nodiscard]] std::string_view chooseService(const route &from, double position);

} // namespace jackdawpick::routing
