#include "logging/logging.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <unistd.h>

namespace jackdawpick
{

namespace
{

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};
log_level currentLevel = log_level::Info;
bool toStandardOutput = false;
std::string pendingText;
std::uint64_t dropped = 0;

bool needsQuotes(std::string_view value)
{
    return value.empty()
        || std::ranges::any_of(value, [](unsigned char c) { return c <= ' ' || c == '"' || c == '='; });
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const unsigned char c : value) {
        if (c == '"' || c == '\\') {
            text += fmt::format("\\{}", static_cast<char>(c));
        } else if (c < ' ') {
            text += fmt::format("\\x{:02x}", c);
        } else {
            text += static_cast<char>(c);
        }
    }
    return text + "\"";
}

} // namespace

std::string_view nameOf(log_level level)
{
    return levelNames.at(static_cast<std::size_t>(level));
}

std::optional<log_level> logLevelFromName(std::string_view name)
{
    const auto found = std::ranges::find(levelNames, name);
    if (found == levelNames.end()) {
        return std::nullopt;
    }
    return static_cast<log_level>(found - levelNames.begin());
}

namespace logging
{

void setLevel(log_level level)
{
    currentLevel = level;
}

log_level level()
{
    return currentLevel;
}

std::string format(log_level level, std::string_view event, const std::vector<log_field> &fields)
{
    std::string line = fmt::format("{} {}", nameOf(level), event);
    for (const auto &field : fields) {
        line += fmt::format(" {}={}", field.key, needsQuotes(field.value) ? quoted(field.value) : field.value);
    }
    return line;
}

void write(log_level level, std::string_view event, const std::vector<log_field> &fields)
{
    if (level < currentLevel) {
        return;
    }
    const auto wall = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = wall.time_since_epoch().count() % 1000;
    const auto line =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", fmt::gmtime(std::chrono::system_clock::to_time_t(wall)),
                    milliseconds, format(level, event, fields));
    if (!toStandardOutput) {
        fmt::print(stderr, "{}", line);
    } else if (pendingText.size() + line.size() > maxPendingBytes) {
        ++dropped;
    } else {
        pendingText += line;
    }
}

void useStandardOutput()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    toStandardOutput = true;
}

void flush()
{
    if (pendingText.empty()) {
        return;
    }
    const auto written = ::write(STDOUT_FILENO, pendingText.data(), pendingText.size());
    if (written > 0) {
        pendingText.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t droppedLines()
{
    return dropped;
}

} // namespace logging

} // namespace jackdawpick
