#pragma once

// State of the reducer and its parts. The dispatcher passes results from one sub-state to the next; its functions are
// grouped by file: calls.cc, log_flow.cc, peers.cc, queries.cc, dump.cc.

#include "config_log/config_log.h"
#include "core/core.h"
#include "scheduler/scheduler_options.h"

#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

namespace jackdawpick
{

enum class call_phase : std::uint8_t {
    AwaitingReservation, // Its reservation or intent is on its way to the log.
    Waiting, // In the scheduler.
    Running, // On an endpoint.
    AwaitingCommit, // Its settle record is on its way to the log.
};

[[nodiscard]] std::string_view nameOf(call_phase phase);

struct running_call
{
    std::uint64_t handle = 0;
    request_handle request{};
    bool hasCaller = true;
    call_request call;
    std::string peer; // Forwarded by this daemon.
    call_phase phase = call_phase::Waiting;
    rank_index rank = 0;
    std::string pool;
    token_count reserved = 0;
    token_count attainedService = 0;
    std::chrono::milliseconds endpointTimeout{0};
    time_point arrived;
    time_point deadline;
    std::uint64_t awaitedSequence = 0; // Of the own journal, in the phases that wait for it.
    dispatch_id dispatch{};
    endpoint_id endpoint{};
    time_point dispatchedAt;
    std::optional<time_point> firstTokenAt;
    token_count expectedCached = 0; // Best that any endpoint was believed to hold.
    std::vector<endpoint_id> tried;
    std::uint32_t attempts = 0;
    bool bytesOffered = false; // By any attempt.
    std::string text; // Streamed by the current attempt.
    usage used;
};

struct forwarded_call
{
    request_handle request{};
    std::string peer;
    time_point deadline; // The owner's answer counts as lost after this.
};

// A query or publication that is answered once a record is durable or a verdict is known.
struct pending_answer
{
    request_handle request{};
    nlohmann::json body;
    time_point deadline;
};

// Reads a program's history back from the journals, one turn record at a time, newest first.
struct history_read
{
    request_handle request{};
    program_key program;
    std::uint32_t settledTurn = 0;
    std::uint32_t turn = 0; // Expected next.
    std::string journal;
    log_offset offset = 0;
    std::vector<call_settled> turns;
    time_point deadline;
};

struct core::implementation
{
    explicit implementation(core_options settings);

    // ---- Events (one function an event type) ----
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
    [[nodiscard]] std::optional<refusal> prepare(const call_arrived &received, running_call &call);
    [[nodiscard]] std::optional<refusal> resolveTarget(running_call &call);
    [[nodiscard]] std::optional<refusal> mintId(running_call &call);
    [[nodiscard]] std::optional<refusal> checkLog(const accepted_call &accepted) const;
    [[nodiscard]] call_limits limitsFor(const running_call &call) const;
    [[nodiscard]] waiting_call waitingCall(const running_call &call) const;
    void refuseByLedger(const running_call &call, const refusal &reason);
    void replay(const running_call &call, const replayed_call &stored);
    void start(running_call call, const accepted_call &accepted);
    void enqueue(running_call &call);
    void assign();
    void dispatch(running_call &call, const assignment &next);
    void settle(running_call &call, const call_result &result);
    void settleNotRun(running_call &call, token_count spent);
    [[nodiscard]] std::vector<std::string> holdersOf(const running_call &call) const;
    void succeed(running_call &call, std::string answer);
    void finish(running_call &call, bool durable);
    void refuseCall(running_call &call, refusal reason); // Answers and forgets the call; it is settled already.
    void fail(running_call &call, const endpoint_failure &failure);
    void retryOrFail(running_call &call, const endpoint_failure &failure);
    void stopDispatch(running_call &call);
    void cancelRunning(running_call &call);
    void expireWaiting();
    void expireDeadlines();
    void passDeadline(running_call &call);
    void abandonShard(shard_index shard);
    void confirm(std::uint64_t sequence);
    void finishWithoutLog();
    running_call *byDispatch(dispatch_id id, const std::string &requestId);
    void forget(running_call &call);
    void refuseRequest(request_handle request, refusal reason, const std::string &rank = {},
                       const std::string &pool = {});

