#pragma once

// The decision logic of one gateway daemon: a reducer that takes events and returns effects as data. It performs no I/O
// and does not read the clock.
//
//   gateway::gateway core(options);
//   for (auto &effect : core.handle(gateway::request_arrived{id, request}, clock.now())) { ... }
//   wakeAt(core.nextDeadline());   // then handle(tick{}, now)
//
// Thread-compatible.

#include "clock/clock.h"
#include "gateway/events.h"
#include "quotas/quotas.h"
#include "routing/routing.h"

#include <functional>
#include <memory>

namespace jackdawpick::gateway
{

// The partitions of the durable log and the decoders of their records.
struct log_layout
{
    store::partition configuration; // Keyed; written by the operators.
    std::string configurationKey;
    store::partition endpoints; // Keyed by endpoint id; written by the endpoints.
    store::partition daemons; // Keyed by name; written by the daemons.
    std::uint32_t partsPerTopic = 12;
    std::uint32_t programTopics = 1;
    std::uint32_t turnTopics = 80;
    // Both return nullopt if the bytes are not a valid configuration or entry.
    std::function<std::optional<routing::configuration>(std::string_view)> decodeConfiguration;
    std::function<std::optional<fleet::endpoint_entry>(std::string_view id, std::string_view)> decodeEndpoint;
};

struct gateway_options
{
    peers::hello self;
    log_layout layout;
    std::chrono::milliseconds shutdownTimeout{7000}; // The process stops then even if requests are still open.
    std::chrono::milliseconds endpointHeartbeat{1200}; // How often endpoints write their entries.
    // Without a value, keys count as long as the configuration in force holds them. With one, a request that arrives
    // this long after the configuration was last known to be the newest is refused if it needs a key.
    std::optional<std::chrono::milliseconds> keyLifetime;
    std::size_t turnCacheBytes = 4U << 20U; // Of the texts of turns.
    std::size_t turnChainBytes = 4U << 20U; // Of the locations of their records in the log, with ids.
    // Of the texts of requests, turns under way and cached turns. Beyond it, turns are refused.
    std::size_t maxTextBytes = 64U << 20U;
    std::chrono::milliseconds turnLocationRetention{300000}; // How long the locations of turns in the log are cached.
    std::uint64_t seed = 1;
    quotas::quota_rule quotaRule; // What holds for the limits of tenants.
};

// What the records of a partition are: "turns", "budgets" or "other".
[[nodiscard]] std::string_view recordKindOf(const store::partition &where);

// How much of the engines of one service is in use, as this daemon sees it.
struct service_utilisation
{
    std::string service;
    double bySlots = 0; // Requests in flight per slot.
    double byMemory = 0; // Expected tokens in progress, as a fraction of what may be filled.
    std::uint64_t memoryTokens = 0; // Memory of each engine.
    std::uint64_t sharedTokens = 0; // Of which shared first parts of prompts take so much.
};

// How much a part of the state holds.
struct held_state
{
    std::string_view name; // Such as "turn_chains".
    std::size_t entries = 0;
    std::optional<std::size_t> bytes; // If the part has a bound in bytes.
};

// Values of the gauges that a daemon exports.
struct gateway_status
{
    std::size_t openRequests = 0;
    std::size_t peersAlive = 0;
    std::size_t endpointsKnown = 0;
    std::size_t endpointsLimited = 0; // Endpoints that state a rate limit.
    std::size_t requestsBlocked = 0; // Because they crash endpoints.
    bool endpointsReachable = true; // From this daemon.
    bool storeReachable = false;
    bool storeFull = false; // The store refuses appends for lack of room.
    std::size_t unwrittenReservations = 0; // Records of budgets that are not known to be in the log.
    std::size_t unwrittenSettlements = 0;
    std::chrono::milliseconds oldestUnwritten{0}; // How long the oldest of them has waited.
    std::uint64_t configuration = 0; // Version in force; 0 if there is none.
    // How long ago it was known to be the newest; -1 s before the first read.
    std::chrono::milliseconds configurationAge{-1000};
    std::vector<fleet::service_speed_report> speeds;
    std::vector<service_utilisation> utilisations; // Of the services whose engines have a known memory.
    std::size_t quotaGroupsHeld = 0; // Groups of tenants whose permits this daemon issues.
    std::vector<held_state> held;
};

class gateway
{
public:
    explicit gateway(gateway_options options);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    [[nodiscard]] std::vector<effect> handle(event input, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // Whether this daemon accepts requests from callers.
    [[nodiscard]] bool ready() const;
    // The addresses to which a caller in this zone connects.
    [[nodiscard]] std::vector<std::string> directory(std::string_view callerZone, time_point now) const;
    // Names of all daemons that accept requests, this one included.
    [[nodiscard]] std::vector<std::string> readyDaemons(time_point now) const;
    [[nodiscard]] gateway_status status(time_point now) const;
    // Bytes of the texts that it holds or has set memory aside for, those in effects included.
    [[nodiscard]] std::size_t textBytes() const;
    // The state as JSON text, for operators.
    [[nodiscard]] std::string dump(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick::gateway
