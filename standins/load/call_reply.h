#pragma once

// Answers of a daemon as a caller reads them.
//
//   stream_reply stream;
//   stream.append(bytes, now);
//   call_reply reply = stream.finish();

#include "net/net.h"
#include "results/results.h"

#include <nlohmann/json_fwd.hpp>

namespace jackdawpick::standins
{

struct reply_refusal
{
    result_code code = result_code::InternalError;
    std::string name; // As sent, also for a code that is not in the table.
    execution outcome = execution::Unknown;
    std::chrono::milliseconds retryAfter{0};
    std::string message;
};

struct call_reply
{
    bool broken = true; // No complete answer arrived.
    std::optional<reply_refusal> refusal;
    std::string content; // Text of a model answer.
    std::string requestId;
    std::string program;
    std::uint32_t turn = 0; // 0 if the answer does not state it.
    std::string receipt;
    bool durable = true;
    std::vector<std::string> chunkRequestIds; // Distinct ones of the chunks.
    std::string operation; // Of a service answer.
    std::string result;
    std::optional<time_point> firstToken;
};

// A complete answer that is not streamed. A body that is no JSON object counts as broken.
[[nodiscard]] call_reply replyFromBody(const std::string &body);

// A streamed answer; broken until the event [DONE] arrives.
class stream_reply
{
public:
    void append(std::string_view bytes, time_point now);
    [[nodiscard]] const call_reply &reply() const;

private:
    void take(const std::string &event, time_point now);

    net::sse_reader m_reader;
    call_reply m_reply;
};

} // namespace jackdawpick::standins