    // ---- log_flow.cc ----
    std::uint64_t journalRecords(std::vector<log_record> records); // Sequence of the last one.
    void pollLog();
    void onJournal(const std::vector<stream_record> &records);
    void openShards();
    void onConfiguration(const std::vector<stream_record> &records);
    [[nodiscard]] bool logDown() const;
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
    void endpointLeaving(const std::string &endpoint);
    void quarantined(const std::vector<digest> &contents);
    void maintainMembership();
    void maintainShards();
    void giveUpShards(std::vector<shard_index> shards);
    void progressDrain();

    // ---- queries.cc ----
    void answerStatus(const program_queried &query, const program_state &state);
    void startHistory(const program_queried &query, const program_state &state);
    void continueHistory(std::uint64_t tag, const read_result &result);
    void answerHistory(const history_read &read);
    void closeByRequest(const program_queried &query);
    void closeProgram(const program_key &key, close_reason reason);
    void releaseIfGone(const program_key &key, const std::string &endpoint);
    void releaseUnclaimed(shard_index shard);
    void releaseCaches(const program_key &key, const std::vector<std::string> &holders);
    [[nodiscard]] std::vector<std::string> resolveHolders(const std::vector<std::string> &holders) const;
    void answer(request_handle request, const nlohmann::json &body, std::uint16_t httpStatus = 200);
    void expireAnswers();
    void expireForwards();
    void publicationDecided(const publication_outcome &outcome);

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
    effects out;

    log_stream journal;
    log_stream ownershipStream;
    log_stream configurationStream;
    config_log configurations;
    membership members;
    ownership owners;
    ledger programs;
    endpoint_table table;
    cache_directory caches;
    scheduler queue;

    std::unordered_map<std::uint64_t, running_call> calls;
    std::unordered_map<request_handle, std::uint64_t> callByRequest;
    std::unordered_map<dispatch_id, std::uint64_t> callByDispatch;
    std::unordered_map<program_key, std::uint64_t> callByProgram;
    std::multimap<std::uint64_t, std::uint64_t> callBySequence; // Waiting for a record of the own journal.
    std::set<std::pair<time_point, std::uint64_t>> deadlines; // Of calls.
    std::map<std::uint64_t, forwarded_call> forwards; // By id on the link.
    std::unordered_map<request_handle, std::uint64_t> forwardByRequest;
    std::multimap<std::uint64_t, pending_answer> answersBySequence;
    std::map<std::uint64_t, pending_answer> publications; // By publication number.
    std::map<std::uint64_t, history_read> historyReads; // By read tag.
    struct stored_cache
    {
        time_point at;
        program_key program;
        std::string endpoint;
    };
    // Cache events of shards that nobody served here, for the case that this daemon takes the shard over.
    std::deque<stored_cache> unclaimedCaches;
    struct program_span
    {
        time_point first; // Arrival of the first call.
        time_point last; // Last answer.
    };
    std::unordered_map<program_key, program_span> spans; // For the latency of whole programs.
    std::set<std::string> listedHosts;
    std::vector<member_identity> keptPeers;
    // What the last choice of shards was based on; it is made again when one of these changes.
    std::vector<member_identity> shardsChosenFor;
    log_offset shardsChosenAt = 0;
    time_point nextShardChoice;

    std::uint64_t lastHandle = 0;
    std::uint64_t lastDispatch = 0;
    std::uint64_t lastForward = 0;
    std::uint64_t lastReadTag = 0;
    std::uint64_t lastMinted = 0;
    std::uint64_t eventsSeen = 0;
    std::uint64_t dispatchesToLeaving = 0; // Invariant 8: stays 0.
    std::uint64_t repeatedDispatches = 0; // Invariant 7: stays 0.
    std::uint64_t falseNotRun = 0; // Invariant 6: stays 0.
    log_offset highestVersion = 0; // Invariant 10.
    bool versionReverted = false;
    bool configurationEstablished = false;
    bool ownershipEstablished = false;
    bool drain = false;
    bool drainReported = false;
    bool outageReported = false;
    time_point drainDeadline;
    time_point nextMaintenance;
    time_point journalReadSent; // When the last read of the own journal was sent.
    time_point journalReadAt; // When the last answered one was sent.
    core_counters counters;
};

} // namespace jackdawpick
