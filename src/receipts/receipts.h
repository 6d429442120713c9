#pragma once

// Signed receipts that callers hold while the log is down. A receipt proves the state of a program after a turn, so
// that a successor whose journal lacks the turn can go on from there.
//
//   std::string text = signReceipt(contents, key);
//   std::optional<receipt> read = verifyReceipt(text, key);   // nothing unless the signature is valid
//
// Form: base64url(JSON) "." base64url(HMAC-SHA256). Stateless.

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
    token_count delegated = 0;
    token_count attainedService = 0;
    rank_index rank = 0;
    fence fencingToken = 0; // Under which the turn was settled.
    bool operator==(const receipt &) const = default;
};

[[nodiscard]] std::string signReceipt(const receipt &contents, std::string_view key);
// Never throws on any text.
[[nodiscard]] std::optional<receipt> verifyReceipt(std::string_view text, std::string_view key);

} // namespace jackdawpick
