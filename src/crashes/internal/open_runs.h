#pragma once

// The runs of requests whose endpoints are not known to have survived them.
//
//   open_runs runs;
//   runs.add({.request = request, .endpoint = {"endpoint-1", born}, .sentAt = now, .endedAt = now});
//   runs.eraseIf(runs.atEndpoint("endpoint-1"), [](const open_run &run) { return !run.isUnderWay(); });
//
// Keeps a bounded number of runs and drops the oldest ones. No I/O; thread-compatible.

#include "clock/clock.h"
#include "endpoint_calls/endpoint_calls.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawpick::crashes::internal
{

enum class run_end : std::uint8_t {
    UnderWay, // Not known to have ended.
    Unanswered, // No whole success: cancelled, timed out, an error, or anything else.
    UnprovenEnd, // A success whose end does not prove that it is whole.
    Answered, // A whole success.
};

// How this daemon knows of a run.
enum class run_source : std::uint8_t {
    Own, // It has sent the request.
    Reported, // The sender has told all daemons.
    Backup, // The sender has told a few daemons, which count the run if the sender dies.
};

struct open_run
{
    endpoint_calls::request_identity request;
    endpoint_calls::endpoint_incarnation endpoint;
    time_point sentAt{};
    time_point endedAt{}; // As far as known; the time at which the request was sent until then.
    run_end end = run_end::UnderWay;
    run_source source = run_source::Own;
    std::string sender; // Name of the daemon; empty for an own run, and once a sender of a backup has died.
    bool endpointGone = false; // The endpoint is not listed any more, and the run waits for its end or its sender's.
    bool verified = false; // This daemon has tried to connect to the endpoint.
    bool backedUp = false; // Other daemons were told of this own run.

    [[nodiscard]] bool isUnderWay() const
    {
        return end == run_end::UnderWay;
    }
};

enum class run_number : std::uint64_t {};

class open_runs
{
public:
    static constexpr std::size_t maxRuns = 4096;

    void add(open_run run);
    // The own run of the request that is under way at the endpoint; null if there is none.
    [[nodiscard]] open_run *findUnderWay(const endpoint_calls::request_identity &request,
                                         const endpoint_calls::endpoint_incarnation &endpoint);
    [[nodiscard]] std::vector<run_number> all() const;
    [[nodiscard]] std::vector<run_number> atEndpoint(const std::string &id) const;
    [[nodiscard]] std::vector<run_number> ofContent(std::uint64_t content) const;
    [[nodiscard]] open_run &at(run_number number);
    [[nodiscard]] const open_run &at(run_number number) const;
    // Erases those of the runs that fulfil the condition, in their order.
    void eraseIf(const std::vector<run_number> &numbers, const std::function<bool(open_run &)> &condition);
    [[nodiscard]] std::size_t size() const;
    // Ids of all endpoints with runs.
    [[nodiscard]] std::set<std::string> endpoints() const;
    // Runs that were dropped for lack of room since the last call.
    [[nodiscard]] std::size_t takeDropped();

private:
    void erase(run_number number);

    std::map<run_number, open_run> m_runs; // Oldest first.
    std::set<std::pair<std::string, run_number>> m_byEndpoint; // By id.
    std::set<std::pair<std::uint64_t, run_number>> m_byContent;
    std::uint64_t m_lastNumber = 0;
    std::size_t m_dropped = 0;
};

} // namespace jackdawpick::crashes::internal
