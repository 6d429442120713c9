// What the daemons know together of requests that crash endpoints: reports on the links, and records in the store.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::gateway
{

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
