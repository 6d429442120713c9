#pragma once

// Counters, gauges and quantiles of one daemon, and their text exposition for GET /metrics. The table of metrics is the
// only place where they are described; docs/OPERATIONS.md is checked against it.
//
//   metrics_registry registry;
//   registry.add(metric::Calls, {"tide", "tide-engines", "Ok"});
//   registry.observe(metric::FirstTokenSeconds, {"tide"}, 0.42, clock.now());
//   reply(registry.exposition(clock.now()));
//
// Memory is bounded: each metric keeps at most maxLabelSets label sets and each quantile series a fixed number of
// samples and markers. Thread compatible.

#include "clock/clock.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

// In the order of the table. Metrics with a label set per route come last: collectors may keep only the beginning of
// the text.
enum class metric : std::uint8_t {
    Calls,
    CallSeconds,
    ProgramSeconds,
    FirstTokenSeconds,
    InterTokenSeconds,
    Tokens,
    WastedTokens,
    WaitingCalls,
    Refusals,
    Retries,
    LateAnswers,
    ForwardedCalls,
    Programs,
    LogExpectedCommitSeconds,
    LogHealthy,
    ControlBytes,
    ConfigurationVersion,
    ConfigurationAge,
    Violations,
    OpenRequests,
    StoreReachable,
    StoreFull,
    StoreCalls,
    StoreAppendedBytes,
    StoreReadBytes,
    BudgetUnwrittenRecords,
    BudgetUnwrittenSeconds,
    PeersAlive,
    EndpointsKnown,
    EndpointsLimited,
    RequestsBlocked,
    EndpointsReachable,
    EngineUtilisation,
    DroppedLogLines,
    HeldBytes,
    StateEntries,
    StateBytes,
    ClientConnections,
    ClientsTurnedAway,
    EndpointFailures,
    EndpointPermitsDenied,
    QuotaGroupsHeld,
    QuotaRequests,
    RelayedRequests,
    EnginePrefillSpeed,
    EngineTokenSeconds,
    EngineBatchDelay,
    EndpointsSlow,
    Requests,
    StoreCallSeconds,
    RequestSeconds,
    FirstByteSeconds,
};

enum class metric_kind : std::uint8_t {
    Counter,
    Gauge,
    Quantiles,
};

[[nodiscard]] std::string_view nameOf(metric_kind kind); // As in the exposition: "counter", "gauge", "summary".

struct metric_description
{
    metric id;
    std::string_view name;
    metric_kind kind;
    std::string_view unit;
    std::string_view labels; // Names of the labels, separated by commas; empty if none.
    std::string_view meaning;
};

[[nodiscard]] std::span<const metric_description> allMetrics();

// Further label sets of a metric are counted under the label values "other".
inline constexpr std::size_t maxLabelSets = 256;

// Quantiles are those of the last complete window, or of the current one before the first is complete. Counts and sums
// run since the start.
inline constexpr std::chrono::seconds quantileWindow{60};

class metrics_registry
{
public:
    using label_values = std::initializer_list<std::string_view>;

    metrics_registry();
    ~metrics_registry();
    metrics_registry(metrics_registry &&) noexcept;
    metrics_registry &operator=(metrics_registry &&) noexcept;

    // Each takes one value per label of the metric and throws error(InternalError) for another number of labels or
    // another kind of metric.
    void add(metric id, label_values labels, std::uint64_t count = 1);
    // For gauges, and for counters that are kept elsewhere.
    void set(metric id, label_values labels, double value);
    // `value` in the unit of the metric; values that are not finite are dropped.
    void observe(metric id, label_values labels, double value, time_point now);

    // Prometheus text format; metrics in the order of the table, label sets sorted.
    [[nodiscard]] std::string exposition(time_point now);

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jackdawpick
