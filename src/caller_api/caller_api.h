#pragma once

// The callers' HTTP API as pure functions: parses requests, and formats responses as JSON or server-sent events.
//
//   auto parsed = parseCall("/v1/chat/completions", body, limits);
//   if (auto *refused = std::get_if<refusal>(&parsed)) { ... }

#include "core/events.h"

namespace jackdawpick
{

struct caller_limits
{
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxMessages = 4096;
    std::size_t maxNameBytes = 128; // Limit for each of customer, program, rank and request id.
    std::uint32_t defaultMaxTokens = 1024; // For model calls without max_tokens.
};

// Parses the body of an HTTP request to `path`. Returns the call, or a refusal (such as MalformedRequest) whose message
// names the invalid field. Does not throw, whatever the body holds. Names may not contain white space, control
// characters or /?#%".
[[nodiscard]] std::variant<call_request, refusal>
parseCall(std::string_view path, const std::shared_ptr<const std::string> &body, const caller_limits &limits);

// The request body for an engine or a service, without the object `jackdawpick`. For engines, request id, priority,
// program, `stream` and `max_tokens` are added.
[[nodiscard]] std::string endpointBody(const start_dispatch &dispatch);

// {"error": {...}} as specified in docs/design.md, section 9.
[[nodiscard]] std::string refusalJson(const refusal &reason);
// The chat completion, or the response of a service, with the object `jackdawpick` {customer, program, turn,
// request_id, durable, replayed, receipt}.
[[nodiscard]] std::string responseJson(const finish_call &finished);
// One server-sent event ("data: ...\n\n") with a chat completion chunk.
[[nodiscard]] std::string streamEvent(const std::string &requestId, const std::string &text);
// The last events of a stream: the final chunk with usage and the object `jackdawpick`, then "data: [DONE]\n\n". A
// replayed answer is preceded by its text.
[[nodiscard]] std::string streamEnd(const finish_call &finished);
// A refusal after the stream has started, followed by "data: [DONE]\n\n".
[[nodiscard]] std::string streamRefusal(const refusal &reason);

// For responses that another daemon formatted: the end of a stream from the JSON of responseJson(), and the retry delay
// in the JSON of refusalJson(), 0 for any other text.
[[nodiscard]] std::string streamEndFromJson(const std::string &response);
[[nodiscard]] std::chrono::milliseconds retryAfterFromJson(const std::string &response);

} // namespace jackdawpick
