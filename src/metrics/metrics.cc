#include "metrics/metrics.h"

#include "metrics/internal/quantile_window.h"
#include "results/results.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace jackdawpick
{

namespace
{

using enum metric_kind;
using row = metric_description;

constexpr std::array metricTable{
    row{metric::Calls, "jackdawpick_calls_total", Counter, "calls", "rank,pool,code", "Calls that got a final answer."},
    row{metric::CallSeconds, "jackdawpick_call_seconds", Quantiles, "s", "rank",
        "Time from a call's arrival to its final answer."},
    row{metric::ProgramSeconds, "jackdawpick_program_seconds", Quantiles, "s", "rank",
        "Time from a program's first call to its last answer; programs that their caller closed."},
    row{metric::FirstTokenSeconds, "jackdawpick_first_token_seconds", Quantiles, "s", "rank",
        "Time from a model call's arrival to its first token."},
    row{metric::InterTokenSeconds, "jackdawpick_inter_token_seconds", Quantiles, "s", "rank",
        "Mean time between the tokens of one model call."},
    row{metric::Tokens, "jackdawpick_tokens_total", Counter, "tokens", "kind",
        "Tokens of finished calls; kind is prompt, cached or completion."},
    row{metric::WastedTokens, "jackdawpick_wasted_tokens_total", Counter, "tokens", "",
        "Prompt tokens computed again although an engine was believed to hold them."},
    row{metric::WaitingCalls, "jackdawpick_waiting_calls", Gauge, "calls", "", "Calls that wait for an endpoint."},
    row{metric::Refusals, "jackdawpick_refusals_total", Counter, "calls", "code",
        "Refused calls; codes as in docs/result-codes.md."},
    row{metric::Retries, "jackdawpick_retries_total", Counter, "attempts", "",
        "Further attempts of calls on another endpoint."},
    row{metric::LateAnswers, "jackdawpick_late_answers_total", Counter, "answers", "",
        "Answers dropped, since their dispatch was over or their id did not match."},
    row{metric::ForwardedCalls, "jackdawpick_forwarded_calls_total", Counter, "calls", "",
        "Calls passed on to the daemon that owns the program."},
    row{metric::Programs, "jackdawpick_programs_total", Counter, "programs", "event",
        "Programs; event is opened or closed."},
    row{metric::LogExpectedCommitSeconds, "jackdawpick_log_expected_commit_seconds", Gauge, "s", "stream",
        "Expected time until a record submitted now is confirmed."},
    row{metric::LogHealthy, "jackdawpick_log_healthy", Gauge, "0 or 1", "stream",
        "1 while appends and reads of the stream succeed."},
    row{metric::ControlBytes, "jackdawpick_control_bytes_total", Counter, "bytes", "direction",
        "Bytes of the links between daemons; direction is in or out."},
    row{metric::ConfigurationVersion, "jackdawpick_configuration_version", Gauge, "offset", "",
        "Version of the configuration in force; 0 before the first."},
    row{metric::ConfigurationAge, "jackdawpick_configuration_age_seconds", Gauge, "s", "",
        "How long ago the configuration in force was known to be the newest; -1 before the first read."},
    row{metric::Violations, "jackdawpick_violations", Gauge, "violations", "",
        "Invariants that do not hold; any value but 0 is a fault of jackdawpick."},
    row{metric::OpenRequests, "jackdawpick_open_requests", Gauge, "requests", "", "Requests without their end."},
    row{metric::StoreReachable, "jackdawpick_store_reachable", Gauge, "0 or 1", "",
        "1 while this daemon reaches the store itself."},
    row{metric::StoreFull, "jackdawpick_store_full", Gauge, "0 or 1", "",
        "1 while the store refuses this daemon's appends for lack of room."},
    row{metric::StoreCalls, "jackdawpick_store_calls_total", Counter, "calls", "call,outcome",
        "Calls of this daemon to the store; outcome is served or the kind of failure."},
    row{metric::StoreAppendedBytes, "jackdawpick_store_appended_bytes_total", Counter, "bytes", "records",
        "Bytes that the store acknowledged; records is turns, budgets or other."},
    row{metric::StoreReadBytes, "jackdawpick_store_read_bytes_total", Counter, "bytes", "records",
        "Bytes of records read from the store; records is turns, budgets or other."},
    row{metric::BudgetUnwrittenRecords, "jackdawpick_budget_unwritten_records", Gauge, "records", "kind",
        "Records of budgets not known to be in the store; kind is reservation or settlement."},
    row{metric::BudgetUnwrittenSeconds, "jackdawpick_budget_unwritten_seconds", Gauge, "s", "",
        "How long the oldest of these records has waited."},
    row{metric::PeersAlive, "jackdawpick_peers_alive", Gauge, "daemons", "", "Other daemons heard of lately."},
    row{metric::EndpointsKnown, "jackdawpick_endpoints_known", Gauge, "endpoints", "",
        "Endpoints in the list, those included that are leaving."},
    row{metric::EndpointsLimited, "jackdawpick_endpoints_limited", Gauge, "endpoints", "",
        "Endpoints that state a rate limit in their responses."},
    row{metric::RequestsBlocked, "jackdawpick_requests_blocked", Gauge, "requests", "",
        "Requests that are refused because they crash the endpoints that run them."},
    row{metric::EndpointsReachable, "jackdawpick_endpoints_reachable", Gauge, "0 or 1", "",
        "1 while this daemon can connect to endpoints; else peers relay its requests."},
    row{metric::EngineUtilisation, "jackdawpick_engine_utilisation", Gauge, "fraction", "service,by",
        "Requests in flight per slot (by slots), or share of the memory that may be filled (by memory)."},
    row{metric::DroppedLogLines, "jackdawpick_dropped_log_lines_total", Counter, "lines", "",
        "Log lines that standard output did not take in time."},
    row{metric::HeldBytes, "jackdawpick_held_bytes", Gauge, "bytes", "kind",
        "Bytes held for connections; kind is input, head, body, response, control or text."},
    row{metric::StateEntries, "jackdawpick_state_entries", Gauge, "entries", "part",
        "Entries that a part of the state holds, as in the state dump."},
    row{metric::StateBytes, "jackdawpick_state_bytes", Gauge, "bytes", "part",
        "Bytes that a part of the state holds, for parts that are bounded in bytes."},
    row{metric::ClientConnections, "jackdawpick_client_connections", Gauge, "connections", "",
        "Open connections of clients at all HTTP ports."},
    row{metric::ClientsTurnedAway, "jackdawpick_clients_turned_away_total", Counter, "clients", "reason",
        "Clients that the HTTP layer refused or closed; reasons as in the log line client_turned_away."},
    row{metric::EndpointFailures, "jackdawpick_endpoint_failures_total", Counter, "attempts", "service,how",
        "Attempts that an endpoint rejected or did not answer; how is rejected, not_sent, lost or timed_out."},
    row{metric::EndpointPermitsDenied, "jackdawpick_endpoint_permits_denied_total", Counter, "permits", "service",
        "Permits to send to an endpoint with a rate limit that this daemon asked for and did not get."},
    row{metric::QuotaGroupsHeld, "jackdawpick_quota_groups_held", Gauge, "groups", "",
        "Groups of tenants whose permits this daemon issues."},
    row{metric::QuotaRequests, "jackdawpick_quota_requests_total", Counter, "requests", "outcome",
        "Requests of tenants with a limit; outcome is granted, stock, denied, without_permit or undecided."},
    row{metric::RelayedRequests, "jackdawpick_relayed_requests_total", Counter, "requests", "outcome",
        "Requests that this daemon sent to endpoints for peers; outcome is as of an attempt, or refused."},
    row{metric::EnginePrefillSpeed, "jackdawpick_engine_prefill_tokens_per_second", Gauge, "tokens/s", "service",
        "Prompt tokens that a typical engine of the service reads in a second, as measured."},
    row{metric::EngineTokenSeconds, "jackdawpick_engine_token_seconds", Gauge, "s", "service",
        "Typical time for each generated token of a request that is alone at its engine."},
    row{metric::EngineBatchDelay, "jackdawpick_engine_batch_delay_seconds", Gauge, "s", "service",
        "Typical delay of each generated token by each other request in the batch."},
    row{metric::EndpointsSlow, "jackdawpick_endpoints_slow", Gauge, "endpoints", "service",
        "Endpoints with a low lasting speed or in a slow period, as this daemon measures."},
    row{metric::Requests, "jackdawpick_requests_total", Counter, "requests", "route,outcome",
        "Requests on the platform that have ended; outcomes as in the log line request_finished."},
    row{metric::StoreCallSeconds, "jackdawpick_store_call_seconds", Quantiles, "s", "call",
        "Time until a call to the store was served; call is append, read, newest or put. Reads may wait."},
    row{metric::RequestSeconds, "jackdawpick_request_seconds", Quantiles, "s", "route",
        "Time from a request's arrival to the end of its answer; answered requests."},
    row{metric::FirstByteSeconds, "jackdawpick_first_byte_seconds", Quantiles, "s", "route",
        "Time from a request's arrival to the first byte of an endpoint's body."},
};

struct series
{
    double value = 0; // Counters and gauges.
    double sum = 0; // Quantiles, since the start.
    std::uint64_t count = 0;
    time_point windowStart;
    quantile_window current{};
    quantile_window previous{};
};

using label_set = std::vector<std::string>;
using family = std::map<label_set, std::unique_ptr<series>>;

label_set labelNames(const metric_description &description)
{
    label_set names;
    std::string_view rest = description.labels;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        names.emplace_back(rest.substr(0, comma));
        rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
    return names;
}

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

// `{name="value",...}` with `extra` as the last pair; empty without labels.
std::string labelText(const label_set &names, const label_set &values, const std::string &extra = {})
{
    label_set pairs;
    for (std::size_t i = 0; i < names.size(); ++i) {
        pairs.push_back(fmt::format("{}=\"{}\"", names[i], escaped(values[i])));
    }
    if (!extra.empty()) {
        pairs.push_back(extra);
    }
    return pairs.empty() ? std::string() : fmt::format("{{{}}}", fmt::join(pairs, ","));
}

std::string numberText(double value)
{
    return std::isnan(value) ? "NaN" : fmt::format("{}", value);
}

void rotate(series &entry, time_point now)
{
    if (now - entry.windowStart < quantileWindow) {
        return;
    }
    const bool gap = now - entry.windowStart >= 2 * quantileWindow;
    entry.previous = gap ? quantile_window() : std::move(entry.current);
    entry.current = quantile_window();
    entry.windowStart = gap ? now : entry.windowStart + quantileWindow;
}

} // namespace

struct metrics_registry::implementation
{
    std::array<family, metricTable.size()> families;

    series &find(metric id, label_values labels, std::initializer_list<metric_kind> kinds)
    {
        const auto index = static_cast<std::size_t>(id);
        const auto &description = metricTable.at(index);
        label_set values(labels.begin(), labels.end());
        const auto expected = labelNames(description).size();
        if (values.size() != expected || std::ranges::find(kinds, description.kind) == kinds.end()) {
            throw error(result_code::InternalError,
                        fmt::format("{} is a {} with {} labels", description.name, nameOf(description.kind), expected));
        }
        family &known = families.at(index);
        auto found = known.find(values);
        if (found == known.end()) {
            if (known.size() >= maxLabelSets) {
                std::ranges::fill(values, "other");
            }
            found = known.try_emplace(std::move(values), nullptr).first;
        }
        if (!found->second) {
            found->second = std::make_unique<series>();
        }
        return *found->second;
    }
};

std::string_view nameOf(metric_kind kind)
{
    constexpr std::array<std::string_view, 3> names{"counter", "gauge", "summary"};
    return names.at(static_cast<std::size_t>(kind));
}

std::span<const metric_description> allMetrics()
{
    return metricTable;
}

metrics_registry::metrics_registry()
    : m_impl(std::make_unique<implementation>())
{
}

metrics_registry::~metrics_registry() = default;
metrics_registry::metrics_registry(metrics_registry &&) noexcept = default;
metrics_registry &metrics_registry::operator=(metrics_registry &&) noexcept = default;

void metrics_registry::add(metric id, label_values labels, std::uint64_t count)
{
    m_impl->find(id, labels, {Counter}).value += static_cast<double>(count);
}

void metrics_registry::set(metric id, label_values labels, double value)
{
    m_impl->find(id, labels, {Counter, Gauge}).value = value;
}

void metrics_registry::observe(metric id, label_values labels, double value, time_point now)
{
    series &entry = m_impl->find(id, labels, {Quantiles});
    if (!std::isfinite(value)) {
        return;
    }
    if (entry.count == 0) {
        entry.windowStart = now;
    }
    rotate(entry, now);
    entry.current.add(value);
    entry.sum += value;
    ++entry.count;
}

std::string metrics_registry::exposition(time_point now)
{
    std::string text;
    for (const auto &description : metricTable) {
        family &known = m_impl->families.at(static_cast<std::size_t>(description.id));
        if (known.empty()) {
            continue;
        }
        const label_set names = labelNames(description);
        text += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", description.name, description.meaning,
                            nameOf(description.kind));
        for (auto &[values, entry] : known) {
            if (description.kind != Quantiles) {
                text += fmt::format("{}{} {}\n", description.name, labelText(names, values), numberText(entry->value));
                continue;
            }
            rotate(*entry, now);
            const auto &window = entry->previous.empty() ? entry->current : entry->previous;
            const auto quantiles = window.quantiles();
            for (std::size_t i = 0; i < quantiles.size(); ++i) {
                const auto extra = fmt::format("quantile=\"{}\"", quantileProbabilities.at(i));
                text += fmt::format("{}{} {}\n", description.name, labelText(names, values, extra),
                                    numberText(quantiles.at(i)));
            }
            text += fmt::format("{0}_sum{1} {2}\n{0}_count{1} {3}\n", description.name, labelText(names, values),
                                numberText(entry->sum), entry->count);
        }
    }
    return text;
}

} // namespace jackdawpick
