#pragma once

// Metrics of the daemon: observations that the reducer reports as effects, and its counters.

#include "core/core.h"
#include "metrics/metrics.h"
#include "net/net.h"

namespace jackdawpick
{

class daemon_metrics
{
public:
    void apply(const observe_call &observed, time_point now);
    void apply(const observe_program &observed, time_point now);
    // The response body of GET /metrics.
    [[nodiscard]] std::string exposition(const core &state, const net::loop_counters &networkCounters, time_point now);

private:
    metrics_registry m_registry;
};

} // namespace jackdawpick
