// What the daemons know together of requests that crash endpoints: reports on the links, and records in the store.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::gateway
{

// The endpoint may or may not be alive; if it turns out to have ended, the request counts as the cause.
void gateway::implementation::noteOutcomeUnknown(const request_context &context, time_point now)
{
    m_crashes.onOutcomeUnknown(context.contentHash, {context.endpoint, context.endpointBorn}, now);
}

void gateway::implementation::noteRunFailure(const request_context &context, dispatch_outcome outcome,
                                             failure_site where, time_point now)
{
    const bool hasPath = context.relay.has_value() || !m_paths.isCutOff();
    if (outcome == dispatch_outcome::NotSent) {
        if (where == failure_site::Endpoint && !context.relay.has_value() && hasPath) {
            noteEndpointGone(context.endpoint, now);
        }
    } else if (where == failure_site::Path || outcome == dispatch_outcome::TimedOut || !hasPath) {
        noteOutcomeUnknown(context, now);
    } else if (where == failure_site::Endpoint
               && m_crashes.onEndpointFailed(context.contentHash, {context.endpoint, context.endpointBorn}, now)) {
        logRequest(log_level::Warning, "endpoint_broke", context,
                   {{"endpoint", context.endpoint}, {"content", context.contentHash}}, now);
    }
}

void gateway::implementation::noteEndpointGone(const std::string &endpoint, time_point now)
{
    for (const auto content : m_crashes.onEndpointGone(endpoint, now)) {
        log(log_level::Warning, "endpoint_broke", {{"endpoint", endpoint}, {"content", content}, {"gone", true}});
    }
}

// Endpoints that a complete listing does not name have ended too.
void gateway::implementation::noteUnlistedEndpoints(const std::set<std::string> &listed, time_point now)
{
    for (const auto &endpoint : m_crashes.suspectedEndpoints()) {
        if (!listed.contains(endpoint)) {
            noteEndpointGone(endpoint, now);
        }
    }
}

void gateway::implementation::sendKnownCrashes(link_id link, time_point now)
{
    if (auto reports = m_crashes.allReports(now); !reports.empty()) {
        m_effects.emplace_back(send_message{link, peers::run_reports{std::move(reports)}});
    }
}

void gateway::implementation::on(link_id link, const peers::run_reports &message, time_point now)
{
    applyRunReports(message.reports, m_peers.nameOf(link), now);
}

void gateway::implementation::applyRunReports(const std::vector<crashes::run_report> &reports,
                                              const std::string &source, time_point now)
{
    std::ranges::for_each(reports, [&](const auto &report) { m_crashes.onReport(report, now); });
    logBlockChanges(source);
}

void gateway::implementation::logBlockChanges(std::string_view source)
{
    for (const auto &change : m_crashes.takeChanges()) {
        log(log_level::Warning, change.blocked ? "request_blocked" : "request_released",
            {{"content", change.request}, {"failures", change.failures}, {"source", source}});
    }
}

void gateway::implementation::tickCrashes(time_point /*now*/)
{
    logBlockChanges("response");
    if (auto reports = m_crashes.takeReports(); !reports.empty()) {
        m_peers.broadcast(peers::run_reports{std::move(reports)}, m_effects);
    }
}

} // namespace jackdawpick::gateway
