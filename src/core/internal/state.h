#pragma once

// State of the reducer. Its member functions pass results from one component to the next and are grouped by file:
// calls.cc, call_failures.cc, log_streams.cc, peers.cc, queries.cc, dump.cc.

#include "config_log/config_log.h"
#include "core/core.h"
#include "scheduler/scheduler_options.h"

#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

namespace jackdawpick
{

enum class call_phase : std::uint8_t {
    AwaitingReservation, // Its reservation or intent is being written to the log.
    Waiting, // Queued in the scheduler.
    Running, // On an endpoint.
    AwaitingCommit, // Its settle record is being written to the log.
};

[[nodiscard]] std::string_view nameOf(call_phase phase);

struct running_call
{
    std::uint64_t handle = 0;
    request_handle requestHandle{};
    bool hasCaller = true;
    call_request request;
    std::string peer; // The daemon that forwarded the call; empty if it came from a caller.
    call_phase phase = call_phase::Waiting;
    rank_index rank = 0;
    std::string pool;
    token_count reserved = 0;
    token_count attainedService = 0;
    std::chrono::milliseconds endpointTimeout{0};
    time_point arrived;
    time_point deadline;
    std::uint64_t awaitedSequence = 0; // Journal record to wait for in the Awaiting... phases.
    dispatch_id dispatch{};
    endpoint_id endpoint{};
    time_point dispatchedAt;
    std::optional<time_point> firstTokenAt;
    token_count expectedCachedTokens = 0; // Most prompt tokens that any endpoint was estimated to hold in its cache.
    std::vector<endpoint_id> triedEndpoints;
    std::uint32_t attempts = 0;
    bool bytesOffered = false; // Bytes were sent to an endpoint by any attempt.
    std::string text; // Text streamed by the current attempt; then the whole answer.
    usage used;
};

struct forwarded_call
{
    request_handle request{};
    std::string peer;
    time_point deadline; // The owner's answer is considered lost after this.
};

// A query or publication that is answered once its record is durable or its outcome is known.
struct pending_answer
{
    request_handle request{};
    nlohmann::json body;
    time_point deadline;
};

// Progress of reading a program's history from the journals, one turn record at a time, newest first.
struct history_read
{
    request_handle request{};
    program_key program;
    std::uint32_t settledTurn = 0;
    std::uint32_t turn = 0; // The next turn to read.
    std::string journal;
    log_offset offset = 0;
    std::vector<call_settled> turns;
    time_point deadline;
};

struct core::implementation
{
    explicit implementation(core_options settings);

    // ---- Events (one function per event type) ----
    void on(call_arrived &received);
    void on(caller_disconnected &received);
    void on(dispatch_progress &received);
    void on(dispatch_finished &received);
    void on(dispatch_failed &received);
    void on(append_finished &received);
    void on(read_finished &received);
    void on(host_list_received &received);
    void on(load_received &received);
    void on(cache_events_received &received);
    void on(release_finished &received);
    void on(peer_message_received &received);
    void on(peer_link_changed &received);
    void on(program_queried &received);
    void on(configuration_submitted &received);
    void on(drain_requested &received);
    void on(tick &received);

    // ---- calls.cc ----
    [[nodiscard]] std::optional<refusal> prepareCall(const call_arrived &received, running_call &call);
    [[nodiscard]] std::optional<refusal> resolveTarget(running_call &call);
    [[nodiscard]] std::optional<refusal> assignProgramId(running_call &call);
    [[nodiscard]] std::optional<refusal> checkLogAvailable(const accepted_call &accepted) const;
    [[nodiscard]] call_limits limitsFor(const running_call &call) const;
    [[nodiscard]] waiting_call waitingCall(const running_call &call) const;
    void refuseByLedger(const running_call &call, const refusal &reason);
    void replay(const running_call &call, const replayed_call &stored);
    void startCall(running_call call, const accepted_call &accepted);
    void enqueue(running_call &call);
    void assignWaitingCalls();
    void dispatch(running_call &call, const assignment &next);
    void settle(running_call &call, const call_result &result);
    void settleNotRun(running_call &call, token_count spent);
    [[nodiscard]] std::vector<std::string> holdersOf(const running_call &call) const;
    void succeed(running_call &call, std::string answer);
    void finishCall(running_call &call, bool durable);
    void refuseCall(running_call &call, refusal reason); // For a call that is already settled.
    void failCall(running_call &call, const endpoint_failure &failure);
    void retryOrFail(running_call &call, const endpoint_failure &failure);
    void cancelDispatch(running_call &call);
    void cancelRunning(running_call &call);
    void expireWaiting();
    void expireDeadlines();
    void handleDeadlineExceeded(running_call &call);
    void stopServingShard(shard_index shard);
    void onRecordsCommitted(std::uint64_t sequence);
    void finishCallsDuringOutage();
    running_call *findByDispatch(dispatch_id id, const std::string &requestId);
    void removeCall(running_call &call);
    void refuseRequest(request_handle request, refusal reason, const std::string &rank = {},
                       const std::string &pool = {});

