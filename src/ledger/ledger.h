#pragma once

// The programs of the shards that this daemon serves: turns in order, history digests, budgets, leases and calls that
// run at most once. The ledger changes its state only together with the journal records that describe the change, so
// that a successor restores the same state from the journal.
//
//   ledger programs(options);
//   auto verdict = programs.check(call, limits, now);
//   if (auto *ok = std::get_if<accepted_call>(&verdict)) {
//       std::vector<log_record> records = programs.begin(*ok, now);   // submit to the journal
//       ...
//       log_record settled = programs.settle(key, result, now);       // submit, then answer once it is read back
//   }

#include "configuration/configuration.h"
#include "ownership/ownership.h"
#include "records/records.h"

#include <map>
#include <set>
#include <unordered_map>

namespace jackdawpick
{

struct ledger_options
{
    std::chrono::milliseconds closedMemory{3600000}; // A closed program is remembered this long, so that a late resend
                                                     // of its calls is not taken for a new program.
    std::chrono::milliseconds historyRewriteInterval{
        21600000}; // A program's whole history is written again after this long.
    std::chrono::milliseconds snapshotInterval{43200000}; // Full state is written again after this long.
    std::string receiptKey; // Receipts are neither issued nor accepted while empty.
};

// Limits and prices in force for one call, from the configuration.
struct call_limits
{
    rank_index rank = 0;
    token_count defaultBudget = 0;
    token_count maxBudget = 0;
    std::uint32_t maxTurns = 0;
    token_count maxHistoryTokens = 0;
    token_count serviceCost = 0;
    std::chrono::milliseconds programLease{0};
};

struct call_in_flight
{
    std::uint32_t turn = 0;
    std::uint32_t attempt = 0;
    std::string requestId;
    digest contentDigest = 0;
    token_count reserved = 0;
    token_count prompt = 0;
    token_count maxCompletion = 0;
    bool idempotent = true;
    std::vector<message> newMessages; // For the settle record.
    std::optional<history_step> sent; // History that was sent; nothing for a service call.
    std::uint32_t sentMessages = 0;
    bool rebased = false; // newMessages holds the whole history.
};

// A call that passed all checks. Valid until the ledger changes.
struct accepted_call
{
    program_key key;
    call_in_flight call;
    rank_index rank = 0;
    std::optional<program_state> open; // A program to open (or to adopt from a receipt) first.
    token_count carveFromParent = 0;
    bool needsDurableReservation = true;
    token_count attainedService = 0; // Of the root program.
};

// The settled turn is repeated: the stored answer is given again.
struct replayed_call
{
    program_key key;
    std::uint32_t turn = 0;
    std::string answer;
};

using call_verdict = std::variant<accepted_call, replayed_call, refusal>;

// How a call ended. `outcome` NotRun leaves the turn open for another attempt.
struct call_result
{
    execution outcome = execution::Ran;
    token_count tokensSpent = 0; // At most the reservation; more is cut.
    token_count computedTokens = 0; // Counts for the order of calls.
    std::string answer;
    std::vector<std::string> cacheHolders; // Endpoints that hold cache of the program from now on, in addition.
};

struct closed_program
{
    program_key key;
    std::vector<std::string> cacheHolders;
    std::vector<log_record> records;
};

class ledger
{
public:
    explicit ledger(ledger_options options);

    // Takes over the programs of a shard. Returns records that settle what previous owners left open.
    [[nodiscard]] std::vector<log_record> openShard(const opened_shard &shard, duration programLease, time_point now);
    // Forgets all programs of the shard.
    void dropShard(shard_index shard);

