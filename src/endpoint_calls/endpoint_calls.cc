#include "endpoint_calls/endpoint_calls.h"

#include <array>

namespace jackdawpick::endpoint_calls
{

namespace
{

constexpr std::array<std::string_view, 4> dispatchOutcomeNames{"complete", "not_sent", "lost", "timed_out"};

} // namespace

std::string_view nameOf(dispatch_outcome value)
{
    return dispatchOutcomeNames.at(static_cast<std::size_t>(value));
}

} // namespace jackdawpick::endpoint_calls
