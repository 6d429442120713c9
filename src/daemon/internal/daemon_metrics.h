#pragma once

// Metrics of the daemon: what the reducer reports and what it counts.

#include "core/core.h"
#include "metrics/metrics.h"
#include "net/net.h"

namespace jackdawpick
{

class daemon_metrics
{
public:
    void apply(const observe_call &what, time_point now);
    void apply(const observe_program &what, time_point now);
    // The text for GET /metrics.
    [[nodiscard]] std::string exposition(const core &state, const net::loop_counters &traffic, time_point now);

private:
    metrics_registry m_registry;
};

} // namespace jackdawpick
