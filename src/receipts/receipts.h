#pragma once

// Signed receipts, given to callers while the log is unavailable. A receipt proves the state of a program after a turn,
// so that a new owner whose journal lacks the turn can continue from it.
//
//   std::string text = signReceipt(contents, key);
//   std::optional<receipt> read = verifyReceipt(text, key);   // empty unless the signature is valid
//
// Format: base64url(JSON) "." base64url(HMAC-SHA256). The functions are stateless.

#include "model/model.h"

namespace jackdawpick
{

struct receipt
{
    program_key program;
    std::uint32_t turn = 0;
    history_step history;
    std::uint32_t messageCount = 0;
    token_count budget = 0;
    token_count spent = 0;
    token_count delegated = 0; // Part of the budget that was given to sub-agents.
    token_count attainedService = 0;
    rank_index rank = 0;
    fence fencingToken = 0; // Of the owner that settled the turn.
    bool operator==(const receipt &) const = default;
};

[[nodiscard]] std::string signReceipt(const receipt &contents, std::string_view key);
// Empty for malformed text or an invalid signature; does not throw on malformed text.
[[nodiscard]] std::optional<receipt> verifyReceipt(std::string_view text, std::string_view key);

} // namespace jackdawpick
