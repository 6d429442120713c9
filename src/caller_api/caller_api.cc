#include "caller_api/caller_api.h"

#include "caller_api/internal/field_reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

using caller_api_internal::field_reader;
using caller_api_internal::parse_error;
using nlohmann::json;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::size_t maxReceiptBytes = 4096;
// The JSON library serialises values recursively, so deeper nesting could exhaust the stack.
constexpr int maxNestingDepth = 64;
constexpr std::string_view extensionKey = "jackdawpick";

bool exceedsNestingDepth(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > maxNestingDepth) {
                return true;
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}

json parseObject(std::string_view text)
{
    if (exceedsNestingDepth(text)) {
        throw parse_error{result_code::MalformedRequest, fmt::format("body: nested deeper than {}", maxNestingDepth)};
    }
    json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        throw parse_error{result_code::MalformedRequest, "body: expected a JSON object in UTF-8"};
    }
    return value;
}

std::string dumpText(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void readProgram(const json &body, const caller_limits &limits, call_request &call)
{
    const auto found = body.find(extensionKey);
    if (found == body.end() || !found->is_object()) {
        throw parse_error{result_code::MalformedRequest, "jackdawpick: expected an object"};
    }
    field_reader fields(*found, "jackdawpick", limits.maxNameBytes);
    fields.requireKnownKeys({"customer", "program", "turn", "rank", "budget_tokens", "parent", "request_id",
                             "deadline_ms", "receipt", "idempotent"});
    call.program.customer = fields.name("customer");
    if (call.program.customer.empty()) {
        throw parse_error{result_code::MalformedRequest, "jackdawpick.customer: expected a name"};
    }
    call.program.program = fields.name("program");
    call.turn = static_cast<std::uint32_t>(fields.number("turn", 1, 1, std::numeric_limits<std::uint32_t>::max()));
    call.rank = fields.name("rank");
    call.requestId = fields.name("request_id");
    call.budgetTokens = fields.number("budget_tokens", 0, 0, std::numeric_limits<std::int64_t>::max());
    if (const auto parent = fields.name("parent"); !parent.empty()) {
        call.parent = program_key{call.program.customer, parent};
    }
    constexpr std::uint64_t maxDeadlineMs = 24ULL * 3600 * 1000;
    if (const auto deadline = fields.number("deadline_ms", 0, 1, maxDeadlineMs); deadline != 0) {
        call.deadline = std::chrono::milliseconds(deadline);
    }
    if (auto receipt = fields.text("receipt", maxReceiptBytes); !receipt.empty()) {
        call.receipt = std::move(receipt);
    }
}

// Plain text is kept unchanged. Any other content is converted to canonical JSON (sorted keys, no nulls), so that the
// digest of a history does not depend on the caller's formatting.
message readMessage(const json &value, std::size_t index)
{
    const auto fail = [index](std::string_view problem) {
        throw parse_error{result_code::MalformedRequest, fmt::format("messages[{}]{}", index, problem)};
    };
    if (!value.is_object()) {
        fail(": expected an object");
    }
    const auto role = value.find("role");
    if (role == value.end() || !role->is_string() || role->get_ref<const std::string &>().empty()) {
        fail(".role: expected a string");
    }
    json fields = json::object();
    for (const auto &[key, part] : value.items()) {
        if (key != "role" && !part.is_null()) {
            fields[key] = part;
        }
    }
    const auto content = fields.find("content");
    if (fields.size() == 1 && content != fields.end() && content->is_string()) {
        return {role->get<std::string>(), content->get<std::string>()};
    }
    if (fields.empty()) {
        fail(".content: expected a string");
    }
    return {role->get<std::string>(), dumpText(fields)};
}

std::vector<message> readMessages(const json &body, const caller_limits &limits)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        throw parse_error{result_code::MalformedRequest, "messages: expected a non-empty array"};
    }
    if (found->size() > limits.maxMessages) {
        throw parse_error{
            result_code::HistoryTooLarge,
            fmt::format("messages: {} messages exceed the limit of {}", found->size(), limits.maxMessages)};
    }
    std::vector<message> messages;
    messages.reserve(found->size());
    for (const auto &value : *found) {
        messages.push_back(readMessage(value, messages.size()));
    }
    return messages;
}

