#include "limits/limits.h"

#include <algorithm>

namespace jackdawpick::limits
{

bool limit_table::apply(const std::string &endpoint, const statement &value)
{
    const auto [entry, isNew] = m_endpoints.try_emplace(endpoint, endpoint_statements{.own = {}, .latest = value});
    auto &latest = entry->second.latest;
    if (isNew) {
        return value.rate.has_value();
    }
    if (value.at < latest.at) {
        return false;
    }
    const bool changed = latest.rate != value.rate;
    latest = value;
    return changed;
}

bool limit_table::onStated(const std::string &endpoint, double rate, time_point now)
{
    const statement value{.rate = rate, .at = now};
    const bool changed = apply(endpoint, value);
    m_endpoints.at(endpoint).own = value;
    return changed;
}

bool limit_table::onNotStated(const std::string &endpoint, time_point dispatchedAt, time_point now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !found->second.latest.rate.has_value()
        || dispatchedAt < found->second.latest.at) {
        return false;
    }
    const statement value{.rate = std::nullopt, .at = now};
    found->second.own = value;
    found->second.latest = value;
    return true;
}

bool limit_table::onReport(const limit_report &report, time_point now)
{
    const bool isKnown = m_endpoints.contains(report.endpoint);
    if (report.age >= statementLifetime || (!isKnown && !report.rate.has_value())) {
        return false;
    }
    return apply(report.endpoint, {.rate = report.rate, .at = now - report.age});
}

bool limit_table::hasEnded(const std::string &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && !found->second.latest.rate.has_value();
}

std::optional<double> limit_table::rateOf(const std::string &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? std::nullopt : found->second.latest.rate;
}

std::vector<endpoint_limit> limit_table::inForce() const
{
    std::vector<endpoint_limit> result;
    for (const auto &[endpoint, statements] : m_endpoints) {
        if (statements.latest.rate.has_value()) {
            result.push_back({endpoint, *statements.latest.rate});
        }
    }
    return result;
}

std::vector<limit_report> limit_table::ownReports(time_point now) const
{
    std::vector<limit_report> result;
    for (const auto &[endpoint, statements] : m_endpoints) {
        if (statements.own.has_value()) {
            result.push_back({.endpoint = endpoint,
                              .rate = statements.own->rate,
                              .age = millisecondsBetween(statements.own->at, now)});
        }
    }
    return result;
}

std::vector<std::string> limit_table::evictExpired(time_point now)
{
    std::vector<std::string> ended;
    std::erase_if(m_endpoints, [&](const auto &entry) {
        const auto &latest = entry.second.latest;
        const bool expired = now - latest.at >= statementLifetime;
        if (expired && latest.rate.has_value()) {
            ended.push_back(entry.first);
        }
        return expired;
    });
    return ended;
}

} // namespace jackdawpick::limits
