#pragma once

// Keeps the state of the programs in the shards that this daemon serves: order of turns, history digests, budgets,
// leases and at-most-once execution of calls. Every change of state comes with the journal records that describe it,
// so that the next owner of a shard restores the same state from the journal.
//
//   ledger programs(options);
//   auto decision = programs.check(call, limits, now);
//   if (auto *ok = std::get_if<accepted_call>(&decision)) {
//       std::vector<log_record> records = programs.begin(*ok, now);   // submit to the journal
//       ...
//       log_record settled = programs.settle(key, result, now);       // submit; respond once it is read back
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
    // A closed program stays in memory this long, so that a late resend of its calls does not open a new program.
    std::chrono::milliseconds closedProgramRetention{3600000};
    // A program's whole history is written again after this long, before its first records expire.
    std::chrono::milliseconds historyRewriteInterval{21600000};
    std::chrono::milliseconds snapshotInterval{43200000}; // A program's full state is written again after this long.
    std::string receiptKey; // If empty, receipts are neither issued nor accepted.
};

// Limits and costs that the configuration sets for one call.
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
    std::vector<message> newMessages; // Written with the call_settled record.
    std::optional<history_step> sent; // End of the history that was sent; empty for a service call.
    std::uint32_t sentMessages = 0;
    bool historyRewritten = false; // newMessages holds the whole history, not only its new part.
};

// A call that passed all checks. Valid until the next change of the ledger.
struct accepted_call
{
    program_key key;
    call_in_flight call;
    rank_index rank = 0;
    std::optional<program_state> open; // New program, or one restored from a receipt, to open first.
    token_count delegatedFromParent = 0;
    bool needsDurableReservation = true;
    token_count attainedService = 0; // Of the root program.
};

// The call repeats the last settled turn and gets the stored answer.
struct replayed_call
{
    program_key key;
    std::uint32_t turn = 0;
    std::string answer;
};

using call_decision = std::variant<accepted_call, replayed_call, refusal>;

// How a call ended. If `outcome` is NotRun, the turn may be attempted again.
struct call_result
{
    execution outcome = execution::Ran;
    token_count tokensSpent = 0; // Clamped to the reservation.
    token_count computedTokens = 0; // Added to the attained service, by which calls are ordered.
    std::string answer;
    std::vector<std::string> cacheHolders; // Endpoints that now also hold cached prefixes of the program.
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

    // Loads the programs of a shard that was taken over. Returns records that settle the calls which previous owners
    // left unsettled.
    [[nodiscard]] std::vector<log_record> openShard(const opened_shard &shard, duration programLease, time_point now);
    // Removes all programs of the shard from memory.
    void dropShard(shard_index shard);

    // Decides whether the call may run. Changes nothing.
    [[nodiscard]] call_decision check(const call_request &call, const call_limits &limits, time_point now) const;
    // Marks the call as in flight. The records must be submitted in the order returned.
    [[nodiscard]] std::vector<log_record> begin(const accepted_call &accepted, duration programLease, time_point now);
    // Ends the call in flight and reserves tokens for the next one.
    [[nodiscard]] call_settled settle(const program_key &key, const call_result &result, time_point now);
    // The settle record of `turn` was read back at `offset` of `journal`.
    void confirmTurn(const program_key &key, std::uint32_t turn, const std::string &journal, log_offset offset);
    // Closes the program and its sub-agents; none may have a call in flight.
    [[nodiscard]] std::vector<closed_program> close(const program_key &key, close_reason reason, time_point now);
    // The endpoint acknowledged the release of the program's cache.
    [[nodiscard]] std::optional<log_record> cacheReleased(const program_key &key, const std::string &endpoint);

    // Signed receipt for the settled turn; empty without a receipt key.
    [[nodiscard]] std::string receiptFor(const program_key &key, fence token) const;

    // Programs whose lease has expired, for the caller to close(). All expired leases are renewed, so that a program
    // with a call in flight stays open and a program that is not closed is returned again later.
    [[nodiscard]] std::vector<program_key> takeExpiredLeases(time_point now);
    // Up to `limit` snapshots that are due. They preserve the state beyond the log's retention.
    [[nodiscard]] std::vector<log_record> dueSnapshots(std::size_t limit, time_point now);
    void evictClosedPrograms(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] const program_state *find(const program_key &key) const;
    [[nodiscard]] bool turnConfirmed(const program_key &key) const; // The settled turn was read back from the journal.
    [[nodiscard]] const call_in_flight *inFlight(const program_key &key) const;
    // The program and its sub-agents that have a call in flight.
    [[nodiscard]] std::vector<program_key> busyProgramsInTree(const program_key &key) const;
    [[nodiscard]] std::vector<program_key> programsOf(shard_index shard) const;
    // Whether any program of the shard has a call in flight.
    [[nodiscard]] bool hasCallInFlight(shard_index shard) const;
    [[nodiscard]] std::size_t size() const;
    void forEach(const std::function<void(const program_state &, const call_in_flight *)> &visit) const;
    // Descriptions of violated invariants; empty when all hold.
    [[nodiscard]] std::vector<std::string> violations() const;
    // The invariants of one program only.
    [[nodiscard]] std::vector<std::string> violations(const program_key &key) const;

private:
    struct program_entry
    {
        program_state state;
        std::optional<call_in_flight> call;
        duration lease{};
        time_point leaseEnd;
        time_point snapshotAt;
        time_point historyRewrittenAt;
        bool turnConfirmed = true; // lastTurnOffset refers to settledTurn.
        std::vector<program_key> children;
    };

    [[nodiscard]] const program_entry *findEntry(const program_key &key) const;
    [[nodiscard]] call_decision checkExisting(const program_entry &program, const call_request &call,
                                              const call_limits &limits, time_point now) const;
    [[nodiscard]] call_decision checkNew(const call_request &call, const call_limits &limits, time_point now) const;
    [[nodiscard]] call_decision checkRepeat(const program_entry &program, const call_request &call) const;
    [[nodiscard]] std::optional<program_state> stateFromReceipt(const call_request &call, shard_index shard,
                                                                const program_state *known) const;
    [[nodiscard]] call_decision acceptTurn(const program_state &state, const call_request &call,
                                           const call_limits &limits, bool rewriteHistory) const;
    [[nodiscard]] token_count rootAttainedService(const program_state &state) const;
    program_entry &insert(program_state state, duration lease, time_point now);
    void addServiceToAncestors(const program_state &state, token_count computed);
    void returnBudgetToParent(const program_entry &child, std::vector<log_record> &records);
    void renewLease(program_entry &program, time_point now);
    void closeTree(program_entry &program, close_reason reason, time_point now, std::vector<closed_program> &closed);

    ledger_options m_options;
    std::unordered_map<program_key, program_entry> m_programs;
    std::map<shard_index, std::set<program_key>> m_byShard;
    std::map<shard_index, fence> m_fences; // Fencing tokens under which this daemon serves the shards.
    std::set<std::pair<time_point, program_key>> m_leases; // Open programs by lease end.
    std::set<std::pair<time_point, program_key>> m_snapshots; // By the time the next snapshot is due.
    std::set<std::pair<time_point, program_key>> m_closed; // Closed programs by the time of their eviction.
};

} // namespace jackdawpick