void readModelCall(json body, const caller_limits &limits, call_request &call)
{
    const field_reader fields(body, "", limits.maxNameBytes);
    model_call model;
    model.model = fields.name("model");
    if (model.model.empty()) {
        throw parse_error{result_code::MalformedRequest, "model: expected a name"};
    }
    model.maxTokens = static_cast<std::uint32_t>(
        fields.number("max_tokens", limits.defaultMaxTokens, 1, std::numeric_limits<std::uint32_t>::max()));
    model.stream = fields.flag("stream");
    auto messages = readMessages(body, limits);
    model.history = digestHistory(messages);
    call.messages = std::make_shared<const std::vector<message>>(std::move(messages));
    // The history is covered by its digest; the remaining fields are the generation parameters.
    body.erase(std::string(extensionKey));
    body.erase("messages");
    body.erase("stream");
    body["max_tokens"] = model.maxTokens;
    call.contentDigest = digestOf(fmt::format("{:016x}{}", model.history.back().value, dumpText(body)));
    call.kind = std::move(model);
}

void readServiceCall(std::string_view path, const json &body, const caller_limits &limits, call_request &call)
{
    const auto target = path.substr(servicePrefix.size());
    const auto slash = target.find('/');
    const auto service = target.substr(0, slash);
    if (service.empty() || service.size() > limits.maxNameBytes) {
        throw parse_error{result_code::UnknownService, "path: expected /v1/services/{service}/{path}"};
    }
    for (const auto &[key, part] : body.items()) {
        if (key != extensionKey && key != "body") {
            throw parse_error{result_code::MalformedRequest, fmt::format("{}: unknown field", key.substr(0, 64))};
        }
    }
    service_call serviceCall;
    serviceCall.service = service;
    serviceCall.path = slash == std::string_view::npos ? std::string() : std::string(target.substr(slash + 1));
    serviceCall.idempotent =
        field_reader(body.at(std::string(extensionKey)), "jackdawpick", limits.maxNameBytes).flag("idempotent");
    serviceCall.idempotentStated = body.at(std::string(extensionKey)).contains("idempotent");
    const auto content = body.find("body");
    call.contentDigest = digestOf(fmt::format("{}\n{}\n{}", serviceCall.service, serviceCall.path,
                                              content == body.end() ? "" : dumpText(*content)));
    call.kind = std::move(serviceCall);
}

call_request readCall(std::string_view path, const std::shared_ptr<const std::string> &body,
                      const caller_limits &limits)
{
    const bool isChatCompletion = path == chatPath;
    if (!isChatCompletion && !path.starts_with(servicePrefix)) {
        throw parse_error{result_code::NotFound, "path: not found"};
    }
    if (body == nullptr) {
        throw parse_error{result_code::MalformedRequest, "body: missing"};
    }
    if (body->size() > limits.maxBodyBytes) {
        throw parse_error{result_code::RequestTooLarge,
                          fmt::format("body: exceeds the limit of {} bytes", limits.maxBodyBytes)};
    }
    json value = parseObject(*body);
    call_request call;
    call.path = path;
    call.body = body;
    readProgram(value, limits, call);
    if (isChatCompletion) {
        readModelCall(std::move(value), limits, call);
    } else {
        readServiceCall(path, value, limits, call);
    }
    return call;
}

json programFields(const finish_call &finished)
{
    json fields{{"customer", finished.program.customer},
                {"program", finished.program.program},
                {"turn", finished.turn},
                {"request_id", finished.requestId},
                {"durable", finished.durable},
                {"replayed", finished.replayed}};
    if (!finished.receipt.empty()) {
        fields["receipt"] = finished.receipt;
    }
    return fields;
}

json usageFields(const usage &used)
{
    return {{"prompt_tokens", used.promptTokens},
            {"cached_tokens", used.cachedTokens},
            {"completion_tokens", used.completionTokens},
            {"total_tokens", used.promptTokens + used.completionTokens}};
}

std::string formatEvent(const json &value)
{
    return fmt::format("data: {}\n\n", dumpText(value));
}

constexpr std::string_view streamDoneEvent = "data: [DONE]\n\n";

} // namespace

