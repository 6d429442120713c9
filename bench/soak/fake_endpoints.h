#pragma once

// Engines and services for randomised runs: they run requests on virtual time, count what ran, and fail in every way
// that the users' endpoints do.
//
//   fake_endpoints endpoints(seed, faults);
//   endpoints.start(daemon, dispatch, now);                 // from start_dispatch
//   for (auto &[daemon, event] : endpoints.due(now)) { ... } // events for the reducers

#include "core/events.h"

#include <map>
#include <random>
#include <set>

namespace jackdawpick
{

// Probabilities per request, 0 to 1.
struct endpoint_faults
{
    double connectFails = 0;
    double refuses = 0; // Answers 503 without running the request.
    double losesAnswer = 0; // Runs the request; the connection breaks before the answer.
    double breaksEarly = 0; // The connection breaks before the request runs.
    double silent = 0; // Runs the request; no answer and no sign until the silence bound.
    double late = 0; // A long-running request.
    double crossed = 0; // Another request's id is echoed, as by a connection that mixed up answers.
};

class fake_endpoints
{
public:
    struct daemon_event
    {
        std::size_t daemon = 0;
        event what;
    };

    fake_endpoints(std::uint64_t seed, std::vector<host_entry> hosts);

    void setFaults(const endpoint_faults &faults);
    void start(std::size_t daemon, const start_dispatch &request, time_point now);
    void cancel(std::size_t daemon, dispatch_id dispatch);
    void forgetDaemon(std::size_t daemon);
    // The process dies with all requests that run on it, and loses its cache.
    void crash(const std::string &endpoint, time_point now);
    void setLeaving(const std::string &endpoint, time_point now);
    [[nodiscard]] bool releaseCache(const std::string &program, const std::string &endpoint);

    [[nodiscard]] std::vector<daemon_event> due(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::vector<host_entry> hosts(time_point now) const; // The lagging list.
    // Cache events of the engines since the last call, by endpoint: late and, with `gaps`, incomplete.
    [[nodiscard]] std::map<std::string, std::vector<cache_event>> takeCacheEvents(bool gaps);
    // How often the request of this identity (program and turn) ran on a service.
    [[nodiscard]] std::uint32_t runs(const std::string &requestId) const;
    [[nodiscard]] std::set<std::string> programsWithCache() const;
    // Requests that reached an endpoint more than the allowed time after it began to leave.
    [[nodiscard]] std::uint32_t startedWhileLeaving() const;
    // The answer that any engine gives to this request.
    [[nodiscard]] static std::string answerTo(const std::string &program, digest content);

private:
    struct host_state
    {
        host_entry entry;
        bool up = true;
        std::optional<time_point> leavingSince;
        std::set<std::string> cache; // Programs.
        std::uint64_t lastEvent = 0;
        std::vector<cache_event> events;
    };
    struct running_request
    {
        std::size_t daemon = 0;
        start_dispatch request;
        bool effective = false;
    };

    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] duration between(std::chrono::milliseconds low, std::chrono::milliseconds high);
    void schedule(time_point when, std::size_t daemon, event what);
    void run(host_state &host, const start_dispatch &request);

    std::mt19937_64 m_random;
    endpoint_faults m_faults;
    std::map<std::string, host_state> m_hosts;
    std::multimap<time_point, daemon_event> m_events;
    std::map<std::pair<std::size_t, dispatch_id>, std::string> m_running; // On which endpoint.
    std::map<std::string, std::uint32_t> m_runs;
    std::uint32_t m_startedWhileLeaving = 0;
};

} // namespace jackdawpick
