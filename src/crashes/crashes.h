#pragma once

// Detects requests that crash the endpoints that run them and blocks them, so that retries do not take down one
// endpoint after another.
//
//   crash_tracker crashes;
//   crashes.onSent(request, {"endpoint-1", born}, now);
//   crashes.onOutcomeUnknown(request, {"endpoint-1", born}, now);          // the caller has left, say
//   crashes.onEndpointGone("endpoint-1", gone_evidence::Listing, now);     // the request counts as the cause
//   if (crashes.isBlocked(request, now)) { ... }                           // several endpoints ended so
//
// A request is known by its content, since a later attempt may come under another program. What counts is the fate of
// the endpoint, not what the response looked like: each run stays open until its endpoint is known to be gone, which
// makes the run a failure, or to be alive after it. The two may become known in either order. Only a whole success
// whose endpoint lives on proves that the request of its caller does no harm; the failures of others still count for
// them. A connection that is lost during a run counts at once. Other daemons keep copies of the runs of a daemon, in
// case that it dies before the fate is known. No I/O; thread-compatible.

#include "clock/clock.h"
#include "crashes/internal/open_runs.h"
#include "crashes/internal/survivals.h"
#include "endpoint_calls/endpoint_calls.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
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

// A run whose endpoint is not known to have survived it, as daemons tell each other.
struct run_notice
{
    request_identity request;
    endpoint_incarnation endpoint;
    std::chrono::milliseconds age{0};
    bool operator==(const run_notice &) const = default;
};

// What shows that an endpoint has ended.
enum class gone_evidence : std::uint8_t {
    Listing, // The store, which all daemons read.
    Connection, // An attempt to connect by this daemon.
};

