#include "store/store.h"

#include <array>

namespace jackdawpick::store
{

namespace
{

constexpr std::array<std::string_view, 5> failureNames{"no_reply", "refused", "rate_limited", "rejected", "full"};
constexpr std::array<std::string_view, 2> pathNames{"direct", "relay"};

// In the order of the alternatives of store::call.
constexpr std::array<std::string_view, 5> callNames{"append", "read", "newest", "put", "trim"};

} // namespace

std::string_view nameOf(const call &value)
{
    return callNames.at(value.index());
}

std::string_view nameOf(failure value)
{
    return failureNames.at(static_cast<std::size_t>(value));
}

bool isServed(const reply &value)
{
    const auto *reason = std::get_if<failure>(&value);
    return reason == nullptr || *reason == failure::Rejected || *reason == failure::Full;
}

std::string_view nameOf(path value)
{
    return pathNames.at(static_cast<std::size_t>(value));
}

} // namespace jackdawpick::store
