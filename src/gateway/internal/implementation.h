#pragma once

// The state and the event handlers of the gateway, grouped by file: requests.cc (arrival, refusal, completion),
// tenant_keys.cc (whose requests they are), budgets.cc (reservations), settlements.cc (what they were used for),
// turns.cc (histories), text_memory.cc (what these take of the
// memory), turn_writes.cc (their records), segment_writes.cc (of long ones), turn_trimming.cc (deletion of
// these), dispatching.cc (endpoints), program_admission.cc (whether these have room), quotas.cc (of tenants),
// endpoint_limits.cc (their rate limits), endpoint_leaving.cc (those that leave), relaying.cc (paths to them, dispatch
// through peers), crash_reports.cc (requests that crash endpoints), crash_records.cc (their records), platform_state.cc
// (store, watches, reports), daemon_records.cc (the records of the daemons), peer_links.cc (the links to them),
// shutdown.cc (readiness and shutdown).

#include "admission/admission.h"
#include "bounded_map/bounded_map.h"
#include "gateway/gateway.h"
#include "gateway/internal/keyed_watch.h"
#include "gateway/internal/named_daemons.h"
#include "gateway/internal/peer_table.h"
#include "gateway/internal/record_write_schedule.h"
#include "gateway/internal/request_context.h"
#include "gateway/internal/settlement_state.h"
#include "gateway/internal/store_access.h"
#include "gateway/internal/trim_marks.h"
#include "limits/limits.h"
#include "programs/programs.h"
#include "reachability/reachability.h"

#include <array>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <set>

namespace jackdawpick::gateway
{

class gateway::implementation
{
public:
    explicit implementation(gateway_options options);