// Whether an endpoint is alive, as far as this daemon knows.
using liveness_check = std::function<bool(const endpoint_incarnation &)>;

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
    // How long a run waits for the fate of its endpoint. The listing may tell late: while the store is away, or if this
    // daemon has stood still.
    static constexpr std::chrono::seconds suspicionTime{20};
    static constexpr std::size_t maxSuspicions = internal::open_runs::maxRuns;
    // A silent endpoint leaves the listing after three heartbeat intervals; within one more, all daemons have read so.
    static constexpr int heartbeatsUntilUnlisted = 4;
    static constexpr std::chrono::milliseconds defaultEndpointHeartbeat{1200};
    // After this time other daemons are told of a run that is still under way, in case that this one dies.
    static constexpr std::chrono::milliseconds backupDelay{200};
    // When full, a request that is not blocked is evicted first: the one with the fewest and oldest failures.
    static constexpr std::size_t maxRequests = 1024;
    // Callers whose latest success is kept for each request.
    static constexpr std::size_t maxCompletions = 16;

    explicit crash_tracker(std::chrono::milliseconds endpointHeartbeat = defaultEndpointHeartbeat);

    // The request is sent to the endpoint. Each run ends with one of the five calls that follow.
    void onSent(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // The endpoint did not run the request.
    void onNotRun(const request_identity &request, const endpoint_incarnation &endpoint);
    // The connection was lost while the endpoint ran the request. Returns whether that is new; it is then queued as a
    // report to the other daemons.
    bool onEndpointFailed(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // This daemon stopped waiting for the response, or got one that is no success. Returns whether the endpoint is
    // known to be gone, so that the run counts as a failure.
    bool onOutcomeUnknown(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // A success has ended, and the end does not prove that it is whole. Queued for the other daemons, which verify the
    // endpoint if the request comes to them.
    void onUnprovenEnd(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);
    // A whole success has ended. It withdraws failures once the endpoint is known to live on.
    void onAnswered(const request_identity &request, const endpoint_incarnation &endpoint, time_point now);

    // Another daemon has told all daemons of a run.
    void onUnprovenReport(const run_notice &report, time_point now);
    // Another daemon has told this one of a run. It counts if its endpoint is gone and the sender dies before it has
    // reported that itself. `isListed` is false if the endpoint is gone already.
    void onBackup(const run_notice &notice, const std::string &sender, bool isListed, time_point now);
    // The daemon has died, or its link is lost. Returns the contents of runs that count as failures.
    std::vector<std::uint64_t> onSenderLost(const std::string &sender, time_point now);

    // The endpoint has ended or cannot be reached. Counts as a failure of the requests whose outcome is not known, and
    // returns their contents.
    std::vector<std::uint64_t> onEndpointGone(const std::string &id, gone_evidence evidence, time_point now);
    // The endpoint is not listed any more, as it had announced: no run is the cause.
    void onEndpointLeft(const std::string &id);
    // The endpoint responds to a request that was sent to it at that time: it has survived the runs that ended before.
    void onEndpointAlive(const endpoint_incarnation &endpoint, time_point sentAt, time_point now);
    // Endpoints with open runs of the content that were not returned before, to find out whether they are alive.
    [[nodiscard]] std::vector<endpoint_incarnation> takeUnverified(std::uint64_t content);
    // Ids of endpoints with open runs.
    [[nodiscard]] std::set<std::string> suspectedEndpoints() const;
    // The endpoint has run the request to its end and lives on. Returns true if failures are thereby withdrawn.
    bool onCompleted(const request_identity &request, time_point now);
    // Applies a report of another daemon, or one read from the store.
    void onReport(const run_report &report, time_point now);

    [[nodiscard]] bool isBlocked(const request_identity &request, time_point now) const;
    // Whether so many have failed that the request is or was blocked.
    [[nodiscard]] bool isSuspect(std::uint64_t content) const;
    [[nodiscard]] std::size_t blockedCount(time_point now) const;
    // Removes and returns the queued reports to all other daemons.
    [[nodiscard]] std::vector<run_report> takeReports();
    // Removes and returns the queued reports of first failures on weak evidence. They go to the few daemons that
    // collect those of their content; from the second one on the store tells all.
    [[nodiscard]] std::vector<run_report> takeFirstReports();
    // Removes and returns the contents of reported failures after which endpoints have survived the same content.
    [[nodiscard]] std::set<std::uint64_t> takeRefuted();
    // Reports that refute them. A survival counts for survivalTime() more, since it becomes known so much later.
    [[nodiscard]] std::vector<run_report> survivalsOf(std::uint64_t content, time_point now) const;
    // Remove and return the runs of which all daemons are to be told: with unproven ends, and those that begin although
    // the request has failures.
    [[nodiscard]] std::vector<run_notice> takeUnprovenEnds(time_point now);
    [[nodiscard]] std::vector<run_notice> takeSuspectRuns(time_point now);
    // Own runs of which a few other daemons are to be told now, each returned once.
    [[nodiscard]] std::vector<run_notice> takeBackups(time_point now);
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

    // How long an endpoint must stay listed after a run to have survived it.
    [[nodiscard]] std::chrono::milliseconds survivalTime() const;
    // Ends the runs whose endpoints have stayed listed for so long that they have survived them.
    void settleRuns(time_point now, const liveness_check &isAlive);
    // As settleRuns(); also forgets what is old. Returns the contents that were forgotten and have a record in the
    // store. `isAlive` is false if that is not known.
    std::vector<std::uint64_t> evictExpired(time_point now, const liveness_check &isAlive);
    [[nodiscard]] std::size_t size() const;
    // Runs whose endpoints are not known to have survived them.
    [[nodiscard]] std::size_t openRunCount() const;
    [[nodiscard]] std::size_t contentCount() const; // Requests of which anything is known.
    // Such runs that were forgotten for lack of room since the last call.
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

    struct queued_notice
    {
        run_notice notice; // Without its age.
        time_point since;
    };

    [[nodiscard]] static std::vector<run_notice> takeNotices(std::vector<queued_notice> &queue, time_point now);
    // Ends the own run, or adds one that has ended so if none is under way.
    void endRun(const request_identity &request, const endpoint_incarnation &endpoint, internal::run_end end,
                time_point now);
    bool countRun(const internal::open_run &run, bool reports, time_point now);
    // Whether the run ends with the endpoint's end; `counted` gets its content if it counts.
    bool endsWithEndpoint(internal::open_run &run, gone_evidence evidence, time_point now,
                          std::vector<std::uint64_t> &counted);
    // The endpoint has survived the run.
    void onSurvived(const internal::open_run &run, time_point now);
    // Whether a run of the request has ended in a whole success and its endpoint is not known to be gone.
    [[nodiscard]] bool isAnswered(const request_identity &request) const;
    // Whether a run of the request may be about to fail as those before.
    [[nodiscard]] bool isOnTrial(std::uint64_t content, const request_failures &value, time_point now) const;
    [[nodiscard]] bool hasFailures(std::uint64_t content) const;
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
    std::chrono::milliseconds m_survivalTime; // After which an endpoint that is still listed has survived a run.
    internal::open_runs m_runs;
    internal::survivals m_survivals;
    std::vector<run_report> m_reports;
    std::vector<run_report> m_firstReports; // Not yet taken.
    std::set<std::uint64_t> m_refuted; // Not yet taken.
    std::vector<queued_notice> m_unprovenEnds; // Not yet taken.
    std::vector<queued_notice> m_suspectRuns; // Not yet taken.
    std::set<std::uint64_t> m_changed; // Requests that takeChanges() looks at.
    std::vector<block_change> m_forgotten; // Blocked requests that were forgotten since takeChanges().
    std::set<std::uint64_t> m_unstored;
};

} // namespace jackdawpick::crashes
