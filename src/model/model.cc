#include "model/model.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace jackdawpick
{

namespace
{

// The hash of the customer seeds the hash of the program, so that ("a", "bc") and ("ab", "c") hash differently.
std::uint64_t hashKey(const program_key &key)
{
    const std::uint64_t customer = XXH3_64bits(key.customer.data(), key.customer.size());
    return XXH3_64bits_withSeed(key.program.data(), key.program.size(), customer);
}

std::optional<shard_index> shardFromGeneratedId(std::string_view program)
{
    if (!program.starts_with('s')) {
        return std::nullopt;
    }
    shard_index shard = 0;
    const char *begin = program.data() + 1;
    const char *end = program.data() + program.size();
    const auto [rest, status] = std::from_chars(begin, end, shard);
    if (status != std::errc{} || rest == end || *rest != '.' || shard >= shardCount) {
        return std::nullopt;
    }
    return shard;
}

} // namespace

std::string toString(const program_key &key)
{
    return fmt::format("{}/{}", key.customer, key.program);
}

std::optional<program_key> programKeyFrom(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    return program_key{std::string(text.substr(0, slash)), std::string(text.substr(slash + 1))};
}

shard_index shardOf(const program_key &key)
{
    const program_key root{key.customer, key.program.substr(0, key.program.find(subAgentSeparator))};
    return shardFromGeneratedId(root.program).value_or(static_cast<shard_index>(hashKey(root) % shardCount));
}

std::optional<program_key> parentOf(const program_key &key)
{
    const auto separator = key.program.rfind(subAgentSeparator);
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    return program_key{key.customer, key.program.substr(0, separator)};
}

std::string generateProgramId(shard_index shard, std::uint64_t incarnation, std::uint64_t sequence)
{
    return fmt::format("s{}.{:x}.{:x}", shard, incarnation, sequence);
}

std::string_view nameOf(endpoint_kind kind)
{
    constexpr std::array<std::string_view, 2> names{"engine", "service"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view nameOf(failure_kind kind)
{
    constexpr std::array<std::string_view, 6> names{"connect_failed",  "refused", "rejected",
                                                    "connection_lost", "silent",  "deadline_passed"};
    return names.at(static_cast<std::size_t>(kind));
}

namespace
{

constexpr std::array<std::string_view, 3> hostKindNames{"daemon", "engine", "service"};

} // namespace

std::string_view nameOf(host_kind kind)
{
    return hostKindNames.at(static_cast<std::size_t>(kind));
}

std::optional<host_kind> hostKindFromName(std::string_view name)
{
    const auto found = std::ranges::find(hostKindNames, name);
    if (found == hostKindNames.end()) {
        return std::nullopt;
    }
    return static_cast<host_kind>(found - hostKindNames.begin());
}

token_count estimateTokens(std::string_view text)
{
    return (text.size() + bytesPerToken - 1) / bytesPerToken;
}

history_step extendHistory(const history_step &step, const message &next)
{
    const digest role = XXH3_64bits_withSeed(next.role.data(), next.role.size(), step.value);
    return {.value = XXH3_64bits_withSeed(next.content.data(), next.content.size(), role),
            .tokens = step.tokens + estimateTokens(next.content)};
}

std::vector<history_step> digestHistory(std::span<const message> messages)
{
    std::vector<history_step> steps;
    steps.reserve(messages.size());
    history_step step;
    std::ranges::transform(messages, std::back_inserter(steps),
                           [&step](const message &next) { return step = extendHistory(step, next); });
    return steps;
}

digest digestOf(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

bool isIdempotent(const call_kind &kind)
{
    const auto *service = std::get_if<service_call>(&kind);
    return service == nullptr || service->idempotent;
}

bool isIdempotent(const call_request &call)
{
    return isIdempotent(call.kind);
}

token_count promptTokens(const call_kind &kind)
{
    const auto *call = std::get_if<model_call>(&kind);
    return call == nullptr || call->history.empty() ? 0 : call->history.back().tokens;
}

} // namespace jackdawpick

std::size_t std::hash<jackdawpick::program_key>::operator()(const jackdawpick::program_key &key) const noexcept
{
    return jackdawpick::hashKey(key);
}
