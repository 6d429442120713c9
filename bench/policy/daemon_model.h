#pragma once

// One daemon of the policy bench: the real endpoint table, cache directory and scheduler behind one function, so that
// the bench can be moved onto the full reducer.

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_options.h"

#include <unordered_map>
#include <variant>

namespace jackdawpick::bench
{

struct hosts_input
{
    std::vector<host_entry> hosts;
};
struct load_input
{
    std::string endpoint;
    load_report report;
};
struct events_input
{
    std::string endpoint;
    std::vector<cache_event> events;
};
struct call_input
{
    waiting_call call;
};
struct finished_input
{
    std::uint64_t handle = 0;
    usage used;
    duration firstToken{};
};
struct failed_input
{
    std::uint64_t handle = 0;
    endpoint_failure failure;
};
struct program_ended_input
{
    program_key program;
};
struct released_input
{
    cache_release release;
};
struct wake_input
{
};
using input = std::variant<hosts_input, load_input, events_input, call_input, finished_input, failed_input,
                           program_ended_input, released_input, wake_input>;

struct dispatch_output
{
    std::uint64_t handle = 0;
    std::string endpoint;
    rank_index priority = 0;
};
struct refuse_output
{
    std::uint64_t handle = 0;
    std::chrono::milliseconds retryAfter{0};
};
struct release_output
{
    cache_release release;
};
using output = std::variant<dispatch_output, refuse_output, release_output>;

class daemon_model
{
public:
    daemon_model(const scheduler_options &options, const std::vector<rank_policy> &ranks, std::uint64_t seed);

    std::vector<output> reduce(const input &what, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct in_flight
    {
        waiting_call call;
        endpoint_id endpoint{};
        time_point since;
    };

    void on(const hosts_input &what, time_point now);
    void on(const load_input &what, time_point now);
    void on(const events_input &what, time_point now);
    void on(const call_input &what, time_point now);
    void on(const finished_input &what, time_point now);
    void on(const failed_input &what, time_point now);
    void on(const program_ended_input &what, time_point now);
    void on(const released_input &what, time_point now);
    void on(const wake_input &what, time_point now);

    endpoint_table m_table;
    cache_directory m_caches;
    scheduler m_scheduler;
    std::unordered_map<std::uint64_t, in_flight> m_inFlight;
    std::unordered_map<std::uint64_t, waiting_call> m_waiting;
    std::vector<output> m_out;
};

} // namespace jackdawpick::bench
