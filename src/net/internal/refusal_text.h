#pragma once

#include "net/internal/message_parser.h"
#include "results/results.h"

namespace jackdawpick::net::internal
{

// {"error": {...}} of docs/design.md, section 9, for refusals of the HTTP layer itself.
[[nodiscard]] std::string refusalText(const result_description &row, std::string_view message);
// Retry-After where the code advises a retry.
[[nodiscard]] header_list retryHeaders(const result_description &row);

} // namespace jackdawpick::net::internal
