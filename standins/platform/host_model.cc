#include "platform/host_model.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::standins
{

host_model::host_model(const host_options &options)
    : m_options(options)
    , m_faults({{"outage", 0.0}, {"hang", 0.0}, {"lag_ms", 0.0}})
{
}

void host_model::change(host_map hosts, time_point now)
{
    m_current = std::move(hosts);
    m_versions.emplace_back(now, m_current);
}

void host_model::replace(const std::vector<host_entry> &hosts, time_point now)
{
    host_map next;
    for (const auto &host : hosts) {
        next.insert_or_assign(host.name, host);
    }
    change(std::move(next), now);
}

void host_model::put(const host_entry &host, time_point now)
{
    auto next = m_current;
    next.insert_or_assign(host.name, host);
    change(std::move(next), now);
}

void host_model::remove(const std::string &name, time_point now)
{
    auto next = m_current;
    next.erase(name);
    change(std::move(next), now);
}

bool host_model::setLeaving(const std::string &name, bool leaving, time_point now)
{
    auto next = m_current;
    const auto found = next.find(name);
    if (found == next.end()) {
        return false;
    }
    found->second.leaving = leaving;
    change(std::move(next), now);
    return true;
}

std::vector<host_entry> host_model::visible(time_point now)
{
    const std::chrono::milliseconds changed(static_cast<std::int64_t>(m_faults.number("lag_ms")));
    const auto lag = changed.count() > 0 ? changed : m_options.lag;
    while (m_versions.size() > 1 && now - m_versions[1].first >= lag) {
        m_versions.pop_front();
    }
    if (m_versions.empty() || now - m_versions.front().first < lag) {
        return {};
    }
    std::vector<host_entry> hosts;
    std::ranges::transform(m_versions.front().second, std::back_inserter(hosts), &host_map::value_type::second);
    return hosts;
}

fault_table &host_model::faults()
{
    return m_faults;
}

} // namespace jackdawpick::standins
