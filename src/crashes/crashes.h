#pragma once

// Remembers requests that crash the endpoints which run them, so that they stop going from one endpoint to the next.
//
//   crash_memory crashes;
//   crashes.onBroken(request, "endpoint-1", now);     // the connection was lost before the answer began
//   if (crashes.isBlocked(request, now)) { ... }      // it has taken down several endpoints and was never answered
//
// Requests are named by a hash of all that a repetition has in common. Pure; thread compatible.

#include "clock/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawpick::crashes
{

// What a daemon has learned of a request and tells the others.
struct run_report
{
    std::uint64_t request = 0;
    std::string endpoint; // That broke; empty if the request was answered.
    bool operator==(const run_report &) const = default;
};

class crash_memory
{
public:
    // A request is blocked once it has broken so many endpoints and none has answered it.
    static constexpr std::size_t endpointsUntilBlocked = 3;
    // Counted from the last endpoint that broke.
    static constexpr std::chrono::seconds memory{60};
    // Beyond this the request that broke an endpoint longest ago is forgotten.
    static constexpr std::size_t mostRequests = 1024;

    // Both return whether the report says something new, which the other daemons should know.
    bool onBroken(std::uint64_t request, const std::string &endpoint, time_point now);
    bool onAnswered(std::uint64_t request);
    void onReport(const run_report &report, time_point now);

    [[nodiscard]] bool isBlocked(std::uint64_t request, time_point now) const;
    // Reports since the last call, for the other daemons.
    [[nodiscard]] std::vector<run_report> takeReports();
    void forgetExpired(time_point now);
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        std::set<std::string> broken; // Endpoints.
        time_point last;
    };

    bool note(std::uint64_t request, const std::string &endpoint, time_point now);
    void evictOldest();

    std::map<std::uint64_t, entry> m_requests;
    std::vector<run_report> m_reports;
};

} // namespace jackdawpick::crashes