    // ---- log_streams.cc ----
    std::uint64_t journalRecords(std::vector<log_record> records); // Returns the sequence number of the last one.
    void pollLog();
    void onJournal(const std::vector<stream_record> &records);
    void openShards();
    void onConfiguration(const std::vector<stream_record> &records);
    [[nodiscard]] bool logUnavailable() const;
    void renewRecords();

    // ---- peers.cc ----
    bool forward(const call_arrived &received, const shard_owner &owner);
    void on(const heartbeat &message, const std::string &peer);
    void on(const forward_chunk &message, const std::string &peer);
    void on(const forward_end &message, const std::string &peer);
    void on(const quarantine_notice &message, const std::string &peer);
    void on(const leaving_notice &message, const std::string &peer);
    void on(const configuration_hint &message, const std::string &peer);
    void notifyPeers(const peer_message &message, const std::vector<member_identity> &peers);
    void onEndpointLeaving(const std::string &endpoint);
    void onQuarantined(const std::vector<digest> &contents);
    void maintainMembership();
    void maintainShards();
    void releaseIdleShards(std::vector<shard_index> shards);
    void advanceDrain();

    // ---- queries.cc ----
    void answerStatus(const program_queried &query, const program_state &state);
    void startHistory(const program_queried &query, const program_state &state);
    void continueHistory(std::uint64_t tag, const read_result &result);
    void answerHistory(const history_read &read);
    void closeByRequest(const program_queried &query);
    void closeProgram(const program_key &key, close_reason reason);
    void releaseIfNotOpen(const program_key &key, const std::string &endpoint);
    void releaseUnownedCaches(shard_index shard);
    void releaseCaches(const program_key &key, const std::vector<std::string> &holders);
    [[nodiscard]] std::vector<std::string> resolveHolders(const std::vector<std::string> &holders) const;
    void answer(request_handle request, const nlohmann::json &body, std::uint16_t httpStatus = 200);
    void expireAnswers();
    void expireForwardedCalls();
    void onPublicationDecided(const publication_outcome &outcome);

    // ---- dump.cc ----
    [[nodiscard]] nlohmann::json dump(time_point when) const;
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::vector<std::string> sampledViolations() const;
    void checkInvariants();

    void emit(effect what);
    void log(log_level level, std::string name, std::vector<log_field> fields = {});
    void afterEvent();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    core_options options;
    time_point now;
    effects pendingEffects;

    log_stream journal;
    log_stream ownershipStream;
    log_stream configurationStream;
    config_log configurations;
    membership members;
    ownership owners;
    ledger programs;
    endpoint_table endpoints;
    cache_directory caches;
    scheduler queue;

    std::unordered_map<std::uint64_t, running_call> calls;
    std::unordered_map<request_handle, std::uint64_t> callByRequest;
    std::unordered_map<dispatch_id, std::uint64_t> callByDispatch;
    std::unordered_map<program_key, std::uint64_t> callByProgram;
    std::multimap<std::uint64_t, std::uint64_t> callBySequence; // Calls that wait for a journal record.
    std::set<std::pair<time_point, std::uint64_t>> deadlines; // Deadlines of calls.
    std::map<std::uint64_t, forwarded_call> forwardedCalls; // By id on the peer link.
    std::unordered_map<request_handle, std::uint64_t> forwardByRequest;
    std::multimap<std::uint64_t, pending_answer> answersBySequence;
    std::map<std::uint64_t, pending_answer> publications; // By publication number.
    std::map<std::uint64_t, history_read> historyReads; // By read tag.
    struct unowned_cache
    {
        time_point at;
        program_key program;
        std::string endpoint;
    };
    // Cache events of shards that this daemon did not serve, kept in case it takes the shard over.
    std::deque<unowned_cache> unownedCaches;
    struct program_times
    {
        time_point first; // Arrival of the first call.
        time_point last; // Last answer.
    };
    std::unordered_map<program_key, program_times> programTimes; // For the latency metric of whole programs.
    std::set<std::string> listedHosts;
    std::vector<member_identity> linkedPeers;
    // Inputs of the last shard choice; it is repeated when one of them changes.
    std::vector<member_identity> shardChoiceMembers;
    log_offset shardChoicePosition = 0;
    time_point nextShardChoice;

    std::uint64_t lastHandle = 0;
    std::uint64_t lastDispatch = 0;
    std::uint64_t lastForward = 0;
    std::uint64_t lastReadTag = 0;
    std::uint64_t lastProgramSequence = 0;
    std::uint64_t eventsSeen = 0;
    std::uint64_t dispatchesToLeaving = 0; // Must stay 0 (invariant 8).
    std::uint64_t repeatedDispatches = 0; // Must stay 0 (invariant 7).
    std::uint64_t falseNotRun = 0; // Must stay 0 (invariant 6).
    log_offset highestVersion = 0; // Highest configuration version so far (invariant 10).
    bool versionReverted = false;
    bool configurationEstablished = false;
    bool ownershipEstablished = false;
    bool drain = false;
    bool drainReported = false;
    bool outageReported = false;
    time_point drainDeadline;
    time_point nextMaintenance;
    time_point lastJournalReadSentAt; // When the last read of this daemon's journal was sent.
    time_point journalCurrentAsOf; // When the last successful read of this daemon's journal was sent.
    core_counters counters;
};

} // namespace jackdawpick
