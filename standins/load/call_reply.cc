#include "load/call_reply.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

std::string stringOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

execution executionOf(const std::string &name)
{
    if (name == nameOf(execution::Ran)) {
        return execution::Ran;
    }
    return name == nameOf(execution::NotRun) ? execution::NotRun : execution::Unknown;
}

void readRefusal(const json &answer, call_reply &reply)
{
    const auto found = answer.find("error");
    if (found == answer.end() || !found->is_object()) {
        return;
    }
    reply.refusal = reply_refusal{.code = static_cast<result_code>(numberOf(*found, "code")),
                                  .name = stringOf(*found, "name"),
                                  .outcome = executionOf(stringOf(*found, "execution")),
                                  .retryAfter = std::chrono::milliseconds(numberOf(*found, "retry_after_ms"))};
}

void readMarks(const json &answer, call_reply &reply)
{
    const auto found = answer.find("jackdawpick");
    if (found == answer.end() || !found->is_object()) {
        return;
    }
    reply.requestId = stringOf(*found, "request_id");
    reply.program = stringOf(*found, "program");
    reply.turn = static_cast<std::uint32_t>(numberOf(*found, "turn"));
    reply.receipt = stringOf(*found, "receipt");
    reply.durable = found->value("durable", json(true)) == json(true);
}

std::string textOf(const json &answer, const char *part)
{
    const auto choices = answer.find("choices");
    if (choices == answer.end() || !choices->is_array() || choices->empty() || !choices->front().is_object()) {
        return {};
    }
    const auto found = choices->front().find(part);
    return found != choices->front().end() && found->is_object() ? stringOf(*found, "content") : std::string();
}

// The service's own answer stands at the top or in an object of the answer.
void readService(const json &answer, call_reply &reply)
{
    if (answer.contains("operation")) {
        reply.operation = stringOf(answer, "operation");
        reply.result = stringOf(answer, "result");
        return;
    }
    for (const auto &[key, value] : answer.items()) {
        if (key != "jackdawpick" && value.is_object() && value.contains("operation")) {
            readService(value, reply);
            return;
        }
    }
}

} // namespace

call_reply replyFromBody(const std::string &body)
{
    call_reply reply;
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return reply;
    }
    reply.broken = false;
    readRefusal(answer, reply);
    readMarks(answer, reply);
    reply.content = textOf(answer, "message");
    readService(answer, reply);
    return reply;
}

void stream_reply::append(std::string_view bytes, time_point now)
{
    for (const auto &event : m_reader.append(bytes)) {
        take(event, now);
    }
}

void stream_reply::take(const std::string &event, time_point now)
{
    if (event == "[DONE]") {
        m_reply.broken = false;
        return;
    }
    const auto chunk = json::parse(event, nullptr, false);
    if (!chunk.is_object()) {
        return;
    }
    readRefusal(chunk, m_reply);
    readMarks(chunk, m_reply);
    const auto id = stringOf(chunk, chunk.contains("request_id") ? "request_id" : "id");
    if (!id.empty() && std::ranges::find(m_reply.chunkRequestIds, id) == m_reply.chunkRequestIds.end()) {
        m_reply.chunkRequestIds.push_back(id);
    }
    const auto text = textOf(chunk, "delta");
    if (!text.empty() && !m_reply.firstToken) {
        m_reply.firstToken = now;
    }
    m_reply.content += text;
}

const call_reply &stream_reply::reply() const
{
    return m_reply;
}

} // namespace jackdawpick::standins
