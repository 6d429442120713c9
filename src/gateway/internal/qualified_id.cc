#include "gateway/internal/qualified_id.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace jackdawpick::gateway::internal
{

namespace
{

constexpr char lengthEnd = ':';
constexpr char tenantEnd = '/';

// A name with a prefix such as "3:red/", which holds the length of the tenant's name and that name.
std::optional<qualified_id> decodePrefixed(std::string_view name)
{
    std::size_t length = 0;
    const auto [end, failure] = std::from_chars(name.data(), name.data() + name.size(), length);
    const auto digits = static_cast<std::size_t>(end - name.data());
    const bool hasLeadingZero = digits > 1 && name.front() == '0';
    if (failure != std::errc() || hasLeadingZero || digits == name.size() || name[digits] != lengthEnd) {
        return std::nullopt;
    }
    const auto rest = name.substr(digits + 1);
    if (rest.size() <= length || rest[length] != tenantEnd) {
        return std::nullopt;
    }
    return qualified_id{.tenant = std::string(rest.substr(0, length)), .id = std::string(rest.substr(length + 1))};
}

} // namespace

std::string encode(const qualified_id &value)
{
    const bool isPlain = value.tenant.empty() && !decodePrefixed(value.id).has_value();
    return value.id.empty() || isPlain
        ? value.id
        : fmt::format("{}{}{}{}{}", value.tenant.size(), lengthEnd, value.tenant, tenantEnd, value.id);
}

qualified_id decode(std::string_view name)
{
    return decodePrefixed(name).value_or(qualified_id{.tenant = {}, .id = std::string(name)});
}

} // namespace jackdawpick::gateway::internal
