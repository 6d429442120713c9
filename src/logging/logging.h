#pragma once

// Structured log lines on standard error: `time level event key=value ...`.
//
//   logging::write(log_level::Info, "shard_opened", {{"shard", 17}, {"fence", 4711}});
//
// All functions are meant for the one thread that runs the loop.

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

[[nodiscard]] std::string_view nameOf(log_level level);
// The level with this lower-case name, or nothing.
[[nodiscard]] std::optional<log_level> logLevelFromName(std::string_view name);

// One key=value pair. Values with spaces, quotes, '=' or control characters are quoted and escaped.
struct log_field
{
    template<typename T>
    log_field(std::string_view fieldKey, const T &fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string key;
    std::string value;
};

namespace logging
{

// Lines below `level` are dropped. The initial level is Info.
void setLevel(log_level level);
[[nodiscard]] log_level level();

void write(log_level level, std::string_view event, const std::vector<log_field> &fields = {});

// The line without time stamp, as write() prints it.
[[nodiscard]] std::string format(log_level level, std::string_view event, const std::vector<log_field> &fields);

} // namespace logging

} // namespace jackdawpick
