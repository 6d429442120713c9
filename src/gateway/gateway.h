#pragma once

// The decisions of one daemon on the users' platform: one reducer over all events, with effects as data. It does no I/O
// and reads no clock.
//
//   gateway::gateway core(options);
//   for (auto &effect : core.handle(gateway::request_arrived{id, request}, clock.now())) { ... }
//   wakeAt(core.nextDeadline());   // then handle(tick{}, now)
//
// Thread compatible.

#include "clock/clock.h"
#include "gateway/events.h"
#include "routing/routing.h"

#include <functional>
#include <memory>

namespace jackdawpick::gateway
{

// Where things lie in the durable log and how they are read.
struct log_layout
{
    store::partition configuration; // Keyed; written by the operators.
    std::string configurationKey;
    store::partition endpoints; // Keyed by endpoint id; written by the endpoints.
    store::partition daemons; // Keyed by name; written by the daemons.
    std::uint32_t partsPerTopic = 12;
    std::uint32_t programTopics = 1;
    std::uint32_t turnTopics = 80;
    // Nothing if the bytes are not a valid configuration or entry.
    std::function<std::optional<routing::configuration>(std::string_view)> decodeConfiguration;
    std::function<std::optional<fleet::endpoint_entry>(std::string_view id, std::string_view)> decodeEndpoint;
};

struct gateway_options
{
    peers::hello self;
    log_layout layout;
    std::chrono::milliseconds shutdownTimeout{7000}; // The process ends at the latest after this.
    std::size_t turnCacheBytes = 4U << 20U;
    std::chrono::milliseconds turnLocationRetention{300000};
    std::chrono::milliseconds turnLogRetention{90000}; // Longer than any route keeps its turns; older ones are deleted.
    std::uint64_t seed = 1;
};

// Figures for the gauges of a daemon.
struct gateway_status
{
    std::size_t openRequests = 0;
    std::size_t peersAlive = 0;
    std::size_t endpointsKnown = 0;
    bool storeReachable = false;
    std::uint64_t configuration = 0; // Version in force; 0: none.
};

class gateway
{
public:
    explicit gateway(gateway_options options);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    [[nodiscard]] std::vector<effect> handle(event what, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // Takes requests of callers.
    [[nodiscard]] bool ready() const;
    // Addresses for callers: this daemon and the others that take requests.
    [[nodiscard]] std::vector<std::string> directory(time_point now) const;
    [[nodiscard]] gateway_status status(time_point now) const;
    // The state as JSON text for operators.
    [[nodiscard]] std::string dump(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick::gateway
