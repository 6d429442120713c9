#pragma once

// The key of the record of a request that crashes endpoints. The daemons that rank first for it write the record.
//
//   const auto names = rankedDaemons(internal::crashRecordKey(content), now);

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace jackdawpick::gateway::internal
{

// Such records lie in the partition that also holds the addresses of the daemons, which all of them watch.
inline constexpr std::string_view crashRecordPrefix = "crashing/";

[[nodiscard]] inline std::string crashRecordKey(std::uint64_t content)
{
    return fmt::format("{}{:016x}", crashRecordPrefix, content);
}

} // namespace jackdawpick::gateway::internal
