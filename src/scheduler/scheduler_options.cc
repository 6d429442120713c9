#include "scheduler/scheduler_options.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

template<typename table_type> auto findPolicy(const table_type &table, std::string_view name)
{
    using policy = typename table_type::value_type::second_type;
    const auto found = std::ranges::find(table, name, &table_type::value_type::first);
    return found == table.end() ? std::optional<policy>() : std::optional<policy>(found->second);
}

template<typename table_type, typename policy> std::string_view policyName(const table_type &table, const policy &value)
{
    const auto sameAlternative = [&value](const auto &row) {
        return row.second.index() == value.index();
    };
    return std::ranges::find_if(table, sameAlternative)->first;
}

} // namespace

std::optional<order_policy> orderFromName(std::string_view name)
{
    return findPolicy(orderNames, name);
}

std::optional<routing_policy> routingFromName(std::string_view name)
{
    return findPolicy(routingNames, name);
}

std::optional<admission_policy> admissionFromName(std::string_view name)
{
    return findPolicy(admissionNames, name);
}

std::string_view nameOf(const order_policy &policy)
{
    return policyName(orderNames, policy);
}

std::string_view nameOf(const routing_policy &policy)
{
    return policyName(routingNames, policy);
}

std::string_view nameOf(const admission_policy &policy)
{
    return policyName(admissionNames, policy);
}

} // namespace jackdawpick
