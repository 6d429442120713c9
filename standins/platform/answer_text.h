#pragma once

// The text that an engine stand-in generates. It depends only on the messages, so that whoever knows them can tell an
// answer to another request, a truncated answer and one with chunks out of order.
//
//   answer_plan plan = planAnswer(messages, maxTokens);
//   std::string text = answerTokens(plan, 0, plan.tokens);

#include "model/model.h"

namespace jackdawpick::standins
{

struct answer_plan
{
    digest seed = 0; // Digest of the whole history; the first four tokens spell it in hexadecimal.
    token_count tokens = 0; // Between a quarter of maxTokens and maxTokens; at least 1.
};

[[nodiscard]] answer_plan planAnswer(std::span<const message> messages, std::uint32_t maxTokens);
// Tokens first..last-1; each is bytesPerToken bytes long.
[[nodiscard]] std::string answerTokens(const answer_plan &plan, token_count first, token_count last);

} // namespace jackdawpick::standins
