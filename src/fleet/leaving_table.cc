#include "fleet/fleet.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::fleet
{

bool leaving_table::apply(const endpoint_incarnation &endpoint, bool own, time_point now)
{
    const auto [entry, isNew] = m_statements.try_emplace(endpoint);
    entry->second.heardAt = now;
    entry->second.own = entry->second.own || own;
    return isNew;
}

bool leaving_table::onStated(const endpoint_incarnation &endpoint, time_point now)
{
    return apply(endpoint, true, now);
}

bool leaving_table::onReport(const endpoint_incarnation &endpoint, time_point now)
{
    return apply(endpoint, false, now);
}

bool leaving_table::contains(const endpoint_incarnation &endpoint) const
{
    return m_statements.contains(endpoint);
}

std::vector<endpoint_incarnation> leaving_table::ownStatements() const
{
    std::vector<endpoint_incarnation> own;
    for (const auto &[endpoint, value] : m_statements) {
        if (value.own) {
            own.push_back(endpoint);
        }
    }
    return own;
}

void leaving_table::evictExpired(const std::function<bool(const endpoint_incarnation &)> &isListed, time_point now)
{
    std::erase_if(m_statements, [&](const auto &entry) {
        return now - entry.second.heardAt >= statementLifetime && !isListed(entry.first);
    });
}

} // namespace jackdawpick::fleet