std::variant<call_request, refusal> parseCall(std::string_view path, const std::shared_ptr<const std::string> &body,
                                              const caller_limits &limits)
{
    try {
        return readCall(path, body, limits);
    } catch (const parse_error &problem) {
        return refusal{.code = problem.code, .message = problem.message};
    } catch (const json::exception &problem) {
        return refusal{.code = result_code::MalformedRequest, .message = fmt::format("body: {}", problem.what())};
    }
}

std::string endpointBody(const start_dispatch &dispatch)
{
    json value = dispatch.body == nullptr ? json::object() : json::parse(*dispatch.body, nullptr, false);
    if (!value.is_object()) {
        value = json::object();
    }
    if (std::holds_alternative<service_call>(dispatch.kind)) {
        const auto content = value.find("body");
        return content == value.end() ? "{}" : dumpText(*content);
    }
    value.erase(std::string(extensionKey));
    value["stream"] = true;
    value["max_tokens"] = std::get<model_call>(dispatch.kind).maxTokens;
    value["request_id"] = dispatch.requestId;
    value["priority"] = dispatch.priority;
    value["program"] = dispatch.program;
    return dumpText(value);
}

std::string refusalJson(const refusal &reason)
{
    const auto &description = describe(reason.code);
    return dumpText({{"error",
                      {{"code", static_cast<int>(reason.code)},
                       {"name", description.name},
                       {"execution", nameOf(description.outcome)},
                       {"message", reason.message},
                       {"retry_after_ms", reason.retryAfter.count()}}}});
}

std::string responseJson(const finish_call &finished)
{
    if (finished.isService) {
        json content = exceedsNestingDepth(finished.answer) ? json(json::value_t::discarded)
                                                            : json::parse(finished.answer, nullptr, false);
        if (content.is_discarded()) {
            content = finished.answer; // Not JSON: returned as a string.
        }
        return dumpText({{"body", std::move(content)}, {"jackdawpick", programFields(finished)}});
    }
    return dumpText({{"id", finished.requestId},
                     {"object", "chat.completion"},
                     {"choices",
                      json::array({{{"index", 0},
                                    {"message", {{"role", "assistant"}, {"content", finished.answer}}},
                                    {"finish_reason", "stop"}}})},
                     {"usage", usageFields(finished.used)},
                     {"jackdawpick", programFields(finished)}});
}

std::string streamEvent(const std::string &requestId, const std::string &text)
{
    return formatEvent({{"id", requestId},
                        {"object", "chat.completion.chunk"},
                        {"choices", json::array({{{"index", 0}, {"delta", {{"content", text}}}}})}});
}

std::string streamEnd(const finish_call &finished)
{
    const json end{{"id", finished.requestId},
                   {"object", "chat.completion.chunk"},
                   {"choices", json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}})},
                   {"usage", usageFields(finished.used)},
                   {"jackdawpick", programFields(finished)}};
    return fmt::format("{}{}{}", finished.replayed ? streamEvent(finished.requestId, finished.answer) : "",
                       formatEvent(end), streamDoneEvent);
}

std::string streamRefusal(const refusal &reason)
{
    return fmt::format("data: {}\n\n{}", refusalJson(reason), streamDoneEvent);
}

std::string streamEndFromJson(const std::string &response)
{
    json value = json::parse(response, nullptr, false);
    std::string text;
    if (value.is_object()) {
        const auto content = json::json_pointer("/choices/0/message/content");
        if (value.value(json::json_pointer("/jackdawpick/replayed"), false)) {
            text = streamEvent(value.value("id", ""), value.value(content, ""));
        }
        value["object"] = "chat.completion.chunk";
        value["choices"] = json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
    }
    return fmt::format("{}{}{}", text, formatEvent(value.is_discarded() ? json::object() : value), streamDoneEvent);
}

std::chrono::milliseconds retryAfterFromJson(const std::string &response)
{
    const json value = json::parse(response, nullptr, false);
    const json::json_pointer pointer("/error/retry_after_ms");
    if (!value.is_object() || !value.contains(pointer) || !value.at(pointer).is_number_unsigned()) {
        return {};
    }
    return std::chrono::milliseconds(value.at(pointer).get<std::uint32_t>());
}

} // namespace jackdawpick
