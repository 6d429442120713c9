#pragma once

// The callers' interface as pure functions: HTTP requests to values, values to JSON and server-sent events.
//
//   auto parsed = parseCall("/v1/chat/completions", body);
//   if (auto *refused = std::get_if<refusal>(&parsed)) { ... }

#include "core/events.h"

namespace jackdawpick
{

struct caller_limits
{
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxMessages = 4096;
    std::size_t maxNameBytes = 128; // Of customer, program, rank and request id.
    std::uint32_t defaultMaxTokens = 1024; // Of model calls that state no max_tokens.
};

// The call in an HTTP request to `path`, or why it is refused (MalformedRequest and its kin; the message names the
// field). Never throws on any bytes. Names may not contain white space, control characters or /?#%".
[[nodiscard]] std::variant<call_request, refusal>
parseCall(std::string_view path, const std::shared_ptr<const std::string> &body, const caller_limits &limits);

// Body for an engine or a service: without the object `jackdawpick`; for engines with request id, priority, program,
// `stream` and `max_tokens`.
[[nodiscard]] std::string endpointBody(const start_dispatch &dispatch);

// {"error": {...}} as docs/design.md, section 9, states.
[[nodiscard]] std::string refusalJson(const refusal &reason);
// The chat completion (or service answer) with the object `jackdawpick` {program, turn, request_id, durable, receipt}.
[[nodiscard]] std::string answerJson(const finish_call &answer);
// One server-sent event "data: …\n\n" with a chat completion chunk.
[[nodiscard]] std::string streamEvent(const std::string &requestId, const std::string &text);
// The last events of a stream: the final chunk with usage and the object `jackdawpick`, then "data: [DONE]\n\n". The
// text of a replayed answer comes first.
[[nodiscard]] std::string streamEnd(const finish_call &answer);
// A refusal within a stream, followed by "data: [DONE]\n\n".
[[nodiscard]] std::string streamRefusal(const refusal &reason);

// For answers that another daemon has formatted: the end of a stream from a text of answerJson(), and the retry time in
// a text of refusalJson(), 0 in any other.
[[nodiscard]] std::string streamEndOf(const std::string &answer);
[[nodiscard]] std::chrono::milliseconds retryAfterOf(const std::string &text);

} // namespace jackdawpick
