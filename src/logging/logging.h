#pragma once

// Structured log lines: `time level event key=value ...`, on standard error or, without ever blocking, on standard
// output.
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

// From now on lines are collected and written to standard output by flush(). At most maxPendingBytes are kept; lines
// beyond are dropped and counted.
void useStandardOutput();
inline constexpr std::size_t maxPendingBytes = 256U << 10U;
// Writes what standard output takes now.
void flush();
// Lines dropped since the start.
[[nodiscard]] std::uint64_t droppedLines();

void write(log_level level, std::string_view event, const std::vector<log_field> &fields = {});

// The line without time stamp, as write() prints it.
[[nodiscard]] std::string format(log_level level, std::string_view event, const std::vector<log_field> &fields);

} // namespace logging

} // namespace jackdawpick
