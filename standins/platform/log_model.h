#pragma once

// Append-only log with offsets: streams, rate limit, retention and faults. Pure; the time comes in.
//
//   log_model log({.appendsPerSecond = 300}, seed);
//   log_append result = log.append("configuration", payload, now);
//   log_page page = log.read("configuration", 1, 100, now);

#include "model/model.h"
#include "platform/fault_table.h"
#include "platform/rate_limit.h"

#include <deque>
#include <map>
#include <random>

namespace jackdawpick::standins
{

struct log_options
{
    double appendsPerSecond = 300; // All streams together.
    std::chrono::milliseconds retention{86400000};
    std::chrono::milliseconds latency{1}; // Of each answer.
    std::size_t pageBytes = 1U << 20U; // Payload bytes in one page; at least one record is returned.
};

enum class log_status : std::uint8_t {
    Ok,
    RateLimited,
    Unavailable, // Outage: nothing was appended.
    NoAnswer, // The caller gets no answer; an append may have taken effect.
};

struct log_append
{
    log_status status = log_status::Ok;
    log_offset offset = 0; // Set whenever the record was appended.
    std::chrono::milliseconds delay{0}; // Until the answer is sent.
    std::chrono::milliseconds retryAfter{0};
};

struct log_record
{
    log_offset offset = 0;
    std::string payload;
    time_point at{};
};

struct log_page
{
    log_status status = log_status::Ok;
    std::vector<log_record> records;
    log_offset first = 1; // Offset of the oldest retained record, or `end`.
    log_offset end = 1; // Offset after the last record of the stream.
    std::chrono::milliseconds delay{0};
};

// Faults: outage, hang, lost_answer (part of the appends, 0 to 1), slow_ms, appends_per_second (0: as in the options).
class log_model
{
public:
    log_model(const log_options &options, std::uint64_t seed);

    [[nodiscard]] log_append append(const std::string &stream, std::string payload, time_point now);
    // Records from offset `from`, at most `limit`; starts at the oldest retained record if `from` is older.
    [[nodiscard]] log_page read(const std::string &stream, log_offset from, std::size_t limit, time_point now);
    [[nodiscard]] std::map<std::string, log_offset> ends() const; // Each stream with its end.
    [[nodiscard]] fault_table &faults();

private:
    struct stream_state
    {
        std::deque<log_record> records;
        log_offset end = 1;
    };

    void expire(stream_state &stream, time_point now) const;
    [[nodiscard]] std::chrono::milliseconds answerDelay() const;

    log_options m_options;
    fault_table m_faults;
    rate_limit m_rate;
    std::mt19937_64 m_random;
    std::map<std::string, stream_state> m_streams;
};

} // namespace jackdawpick::standins
