// Rate limits that endpoints state.

#include "gateway/internal/implementation.h"

namespace jackdawpick::gateway
{

namespace
{

// Value of a limit in log lines; an ended limit has none.
log_field rateField(std::optional<double> rate)
{
    return rate.has_value() ? log_field{"rate", *rate} : log_field{"rate", "none"};
}

} // namespace

void gateway::implementation::recordLimit(const request_context &context, const response_head &head, time_point now)
{
    const bool changed = head.rateLimit.has_value() ? m_limits.onStated(context.endpoint, *head.rateLimit, now)
                                                    : m_limits.onNotStated(context.endpoint, context.dispatchedAt, now);
    if (changed) {
        logRequest(log_level::Info, "endpoint_limit_changed", context,
                   {{"endpoint", context.endpoint}, rateField(head.rateLimit), {"source", "response"}}, now);
    }
}

void gateway::implementation::applyLimitReports(const std::string &peer,
                                                const std::vector<limits::limit_report> &reports, time_point now)
{
    for (const auto &report : reports) {
        if (m_limits.onReport(report, now)) {
            log(log_level::Info, "endpoint_limit_changed",
                {{"endpoint", report.endpoint},
                 rateField(report.rate),
                 {"source", peer},
                 {"statement_age_ms", report.age.count()}});
        }
    }
}

void gateway::implementation::evictExpiredLimits(time_point now)
{
    for (const auto &endpoint : m_limits.evictExpired(now)) {
        log(log_level::Info, "endpoint_limit_changed",
            {{"endpoint", endpoint}, rateField(std::nullopt), {"source", "expiry"}});
    }
}

} // namespace jackdawpick::gateway
