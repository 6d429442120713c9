#pragma once

// Detects requests that crash the endpoints that run them and blocks them, so that retries do not take down one
// endpoint after another.
//
//   crash_tracker crashes;
//   crashes.onEndpointFailed(request, "endpoint-1", now);   // the connection was lost while the request ran
//   if (crashes.isBlocked(request, now)) { ... }            // several endpoints failed and none completed the request
//
// A request is identified by a hash of its content that is the same for all of its retries. No I/O; thread-compatible.

#include "clock/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jackdawpick::crashes
{

// An outcome of a request that a daemon reports to the other daemons.
struct run_report
{
    std::uint64_t request = 0;
    std::string endpoint; // The endpoint that failed; empty if the request completed.
    bool operator==(const run_report &) const = default;
};

class crash_tracker
{
public:
    // Distinct endpoints that must fail, with none completing the request, before the request is blocked.
    static constexpr std::size_t endpointsUntilBlocked = 3;
    // How long the failures of a request count; measured from the latest one.
    static constexpr std::chrono::seconds retention{60};
    // When full, the request whose latest failure is the oldest is evicted.
    static constexpr std::size_t maxRequests = 1024;

    // Both return true if the outcome is new and was queued as a report to the other daemons.
    bool onEndpointFailed(std::uint64_t request, const std::string &endpoint, time_point now);
    bool onCompleted(std::uint64_t request);
    // Applies a report of another daemon.
    void onReport(const run_report &report, time_point now);

    [[nodiscard]] bool isBlocked(std::uint64_t request, time_point now) const;
    // Removes and returns the queued reports to the other daemons.
    [[nodiscard]] std::vector<run_report> takeReports();
    void evictExpired(time_point now);
    [[nodiscard]] std::size_t size() const;

private:
    struct request_failures
    {
        std::set<std::string> failedEndpoints; // By id.
        time_point lastFailure;
    };

    bool recordFailure(std::uint64_t request, const std::string &endpoint, time_point now);
    void evictOldest();

    std::map<std::uint64_t, request_failures> m_requests;
    std::vector<run_report> m_reports;
};

} // namespace jackdawpick::crashes
