#include "scheduler/scheduler_options.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

template<typename table_type> auto fromName(const table_type &table, std::string_view name)
{
    using policy = typename table_type::value_type::second_type;
    const auto found = std::ranges::find(table, name, &table_type::value_type::first);
    return found == table.end() ? std::optional<policy>() : std::optional<policy>(found->second);
}

template<typename table_type, typename policy> std::string_view toName(const table_type &table, const policy &value)
{
    const auto same = [&value](const auto &row) {
        return row.second.index() == value.index();
    };
    return std::ranges::find_if(table, same)->first;
}

} // namespace

std::optional<order_policy> orderFromName(std::string_view name)
{
    return fromName(orderNames, name);
}

std::optional<routing_policy> routingFromName(std::string_view name)
{
    return fromName(routingNames, name);
}

std::optional<admission_policy> admissionFromName(std::string_view name)
{
    return fromName(admissionNames, name);
}

std::string_view nameOf(const order_policy &policy)
{
    return toName(orderNames, policy);
}

std::string_view nameOf(const routing_policy &policy)
{
    return toName(routingNames, policy);
}

std::string_view nameOf(const admission_policy &policy)
{
    return toName(admissionNames, policy);
}

} // namespace jackdawpick
