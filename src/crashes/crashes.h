#pragma once

// Detects requests that crash the endpoints that run them and blocks them, so that retries do not take down one
// endpoint after another.
//
//   crash_tracker crashes;
//   crashes.onEndpointFailed(request, {"endpoint-1", born}, now); // the connection was lost while the request ran
//   if (crashes.isBlocked(request, now)) { ... }                  // several failed and none completed the request
//
// A request is known by its content, since a later attempt may come under another program. A success proves that the
// request of its own caller does no harm; the failures of others still count for them. The end of a response that only
// the end of its connection shows is no proof: it counts as a failure if its endpoint is found gone soon afterwards,
// and as a success if the endpoint lives on. No I/O; thread-compatible.

#include "clock/clock.h"
#include "endpoint_calls/endpoint_calls.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawpick::crashes
{

using endpoint_calls::endpoint_incarnation;
using endpoint_calls::request_identity;

// An outcome of a request that daemons report to each other.
struct run_report
{
    request_identity request;
    std::optional<endpoint_incarnation> failed; // Unset if the request completed.
    std::chrono::milliseconds age{0};
    bool operator==(const run_report &) const = default;
};

// A response that is whole, or cut off by a crash of its endpoint.
struct unproven_end
{
    request_identity request;
    endpoint_incarnation endpoint;
    std::chrono::milliseconds age{0};
    bool operator==(const unproven_end &) const = default;
};

// What shows that an endpoint has ended.
enum class gone_evidence : std::uint8_t {
    Listing, // The store, which all daemons read.
    Connection, // An attempt to connect by this daemon.
};

// A request that is blocked from now on, or no more.
struct block_change
{
    std::uint64_t content = 0;
    bool blocked = false;
    std::size_t failures = 0; // Endpoints that failed, as far as known.
    bool operator==(const block_change &) const = default;
};

class crash_tracker
{
public:
    // Incarnations that must fail, with none completing the request, before the request is blocked.
    static constexpr std::size_t endpointsUntilBlocked = 3;
    // Failures from which on a request is written to the store. A single one is mostly the endpoint's own fault.
    static constexpr std::size_t endpointsUntilStored = 2;
    // How long the failures of a request count, and how long it is blocked after the third one; measured from the
    // latest failure. Each further failure doubles the time, so that a sound request which was blocked in an outage of
    // all its endpoints is soon tried again, and a crashing one ever less often.
    static constexpr std::chrono::seconds retention{60};
    static constexpr std::chrono::seconds blockedRetention{600};
    // How long after a request has ended without a response the loss of its endpoint is put down to it. Endpoints that
    // fall silent are removed from the store after several missed heartbeats.
    static constexpr std::chrono::seconds suspicionTime{6};
    static constexpr std::size_t maxSuspicions = 4096;
    // When full, a request that is not blocked is evicted first: the one with the fewest and oldest failures.
    static constexpr std::size_t maxRequests = 1024;
    // Callers whose latest success is kept for each request.
    static constexpr std::size_t maxCompletions = 16;

    // The connection was lost while the endpoint ran the request. Returns whether that is new; it is then queued as a
    // report to the other daemons.
    bool onEndpointFailed(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // The request was sent, and this daemon stopped waiting for its response.
    void onOutcomeUnknown(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // A success has ended, and the end does not prove that it is whole. Queued for the other daemons, which verify the
    // endpoint if the request comes to them.
    void onUnprovenEnd(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // The same as seen by another daemon.
    void onUnprovenReport(const unproven_end &report, time_point now);
    // The endpoint has ended or cannot be reached. Counts as a failure of the requests whose outcome is not known, and
    // returns their contents.
    std::vector<std::uint64_t> onEndpointGone(const std::string &id, gone_evidence evidence, time_point now);
    // Endpoints with unproven ends of the content that were not returned before, to find out whether they are alive.
    [[nodiscard]] std::vector<endpoint_incarnation> takeUnverified(std::uint64_t content);
    // Ids of endpoints with requests whose outcome is not known.
    [[nodiscard]] std::set<std::string> suspectedEndpoints() const;
    // The endpoint has run the request to its end. Returns true if failures are thereby withdrawn.
    bool onCompleted(const request_identity &request, time_point now);
    // Applies a report of another daemon, or one read from the store.
    void onReport(const run_report &report, time_point now);

    [[nodiscard]] bool isBlocked(const request_identity &request, time_point now) const;
    // Whether so many have failed that the request is or was blocked.
    [[nodiscard]] bool isSuspect(std::uint64_t content) const;
    [[nodiscard]] std::size_t blockedCount(time_point now) const;
    // Removes and returns the queued reports to the other daemons.
    [[nodiscard]] std::vector<run_report> takeReports();
    // Removes and returns the queued unproven ends.
    [[nodiscard]] std::vector<unproven_end> takeUnprovenEnds();
    // Removes and returns the requests that have been blocked or released since the last call.
    [[nodiscard]] std::vector<block_change> takeChanges();
    // All that is known, for a daemon that may know nothing.
    [[nodiscard]] std::vector<run_report> allReports(time_point now) const;

    // Contents of requests whose failures are not all in the store.
    [[nodiscard]] const std::set<std::uint64_t> &unstored() const;
    [[nodiscard]] std::vector<run_report> reportsOf(std::uint64_t content, time_point now) const;
    // The latest record of the request in the store holds this many failures.
    void onStored(std::uint64_t content, std::size_t failures);
    // The store has no record of the request any more. That is no success: a daemon deletes what it considers old, and
    // earlier builds after any response that ends. Recent failures are stored again.
    void onRecordDeleted(std::uint64_t content, time_point now);
    // Whether the store has a record of the request.
    [[nodiscard]] bool isStored(std::uint64_t content) const;

    // Returns the contents that were forgotten and have a record in the store. An unproven end becomes a success if its
    // endpoint is still alive after suspicionTime; `isAlive` is false if that is not known.
    std::vector<std::uint64_t> evictExpired(time_point now,
                                            const std::function<bool(const endpoint_incarnation &)> &isAlive);
    [[nodiscard]] std::size_t size() const;
    // Requests with an unknown outcome that were forgotten for lack of room since the last call.
    [[nodiscard]] std::size_t takeDroppedSuspicions();

private:
    struct failure
    {
        std::uint64_t caller = 0;
        time_point at{};
    };

    // What is known of all requests with one content.
    struct request_failures
    {
        std::map<endpoint_incarnation, failure> failed;
        std::map<std::uint64_t, time_point> completed; // By caller.
        time_point latest{}; // Failure or completion.
        std::optional<std::size_t> storedFailures; // Unset if the store has no record.
        bool reportedBlocked = false; // As of the last call of takeChanges().
    };

    enum class suspicion_kind : std::uint8_t {
        NoResponse,
        UnprovenEnd,
        ReportedEnd, // An unproven end that another daemon has seen.
    };

    struct suspicion
    {
        request_identity request;
        endpoint_incarnation endpoint;
        time_point at;
        suspicion_kind kind = suspicion_kind::NoResponse;
        bool verified = false; // Returned by takeUnverified().
    };

    void addSuspicion(suspicion added);
    void expireSuspicions(time_point now, const std::function<bool(const endpoint_incarnation &)> &isAlive);
    bool recordAndReportCompletion(const request_identity &request, time_point at, time_point now);

    bool recordFailure(const request_identity &request, const endpoint_incarnation &endpoint, time_point at);
    bool recordCompletion(const request_identity &request, time_point at);
    void noteChange(std::uint64_t content, const request_failures &value);
    void evictLeastTelling();
    void noteForgotten(std::uint64_t content, const request_failures &value);
    [[nodiscard]] static std::optional<time_point> latestCompletion(const request_failures &value);
    // Failures of any caller that no success of any caller has followed.
    [[nodiscard]] static std::size_t commonFailures(const request_failures &value);
    [[nodiscard]] static std::size_t failuresOf(const request_failures &value, std::uint64_t caller);
    // The largest number of failures that counts for any caller.
    [[nodiscard]] static std::size_t mostFailures(const request_failures &value);
    [[nodiscard]] static bool isSuspect(const request_failures &value);
    [[nodiscard]] static bool isBlocked(std::size_t failures, time_point latest, time_point now);
    [[nodiscard]] static bool isExpired(const request_failures &value, time_point now);
    static void appendReports(std::uint64_t content, const request_failures &value, time_point now,
                              std::vector<run_report> &out);

    std::map<std::uint64_t, request_failures> m_requests; // By content.
    std::deque<suspicion> m_suspicions; // In the order of their arrival; reported ones may be older than those before.
    std::size_t m_droppedSuspicions = 0;
    std::vector<run_report> m_reports;
    std::vector<unproven_end> m_unprovenEnds; // Not yet taken.
    std::set<std::uint64_t> m_changed; // Requests that takeChanges() looks at.
    std::vector<block_change> m_forgotten; // Blocked requests that were forgotten since takeChanges().
    std::set<std::uint64_t> m_unstored;
};

} // namespace jackdawpick::crashes
