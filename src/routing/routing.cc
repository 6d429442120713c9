#include "routing/routing.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <tuple>

namespace jackdawpick::routing
{

namespace
{

constexpr std::array<std::string_view, 3> requestKindNames{"idempotent", "non_idempotent", "stream"};

} // namespace

std::string_view nameOf(request_kind value)
{
    return requestKindNames.at(static_cast<std::size_t>(value));
}

route_table::route_table(configuration source)
    : m_source(std::move(source))
{
    std::ranges::sort(m_source.routes, [](const route &a, const route &b) {
        return std::tuple(std::string_view(a.host), b.pathPrefix.size())
            < std::tuple(std::string_view(b.host), a.pathPrefix.size());
    });
    for (std::size_t i = 0; i < tenants().size(); ++i) {
        for (const auto &key : tenants()[i].keys) {
            m_tenantsByKey.emplace(key, i);
        }
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = std::ranges::find_if(m_source.routes, [host, path](const route &entry) {
        return entry.host == host && path.starts_with(entry.pathPrefix);
    });
    return found == m_source.routes.end() ? nullptr : &*found;
}

const service *route_table::findService(std::string_view name) const
{
    const auto found = std::ranges::find(m_source.services, name, &service::name);
    return found == m_source.services.end() ? nullptr : &*found;
}

const tenant *route_table::findTenant(std::string_view key) const
{
    const auto found = m_tenantsByKey.find(key);
    return found == m_tenantsByKey.end() ? nullptr : &tenants()[found->second];
}

const std::vector<tenant> &route_table::tenants() const
{
    static const std::vector<tenant> none;
    return m_source.tenants.has_value() ? *m_source.tenants : none;
}

bool route_table::asksForKeys() const
{
    return m_source.tenants.has_value();
}

const configuration &route_table::source() const
{
    return m_source;
}

std::string_view chooseService(const route &from, double position)
{
    const double total = std::accumulate(from.services.begin(), from.services.end(), 0.0,
                                         [](double sum, const weighted_service &entry) { return sum + entry.weight; });
    double cumulative = 0;
    for (const auto &entry : from.services) {
        cumulative += entry.weight;
        if (position * total < cumulative) {
            return entry.service;
        }
    }
    return from.services.empty() ? std::string_view() : std::string_view(from.services.back().service);
}

} // namespace jackdawpick::routing
