#include "platform/answer_text.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::standins
{

namespace
{

constexpr token_count digestTokens = 4; // 16 hexadecimal digits.

std::string tokenAt(const answer_plan &plan, token_count index)
{
    if (index < digestTokens) {
        return fmt::format("{:016x}", plan.seed).substr(index * bytesPerToken, bytesPerToken);
    }
    // The index is part of the token, so that swapped or repeated chunks change the text.
    const digest bits = digestOf(fmt::format("{:x}.{}", plan.seed, index));
    std::string token = " ";
    for (std::size_t letter = 1; letter < bytesPerToken; ++letter) {
        token += static_cast<char>('a' + (bits >> (8 * letter)) % 26);
    }
    return token;
}

} // namespace

answer_plan planAnswer(std::span<const message> messages, std::uint32_t maxTokens)
{
    const auto steps = digestHistory(messages);
    const digest seed = steps.empty() ? 0 : steps.back().value;
    const token_count least = std::max<token_count>(1, maxTokens / 4);
    return {.seed = seed, .tokens = maxTokens <= least ? least : least + seed % (maxTokens - least + 1)};
}

std::string answerTokens(const answer_plan &plan, token_count first, token_count last)
{
    std::string text;
    for (token_count index = first; index < std::min(last, plan.tokens); ++index) {
        text += tokenAt(plan, index);
    }
    return text;
}

} // namespace jackdawpick::standins