    std::vector<effect> handle(event input, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::vector<std::string> directory(std::string_view callerZone, time_point now) const;
    // Those that accept requests, this one included.
    [[nodiscard]] std::vector<internal::listed_daemon> readyDaemons(time_point now) const;
    [[nodiscard]] gateway_status status(time_point now) const;
    [[nodiscard]] std::string dump(time_point now) const;
    [[nodiscard]] std::size_t textBytes() const;

private:
    using request_context = internal::request_context;
    using request_phase = internal::request_phase;

    // The purpose of an append to, or a catch-up of, a partition.
    enum class ticket_use : std::uint8_t {
        History,
        WriteTurn,
        WriteSegment,
    };

    struct ticket_owner
    {
        caller_id caller{};
        ticket_use use{};
        std::size_t segment = 0;
    };

    // Events.
    void on(request_arrived &received, time_point now);
    void on(const caller_disconnected &received, time_point now);
    void on(response_head &received, time_point now);
    void on(const response_chunk &received, time_point now);
    void on(const dispatch_finished &received, time_point now);
    void on(const probe_finished &received, time_point now);
    void on(const store_replied &received, time_point now);
    void on(const link_opened &received, time_point now);
    void on(const link_message &received, time_point now);
    void on(const link_closed &received, time_point now);
    void on(const shutdown_requested &received, time_point now);
    void on(const tick &received, time_point now);

    // requests.cc
    [[nodiscard]] const routing::route *routeOf(const caller_request &request) const;
    void prepareRequest(request_context &context, time_point now);
    void refuseArrival(const request_arrived &received, result_code code,
                       std::optional<std::chrono::milliseconds> retryAfter);
    void refuseRequest(request_context &context, result_code code, std::optional<std::chrono::milliseconds> retryAfter,
                       time_point now);
    void finishRequest(request_context &context, std::string_view outcome, time_point now);
    void expireRequests(time_point now);
    void expireRequest(request_context &context, time_point now);
    void breakOff(request_context &context, result_code code, std::string_view outcome, time_point now);
    [[nodiscard]] request_context *findRequest(caller_id id);
    void logRequest(log_level level, std::string_view name, const request_context &context,
                    std::vector<log_field> fields, time_point now);

    // tenant_keys.cc
    // The tenant of a request, or why it is refused. Without either the request needs no key.
    struct key_check
    {
        const routing::tenant *tenant = nullptr;
        std::optional<result_code> refusal;
    };

    [[nodiscard]] key_check checkKey(const caller_request &request, const routing::route &route, time_point now) const;
    [[nodiscard]] bool mayForwardCredentials(time_point now) const;
    [[nodiscard]] bool isKeyCheckValid(const request_context &context, time_point now) const;
    // How long ago the configuration in force was known to be the newest; nothing if it never was.
    [[nodiscard]] std::optional<std::chrono::milliseconds> configurationAge(time_point now) const;
    // Whether the configuration in force is new enough for requests with keys.
    [[nodiscard]] bool canCheckKeys(time_point now) const;
    void logKeyValidity(time_point now);
    static void assignTenant(request_context &context, const routing::tenant *tenant);

    // budgets.cc
    // Who waits for a reservation: a request of this daemon, or a request of a peer.
    struct reservation_requester
    {
        std::optional<caller_id> caller;
        link_id link{};
        std::uint64_t request = 0;
        std::string previousTurn;
    };

    // A message to a peer whose reply a request waits for.
    struct pending_peer_request
    {
        caller_id caller{};
        link_id link{};
        time_point sent;
        time_point deadline;
    };

    [[nodiscard]] static bool hasBudget(const request_context &context);
    void requestReservation(request_context &context, time_point now);
    [[nodiscard]] std::chrono::milliseconds decisionTimeout() const;
    void reserveLocally(const programs::reservation &reservation, const reservation_requester &requester,
                        time_point deadline, time_point now);
    bool processBudgetOutputs(time_point now);
    void onBudgetDecision(const programs::budget_response &response, time_point now);
    void logDecision(const programs::budget_response &response, time_point now);
    void onReservationDecided(request_context &context, const peers::budget_reply &reply, const std::string &decider,
                              time_point now);
    void onReservationDenied(request_context &context, const peers::budget_reply &reply, const std::string &decider,
                             time_point now);
    void on(link_id link, const peers::budget_request &message, time_point now);
    void on(link_id link, const peers::budget_reply &message, time_point now);
    void on(link_id link, const peers::budget_use &message, time_point now);
    void on(link_id link, const peers::turn_request &message, time_point now);
    void on(link_id link, const peers::turn_reply &message, time_point now);
    void abandonPeerRequests(link_id link, time_point now);
    void retryAbandonedPeerRequests(const std::function<bool(const pending_peer_request &)> &isAbandoned,
                                    time_point now);
    void tickBudgets(time_point now);
    void evictIdleBudgets(time_point now);
    [[nodiscard]] programs::unwritten_records unwrittenBudgetRecords() const;
    [[nodiscard]] std::optional<time_point> nextBudgetDeadline() const;
    // The live daemons, this one included, by their rendezvous hashes for the key, the largest first.
    [[nodiscard]] std::vector<std::string> rankedDaemons(const std::string &key, time_point now) const;
    // The first of these, without sorting the others.
    [[nodiscard]] std::string firstDaemon(const std::string &key, time_point now) const;
    [[nodiscard]] static std::string firstInRank(std::vector<std::string> names, const std::string &key);
    // The names with that of this daemon, unless it is shutting down and others are there.
    [[nodiscard]] std::vector<std::string> withSelf(std::vector<std::string> names) const;
    [[nodiscard]] static std::string rendezvousKeyOf(const store::partition &where);
    // Sorts daemons by their rendezvous hashes for the key, the largest first.
    static void sortByRendezvousWeight(std::vector<std::string> &daemons, const std::string &key);
    [[nodiscard]] std::vector<std::string> rankedDeciders(const store::partition &where, time_point now) const;
    [[nodiscard]] std::string turnHolder(const std::string &turn);
    programs::budget_partition &budgetsOf(const store::partition &where);

    // settlements.cc
    using turn_holder = internal::turn_holder;
    using sent_usage = internal::sent_usage;
    using settlement_check = internal::settlement_check;

    void settlePreviousTurn(request_context &context, time_point now);
    void settleReservation(request_context &context, bool holdsTurn, time_point now);
    void sendUsage(const peers::budget_use &use, const std::string &decider, time_point now);
    void recordUsage(const peers::budget_use &use, const std::string &holder, time_point now);
    void forgetOldUsages(time_point now);
    // The daemon is dead, or its link was closed: it may not have got the latest reports.
    void sendUsagesAgain(const std::string &lostDecider, time_point now);
    void checkSettlements(const programs::budget_response &denial, time_point now);
    void onSettlementRead(const std::string &program, bool readToEnd, time_point now);
    void finishSettlementCheck(const std::string &program, time_point now);

    // text_memory.cc
    [[nodiscard]] bool makeTextRoom(std::size_t more);
    [[nodiscard]] std::size_t bytesToWrite(const request_context &context) const;
    [[nodiscard]] static std::size_t bytesToReceive(const request_context &context, std::size_t historyBytes);
    // Returns false if the request was refused.
    [[nodiscard]] bool reserveTexts(request_context &context, std::size_t bytes, time_point now);
    static void countResponse(request_context &context);
    [[nodiscard]] shared_text shareRecord(request_context &context, std::string record);

    // turns.cc
    void resolveHistory(request_context &context, const std::string &holder, time_point now);
    void readHistoryFromStore(request_context &context, time_point now);
    void onHistoryPartitionRead(request_context &context, bool readToEnd, time_point now);
    void readChain(request_context &context, std::vector<programs::turn_location> places, time_point now);
    void readTurn(const request_context &context, std::size_t index, time_point now);
    [[nodiscard]] static bool canRepeatRead(const request_context &context, std::size_t index,
                                            const store::reply &result, time_point now);
    void onTurnRead(request_context &context, std::size_t index, const store::reply &result, time_point now);
    [[nodiscard]] bool isForgotten(const std::string &turn) const;
    void rewindEvictedTurns();
    void onTurnDelivered(const programs::turn &turn, const programs::turn_location &location, time_point now);
    void useHistory(request_context &context, rope history, programs::turn_chain chain, time_point now);
    void dispatchIfPrepared(request_context &context, time_point now);
    void startTurnWrite(request_context &context, time_point now);
    [[nodiscard]] bool reachesBackTooFar(const request_context &context, time_point now) const;
    [[nodiscard]] bool mayReachBackTooFar(const request_context &context) const;
    void writeTurn(request_context &context, time_point now);
    void writeTurnRecord(request_context &context, std::string text, time_point now);
    void onTurnWritten(request_context &context, const store::ticket_result &result, time_point now);
    void breakOffUnkept(request_context &context, time_point now);
    [[nodiscard]] std::uint32_t tokensPerEvent(const request_context &context) const;
    [[nodiscard]] std::uint32_t tokensDelivered(const request_context &context) const;
    [[nodiscard]] store::partition programPartition(const std::string &program) const;
    // A turn is stored in its primary partition, or in its fallback partition if the primary one could not be written.
    [[nodiscard]] store::partition turnPartition(const std::string &turn, bool fallback) const;
    [[nodiscard]] static store::partition turnPartitionAt(std::uint32_t topic, std::uint32_t part);
    [[nodiscard]] static programs::turn_location locationOf(const store::partition &where, std::uint64_t offset,
                                                            std::size_t bytes);
    void appendTurn(request_context &context, time_point now);
    [[nodiscard]] std::chrono::milliseconds primaryTimeout() const;
    [[nodiscard]] bool isFailing(const store::partition &where, time_point now) const;
    void markFailing(const store::partition &where, time_point now);

    // segment_writes.cc
    // The largest text of a turn or segment that is written in one record; the store accepts records of 256 KB.
    static constexpr std::size_t maxSegmentBytes = 160U << 10U;

    [[nodiscard]] static bool isSegmentId(std::string_view id);
    [[nodiscard]] static rope textToWrite(const request_context &context, bool rewrites);
    [[nodiscard]] static time_point segmentsDeadline(const request_context &context);
    [[nodiscard]] std::optional<time_point> segmentsDueAt(const request_context &context, time_point now) const;
    void planSegments(request_context &context, std::optional<time_point> when);
    void continueDueSegments(time_point now);
    [[nodiscard]] std::optional<time_point> nextSegments() const;
    void startSegments(request_context &context, bool rewrites, const rope &text, std::size_t bytes, time_point now);
    void appendSegment(const request_context &context, internal::segment &segment, time_point now);
    void retrySegments(request_context &context, time_point now);
    void onSegmentWritten(request_context &context, std::size_t number, const store::ticket_result &result,
                          time_point now);
    void onSegmentFailed(request_context &context, internal::segment &segment, const store::partition &where,
                         time_point now);
    void onAllSegmentsWritten(request_context &context, time_point now);
    void abandonSegments(request_context &context, time_point now);

    // turn_trimming.cc
    void updateTurnRetention(const routing::configuration &configuration);
    [[nodiscard]] std::chrono::milliseconds turnRetention() const;
    [[nodiscard]] std::chrono::milliseconds checkpointAge() const;
    [[nodiscard]] std::chrono::milliseconds turnKeepTime() const;
    [[nodiscard]] bool outlivesRetention(const programs::turn_chain &chain, time_point responseEnd) const;
    [[nodiscard]] std::vector<log_field> chainFields(const programs::turn_chain &chain, time_point now) const;
    void markTurnAppend(const store::partition &where, std::uint64_t end, time_point now);
    void tellTrimmers(const peers::turn_mark &mark, time_point now);
    void applyTurnMark(const peers::turn_mark &mark, time_point now);
    void on(link_id link, const peers::turn_mark &message, time_point now);
    void sendTurnMarks(link_id link, time_point now);
    void trimDuePartitions(time_point now);
    [[nodiscard]] std::optional<time_point> nextTrimCheck() const;
    void complete(const internal::trim_owner &owner, const store::reply &result, time_point now);
    void markFullPartitions(time_point now);
    void readPartitionEnd(const store::partition &where, std::uint64_t from, time_point now);
    void complete(const internal::partition_end_owner &owner, const store::reply &result, time_point now);

    // dispatching.cc
    void dispatch(request_context &context, time_point now);
    bool refuseIfBlocked(request_context &context, time_point now);
    void sendToEndpoint(request_context &context, const fleet::placement &chosen, time_point now);
    [[nodiscard]] endpoint_calls::endpoint_request
    endpointRequestFor(const request_context &context, const fleet::placement &chosen, time_point now) const;
    void releaseEndpoint(request_context &context, fleet::request_outcome outcome, time_point now);
    void onRejected(request_context &context, const endpoint_calls::endpoint_head &head, time_point now);
    void startForwarding(request_context &context, endpoint_calls::endpoint_head &head, time_point now);
    void startResponse(request_context &context, endpoint_calls::endpoint_head &head);
    void forwardBuffered(request_context &context, time_point now);
    [[nodiscard]] bool exceedsTurn(const request_context &context) const;
    void forwardEvents(request_context &context, const std::string &bytes, time_point now);
    [[nodiscard]] static bool isBrokenOff(const request_context &context);
    void onResponseComplete(request_context &context, time_point now);
    // Where a dispatch failed.
    enum class failure_site : std::uint8_t {
        Endpoint,
        Response, // The endpoint responds, but with what must not be passed on.
        Path, // To the endpoint, or the peer that was to send it; no evidence about the endpoint.
    };

    void onDispatchFailed(request_context &context, dispatch_outcome outcome, failure_site where, time_point now);
    [[nodiscard]] bool canRetry(const request_context &context, time_point now) const;
    [[nodiscard]] static admission::turn_urgency urgencyOf(const request_context &context);
    [[nodiscard]] fleet::placement_request placementRequestFor(const request_context &context) const;

    // program_admission.cc
    [[nodiscard]] admission::admission_input admissionInputFor(const request_context &context, time_point now) const;
    // Each refuses the request, or lets it wait, if it must not be sent now; returns whether it is admitted.
    [[nodiscard]] bool admit(request_context &context, time_point now);
    [[nodiscard]] bool admitWithoutRoom(request_context &context, time_point now);
    void refuseProgram(request_context &context, const admission::admission_input &input,
                       const admission::admission_decision &decision, time_point now);
    [[nodiscard]] std::vector<service_utilisation> utilisations(time_point now) const;

    // endpoint_limits.cc
    void recordLimit(const request_context &context, std::optional<double> rate, time_point now);
    void applyLimitReports(const std::string &peer, const std::vector<limits::limit_report> &reports, time_point now);
    void evictExpiredLimits(time_point now);
    void useLimitOf(const std::string &endpoint);
    // Asks for permission to send the request to an endpoint with a rate limit. Returns whether it may be sent now;
    // otherwise the request goes on when the answer arrives.
    bool acquirePermit(request_context &context, const fleet::placement &chosen, time_point now);
    void onPermitDecided(request_context &context, const limits::permit_decision &decision, time_point now);
    void onPermitUnanswered(request_context &context, time_point now);
    void onPermitDenied(request_context &context, const std::string &endpoint, std::chrono::milliseconds retryAfter,
                        time_point now);
    void waitForPermit(request_context &context, time_point availableAt, time_point now);
    [[nodiscard]] limits::permit_decision issuePermit(const std::string &endpoint, double reserve, time_point now);
    void dispatchWaiting(time_point now);
    [[nodiscard]] std::optional<time_point> nextWaitingDispatch() const;
    void assignPermits(time_point now);
    // The daemon that issues the permits of the endpoint: all daemons with the same view of the others name the same.
    [[nodiscard]] std::string permitIssuerOf(const std::string &endpoint, time_point now) const;
    void on(link_id link, const peers::permit_request &message, time_point now);
    void on(link_id link, const peers::permit_reply &message, time_point now);

    // quotas.cc
    void applyQuotas(const routing::configuration &configuration, time_point now);
    void rankQuotaIssuers(time_point now);
    // Returns whether a store call was started.
    bool pollQuotaLeases(time_point now);
    void applyLeaseChanges(std::uint32_t number, time_point now);
    void resumeQuotas(time_point now);
    // Returns nothing if this daemon does not issue the permits of the tenant.
    [[nodiscard]] std::optional<quotas::permit_grant> issueQuota(const std::string &tenant,
                                                                 const quotas::permit_request &asked, time_point now);
    [[nodiscard]] std::optional<unsigned> quotaLineDue(const std::string &tenant, std::string_view outcome,
                                                       std::chrono::milliseconds interval, time_point now);
    [[nodiscard]] bool knowsQuotas(const std::string &daemon, time_point now) const;
    [[nodiscard]] std::string knownHolder(const internal::quota_group &group, time_point now) const;
    [[nodiscard]] std::uint32_t quotaGroupOf(const std::string &tenant) const;
    // Asks for a permit if the tenant of the request has a limit. Returns false if the request was refused.
    [[nodiscard]] bool requestQuota(request_context &context, time_point now);
    [[nodiscard]] bool askForQuota(request_context &context, time_point now);
    [[nodiscard]] bool applyQuotaGrant(request_context &context, const quotas::permit_grant &grant, time_point sent,
                                       time_point now);
    static void useQuotaPermit(request_context &context, const quotas::permit &held, std::optional<double> pressure);
    [[nodiscard]] bool waitForQuota(request_context &context, std::chrono::milliseconds delay, time_point now);
    [[nodiscard]] bool endQuotaWait(request_context &context, time_point now);
    void continueWithQuota(request_context &context, time_point now);
    void returnQuotaPermit(request_context &context, time_point now);
    void addToQuotaStock(const std::string &tenant, std::size_t count, time_point validUntil, time_point now);
    void countQuota(std::string_view outcome);
    void tickQuotas(time_point now);
    void abandonQuotaRequests(link_id link, time_point now);
    void retryQuota(const std::vector<caller_id> &callers, time_point now);
    void evictIdleQuotas(time_point now);
    [[nodiscard]] std::optional<time_point> nextQuotaDeadline() const;
    [[nodiscard]] std::size_t quotaGroupsHeld(time_point now) const;
    [[nodiscard]] nlohmann::json dumpQuotas(time_point now) const;
    void on(link_id link, const peers::quota_request &message, time_point now);
    void on(link_id link, const peers::quota_reply &message, time_point now);
    void complete(const internal::quota_owner &owner, const store::reply &result, time_point now);

    // endpoint_leaving.cc
    void noteLeaving(const endpoint_calls::endpoint_incarnation &endpoint, const endpoint_calls::endpoint_head &head,
                     time_point now);
    void applyLeavingReports(const std::string &peer, const std::vector<endpoint_calls::endpoint_incarnation> &reports,
                             time_point now);
    void logLeaving(const endpoint_calls::endpoint_incarnation &endpoint, std::string_view source);

    // relaying.cc
    struct relay_choice
    {
        std::string peer;
        link_id link{};
    };

    // A dispatch that this daemon makes for a peer.
    struct relayed_dispatch
    {
        link_id link{};
        std::uint64_t request = 0; // Chosen by the peer.
        endpoint_calls::endpoint_incarnation endpoint;
        endpoint_calls::request_identity identity;
        std::size_t bytes = 0; // Of the response, passed on so far.
        std::uint16_t status = 0; // Of the response; 0 before it has begun.
        bool notExecuted = false; // The endpoint states that it did not run the request.
        bool endsWithConnection = false; // As in endpoint_head.
        text_reservation memory; // For the body of the request.
    };

    [[nodiscard]] bool needsRelay(const request_context &context) const;
    [[nodiscard]] std::optional<relay_choice> chooseRelay(const request_context &context, const std::string &zone,
                                                          time_point now) const;
    void cancelDispatch(const request_context &context);
    void onRelayLost(link_id link, time_point now);
    // The request whose response the peer on the link relays; null if there is none.
    [[nodiscard]] request_context *relayedRequest(link_id link, std::uint64_t id);
    void noteResponse(request_context &context, time_point now);
    // Pass a part of the response to a relayed request on to the peer that sent it.
    void relayHead(response_head &received, time_point now);
    void relayChunk(const response_chunk &received, time_point now);
    void relayEnd(const dispatch_finished &received, time_point now);
    void endRelayed(dispatch_id dispatch, dispatch_outcome outcome);
    void noteRelayedRunEnd(const relayed_dispatch &dispatch, dispatch_outcome outcome, time_point now);
    void on(link_id link, const peers::relayed_request &message, time_point now);
    void on(link_id link, const peers::relayed_head &message, time_point now);
    void on(link_id link, const peers::relayed_chunk &message, time_point now);
    void on(link_id link, const peers::relayed_end &message, time_point now);
    void on(link_id link, const peers::relayed_cancel &message, time_point now);
    void cancelRelayed(dispatch_id id, const relayed_dispatch &dispatch, time_point now);
    void cancelRelayedFor(link_id link, time_point now);
    void checkPaths(time_point now);
    void repeatUnanswered(time_point now);
    [[nodiscard]] bool isSilent(time_point now) const;

    // crash_reports.cc
    void on(link_id link, const peers::run_reports &message, time_point now);
    void noteRunFailure(const request_context &context, dispatch_outcome outcome, failure_site where, time_point now);
    void noteOutcomeUnknown(const endpoint_calls::request_identity &request,
                            const endpoint_calls::endpoint_incarnation &endpoint, time_point now);
    void logBroken(const std::vector<std::uint64_t> &contents, const std::string &endpoint, std::string_view evidence);
    // A response has ended and was passed on.
    void noteRunEnd(const request_context &context, time_point now);
    [[nodiscard]] bool holdsAllTokens(const request_context &context) const;
    void noteEndpointGone(const std::string &endpoint, crashes::gone_evidence evidence, time_point now);
    // Asks whether the endpoints are alive that have ended responses to the same request with their connections.
    void verifyUnprovenEnds(const request_context &context, time_point now);
    void onEndpointVerified(const endpoint_calls::endpoint_incarnation &endpoint, bool reached, time_point now);
    void sendUnprovenEnds(time_point now);
    void sendSuspectRuns(time_point now);
    void sendRunBackups(time_point now);
    void sendFirstReports(time_point now);
    void sendRefutations(time_point now);
    [[nodiscard]] std::optional<time_point> nextRunCheck() const;
    // Whether the endpoint is known to have been alive until now.
    [[nodiscard]] bool isKnownAlive(const endpoint_calls::endpoint_incarnation &endpoint, time_point now) const;
    void noteEndpointUnlisted(const std::string &endpoint, bool mayHaveExpired, time_point now);
    void noteUnlistedEndpoints(const std::set<std::string> &listed, bool mayHaveExpired, time_point now);
    void noteExpiredEndpoints(time_point now);
    void noteSenderLost(const std::string &daemon, time_point now);
    // Tells a peer that may have missed reports all that is known.
    void sendKnownCrashes(link_id link, time_point now);
    void applyRunReports(const std::vector<crashes::run_report> &reports, const std::string &source, time_point now);
    void logBlockChanges(std::string_view source);
    void tickCrashes(time_point now);

    // crash_records.cc
    // An empty value deletes the record.
    void writeCrashRecord(std::uint64_t content, std::string value, time_point now);
    // Writes all that is known of the request.
    void storeCrashes(std::uint64_t content, time_point now);
    void writeDueCrashRecords(time_point now);
    [[nodiscard]] std::optional<time_point> nextCrashWrite() const;
    // Returns whether the record, written later than the given time, is one of a request that crashes endpoints.
    bool applyCrashRecord(const store::record &record, time_point writtenAfter, time_point now);
    void evictCrashes(time_point now);

    // platform_state.cc
    void on(link_id link, const peers::hello &message, time_point now);
    void on(link_id link, const peers::heartbeat &message, time_point now);
    void on(link_id link, const peers::store_request &message, time_point now);
    void on(link_id link, const peers::store_response &message, time_point now);
    void startStoreCall(internal::store_call_owner owner, store::call call, time_point now);
    void processInternalOutputs(time_point now);
    void onCompletion(const internal::store_completion &done, time_point now);
    void complete(const internal::partition_log_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::budget_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::watch_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::turn_read_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::registration_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::probe_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::crash_record_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::gone_daemon_owner &owner, const store::reply &result, time_point now);
    void complete(const internal::peer_owner &owner, const store::reply &result, time_point now);
    void onLogOutput(store::start_call &output, time_point now);
    void onLogOutput(const store::deliver_records &output, time_point now);
    void onLogOutput(const store::ticket_result &output, time_point now);
    void applyConfiguration(std::string_view text, time_point now);
    void applyEndpoints(const internal::watch_update &update, time_point now);
    void applyDaemons(const internal::watch_update &update, time_point now);
    void applyConnectionLimits(time_point now);
    [[nodiscard]] bool entriesMayHaveExpired(const internal::watch_update &update, time_point now) const;
    [[nodiscard]] bool storeAvailable(time_point now) const;
    [[nodiscard]] std::optional<link_id> relayLink(time_point now) const;
    void startDueStoreCalls(time_point now);
    // daemon_records.cc
    void registerSelf(time_point now);
    void onDaemonRemoved(const std::string &name, time_point now);
    void removeGoneDaemons(time_point now);
    void tickPeers(time_point now);
    void requestHeartbeat(internal::peer_table::urgency due);
    void logPeerChanges(const std::vector<internal::peer_table::liveness_change> &changes, time_point now);
    // This process has not run for some time: what it was allowed to do then may not be allowed any more.
    void onResumed(std::chrono::milliseconds pause, time_point now);
    void tickShutdown(time_point now);
    [[nodiscard]] bool refusesArrivals(time_point now) const;
    void endOpenRequests(time_point now);
    [[nodiscard]] bool hasOpenWork() const;
    [[nodiscard]] std::optional<time_point> nextShutdownStep() const;
    [[nodiscard]] std::vector<held_state> heldState() const;
    [[nodiscard]] peers::heartbeat ownHeartbeat(time_point now) const;
    void updateStoreState(time_point now);
    void log(log_level level, std::string_view name, std::vector<log_field> fields);
    [[nodiscard]] double random() const;

    gateway_options m_options;
    mutable std::mt19937_64 m_random;
    std::vector<effect> m_effects;

    std::shared_ptr<const routing::route_table> m_table;
    fleet::endpoint_pool m_pool;
    admission::arrival_mix m_firstTurns;
    crashes::crash_tracker m_crashes;
    internal::record_write_schedule m_crashWrites; // Of the records of requests that crash endpoints.
    std::map<probe_id, endpoint_calls::endpoint_incarnation> m_verifications; // Probes of single endpoints.
    std::set<std::uint64_t> m_emptyCrashRecords; // Contents whose records in the store tell nothing any more.
    // Endpoints whose entries may only have expired, and when they are taken for gone.
    std::map<endpoint_calls::endpoint_incarnation, time_point> m_expiredEndpoints;
    std::map<std::uint64_t, time_point> m_refutations; // By content: when the others are told of its survivals.
    time_point m_runCheckAt{};
    time_point m_unprovenReportAt{};
    time_point m_crashCheckAt{};
    limits::limit_table m_limits;
    limits::permit_issuer m_permits;
    std::map<std::uint64_t, pending_peer_request> m_pendingPermits;
    // Requests that wait for a permit or for room at an engine, and when they are dispatched again.
    std::set<std::pair<time_point, caller_id>> m_waitingRequests;
    time_point m_assignPermitsAt{};
    store::partition_log m_log;
    std::map<store::partition, programs::budget_partition>
        m_budgets; // Partitions for which this daemon decides or has decided.
    std::multimap<std::string, reservation_requester> m_reservationRequesters; // By attempt.
    std::map<std::uint64_t, pending_peer_request> m_pendingReservations;
    std::map<std::uint64_t, pending_peer_request> m_pendingTurnRequests;
    std::deque<sent_usage> m_sentUsages; // Oldest first.
    std::map<std::string, settlement_check> m_settlementChecks; // By program.
    std::map<store::ticket_id, std::string> m_settlementReads; // Programs whose checks wait for these.
    std::uint64_t m_lastPeerRequest = 0;
    bounded_map<turn_holder> m_turnHolders; // By turn.
    text_account m_texts;
    programs::turn_cache m_turns;
    // The longest retention of any route of the configurations that were in force since the start.
    std::optional<std::chrono::milliseconds> m_longestRetention;
    internal::store_access m_store;
    internal::peer_table m_peers;
    std::array<internal::keyed_watch, 3> m_watches; // Indexed by internal::watch_id.
    time_point m_probeAt{};
    time_point m_registerAt{};
    bool m_registrationPending = false;
    unsigned m_failedRegistrations = 0; // In a row.
    time_point m_housekeepingAt{};
    bool m_storeSuspect = false; // The most recent direct calls failed.
    bool m_storeWasReachable = true; // The state that was last logged.
    bool m_keysWereChecked = true; // As before: whether requests with keys were served.
    // The state of this daemon changed; peers are told without delay.
    internal::peer_table::urgency m_heartbeatDue = internal::peer_table::urgency::Regular;

    std::map<caller_id, request_context> m_requests;
    std::set<std::pair<time_point, caller_id>> m_deadlines;
    std::map<dispatch_id, caller_id> m_dispatches;
    std::uint64_t m_lastDispatch = 0;
    std::map<dispatch_id, relayed_dispatch> m_relayed; // Made for peers.
    reachability::path_monitor m_paths;
    std::uint64_t m_lastProbe = 0;
    time_point m_lastHeardAt{}; // When anything was last received from an endpoint, without a peer between.
    time_point m_silenceCheckAt{};
    std::map<store::ticket_id, ticket_owner> m_tickets;
    std::set<std::pair<time_point, caller_id>> m_segmentsDue; // When requests go on writing segments.
    internal::trim_marks m_marks;
    time_point m_trimCheckAt{};
    time_point m_fullCheckAt{};
    std::uint32_t m_nextFullPartition = 0; // Of those that are considered while the store is full, the next one.
    std::map<store::partition, time_point> m_partitionBackoffUntil; // By primary partition of turns.

    internal::quota_state m_quotas;

    time_point m_lastRequestFinishedAt{};
    std::optional<time_point> m_shutdownBegan;
    bool m_stopped = false;
};

} // namespace jackdawpick::gateway