    // Decides on a call without changing anything.
    [[nodiscard]] call_verdict check(const call_request &call, const call_limits &limits, time_point now) const;
    // Marks the call as in flight; the records are to be submitted in this order.
    [[nodiscard]] std::vector<log_record> begin(const accepted_call &accepted, duration programLease, time_point now);
    // Ends the call in flight and reserves ahead for the next one.
    [[nodiscard]] call_settled settle(const program_key &key, const call_result &result, time_point now);
    // The settle record of `turn` was read back at `offset` of `journal`.
    void confirmTurn(const program_key &key, std::uint32_t turn, const std::string &journal, log_offset offset);
    // Closes the program and its sub-agents; none may have a call in flight.
    [[nodiscard]] std::vector<closed_program> close(const program_key &key, close_reason reason, time_point now);
    // The endpoint acknowledged the release of the program's cache.
    [[nodiscard]] std::optional<log_record> cacheReleased(const program_key &key, const std::string &endpoint);

    // Receipt for the settled turn, signed; empty without a key.
    [[nodiscard]] std::string receiptFor(const program_key &key, fence token) const;

    // Programs whose lease has passed, for the caller to close(); those with a call in flight get a new lease.
    [[nodiscard]] std::vector<program_key> takeExpiredLeases(time_point now);
    // Snapshots that are due so that the state outlives the log's retention.
    [[nodiscard]] std::vector<log_record> dueSnapshots(std::size_t limit, time_point now);
    void evictClosedPrograms(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] const program_state *find(const program_key &key) const;
    [[nodiscard]] bool turnConfirmed(const program_key &key) const; // The settled turn was read back from the journal.
    [[nodiscard]] const call_in_flight *inFlight(const program_key &key) const;
    // The program and its sub-agents that have a call in flight.
    [[nodiscard]] std::vector<program_key> busyProgramsInTree(const program_key &key) const;
    [[nodiscard]] std::vector<program_key> programsOf(shard_index shard) const;
    [[nodiscard]] bool hasCallInFlight(shard_index shard) const; // Some call of the shard is in flight.
    [[nodiscard]] std::size_t size() const;
    void forEach(const std::function<void(const program_state &, const call_in_flight *)> &visit) const;
    // Descriptions of violated invariants; empty when all hold.
    [[nodiscard]] std::vector<std::string> violations() const;
    // The invariants of one program only.
    [[nodiscard]] std::vector<std::string> violations(const program_key &key) const;

private:
    struct live_program
    {
        program_state state;
        std::optional<call_in_flight> call;
        duration lease{};
        time_point leaseEnd;
        time_point snapshotAt;
        time_point historyBaseAt;
        bool turnConfirmed = true; // lastTurnOffset refers to settledTurn.
        std::vector<program_key> children;
    };

    [[nodiscard]] const live_program *lookUp(const program_key &key) const;
    [[nodiscard]] call_verdict checkExisting(const live_program &program, const call_request &call,
                                             const call_limits &limits, time_point now) const;
    [[nodiscard]] call_verdict checkNew(const call_request &call, const call_limits &limits, time_point now) const;
    [[nodiscard]] call_verdict checkRepeat(const live_program &program, const call_request &call) const;
    [[nodiscard]] std::optional<program_state> adopt(const call_request &call, shard_index shard,
                                                     const program_state *known) const;
    [[nodiscard]] call_verdict acceptTurn(const program_state &state, const call_request &call,
                                          const call_limits &limits, bool rebase) const;
    [[nodiscard]] token_count rootAttained(const program_state &state) const;
    live_program &insert(program_state state, duration lease, time_point now);
    void addAttained(const program_state &state, token_count computed);
    void returnToParent(const live_program &child, std::vector<log_record> &records);
    void renewLease(live_program &program, time_point now);
    void closeOne(live_program &program, close_reason reason, time_point now, std::vector<closed_program> &closed);

    ledger_options m_options;
    std::unordered_map<program_key, live_program> m_programs;
    std::map<shard_index, std::set<program_key>> m_byShard;
    std::map<shard_index, fence> m_fences; // Under which this daemon serves the shard.
    std::set<std::pair<time_point, program_key>> m_leases; // Open programs by lease end.
    std::set<std::pair<time_point, program_key>> m_snapshots; // By the time the next snapshot is due.
    std::set<std::pair<time_point, program_key>> m_closed; // Closed programs by the time they are forgotten.
};

} // namespace jackdawpick
