#pragma once

// Plain service whose calls take effect once each time they run, with counts by identity. Pure; the time comes in.
//
//   service_model service({.latency = 20ms}, seed);
//   service_answer answer = service.call({.operation = "wanza/p1/3", .requestId = "r9"}, now);

#include "clock/clock.h"
#include "platform/fault_table.h"

#include <cstdint>
#include <random>
#include <string>

namespace jackdawpick::standins
{

struct service_options
{
    std::chrono::milliseconds latency{20}; // Median.
    double spread = 0.5; // Sigma of the logarithm of the latency.
};

struct service_call_data
{
    std::string operation{}; // The caller's own identity of the effect; empty: the request id is used.
    std::string requestId{}; // X-Request-Id.
    std::string path{};
    std::string program{}; // Header X-Program if given.
    std::string turn{}; // Header X-Turn if given.
    bool idempotent = false;
};

struct service_count
{
    service_call_data call; // As it first ran.
    std::uint64_t runs = 0;
    time_point firstAt{};
};

struct service_answer
{
    std::uint16_t status = 200; // 503: refused before the effect, 500: failed before the effect, 0: no answer.
    bool ran = false;
    std::chrono::milliseconds delay{0};
    std::string result{}; // Digest of operation and path, so that an answer to another call is recognised.
};

// Faults: leaving, refuse, hang (no effect, no answer), lost_answer (part of the calls, 0 to 1; effect, no answer),
// error_rate (0 to 1; no effect), latency_ms (replaces the median if above 0).
class service_model
{
public:
    service_model(const service_options &options, std::uint64_t seed);

    [[nodiscard]] service_answer call(const service_call_data &data, time_point now);
    // Runs by identity: the operation, or the request id where none is given.
    [[nodiscard]] const std::map<std::string, service_count> &counts() const;
    [[nodiscard]] std::uint64_t doubled() const; // Non-idempotent identities that ran more than once.
    [[nodiscard]] fault_table &faults();

private:
    [[nodiscard]] std::chrono::milliseconds drawLatency();
    [[nodiscard]] bool draw(const std::string &fault);

    service_options m_options;
    fault_table m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, service_count> m_counts;
};

// What service_answer::result must be for that call.
[[nodiscard]] std::string serviceResult(const std::string &operation, const std::string &path);

} // namespace jackdawpick::standins
