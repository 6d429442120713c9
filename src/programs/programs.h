#pragma once

// Token budgets and finished turns of agent programs, as kept in the durable log.
//
// The reservations and settlements of a program are in one partition. Normally one daemon writes to it; each append is
// conditional on the partition ending at the offset up to which that daemon has read. Any daemon can therefore take
// over at any time without coordination.
//
//   budget_partition budgets({"programs-0", 3});
//   budgets.reserve({.program = "program-1", .attempt = "attempt-7", .tokens = 567, .budget = 4536}, deadline, now);
//   for (auto &output : budgets.takeOutputs()) { ... }     // budget_response, or a store call to start
//
// Each finished turn has one record, in the partition of its id, with the text that it adds to its conversation and the
// locations of the records that hold the text before it.
//
// Performs no I/O; thread-compatible.

#include "bounded_map/bounded_map.h"
#include "clock/clock.h"
#include "rope/rope.h"
#include "store/store.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace jackdawpick::programs
{

// Reserves `tokens` generated tokens of the program's budget, the most that the request may use.
struct reservation
{
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    std::uint32_t budget = 0; // Of the whole program.
    // Counts the records of the request that follow a written denial. The log holds it behind the id of the attempt, so
    // that earlier builds take the record for one of another request, and not for a copy of the denied one.
    std::uint32_t retry = 0;
    bool operator==(const reservation &) const = default;
};

// The tokens that a finished request has used; replaces its reservation.
struct settlement
{
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    bool operator==(const settlement &) const = default;
};

// Where a record of a turn lies in the log.
struct turn_location
{
    std::uint16_t topic = 0; // Number of the topic of turns.
    std::uint16_t part = 0;
    std::uint32_t bytes = 0; // Size of the record.
    std::uint64_t offset = 0;
    bool operator==(const turn_location &) const = default;
};

struct turn
{
    std::string id;
    std::string previous; // Id of the turn that it continues; empty if it begins its conversation.
    std::string text; // Input and output of this turn, or the whole history if there are no ancestors.
    std::vector<turn_location> ancestors; // Of the records that hold the history before this turn, oldest first.
    std::uint64_t historyHash = 0; // Of the whole history up to and including this turn.
    std::uint32_t tokens = 0; // That the turn has used of the budget of its program; 0 if unknown.
    bool operator==(const turn &) const = default;
};

// The records that together hold the history of a conversation up to and including a turn.
struct turn_chain
{
    std::vector<turn_location> records; // Oldest first; the last one is that of the turn itself.
    std::optional<time_point> began; // When the oldest one was written, or earlier; unset if unknown.
    std::uint32_t tokens = 0; // That the turn itself has used of the budget of its program; 0 if unknown.
    bool operator==(const turn_chain &) const = default;
};

// Joins the texts of the records of a chain, given oldest first, into the history up to and including the turn `id`.
// Empty unless the records are the complete chain of that turn. The account counts the texts.
[[nodiscard]] std::optional<rope> joinHistory(std::vector<turn> records, std::string_view id, text_account &account);
[[nodiscard]] std::uint64_t hashHistory(const rope &history);

using program_record = std::variant<reservation, settlement, turn>;

// Empty for a turn, which takes nothing of a budget.
[[nodiscard]] std::string_view programOf(const program_record &value);

[[nodiscard]] std::string encodeRecord(const program_record &value);
// Empty if the bytes are not a valid record.
[[nodiscard]] std::optional<program_record> decodeRecord(std::string_view bytes);

enum class reservation_state : std::uint8_t {
    Unknown, // No reservation of this request has been read.
    Granted,
    Denied,
};

struct budget_usage
{
    std::uint64_t spent = 0; // Settled tokens.
    std::uint64_t reserved = 0; // Granted and not yet settled.
};

// A granted reservation whose request has not reported what it used.
struct unsettled_reservation
{
    std::string attempt;
    std::uint32_t tokens = 0;
    time_point since; // When its record was applied.
    bool operator==(const unsettled_reservation &) const = default;
};

// State of all budgets, computed by applying the records of program partitions in order.
class budget_ledger
{
public:
    // A program without a new record for this long is evicted.
    static constexpr std::chrono::minutes idleRetention{10};

    // The records of a partition must be applied in log order. Turns are ignored.
    void apply(const program_record &value, time_point now);
    [[nodiscard]] reservation_state stateOf(const std::string &program, const std::string &attempt) const;
    // Tokens that the request takes of the budget: those reserved or, once it is settled, those used. 0 if denied or
    // unknown.
    [[nodiscard]] std::uint32_t tokensOf(const std::string &program, const std::string &attempt) const;
    [[nodiscard]] bool isSettled(const std::string &program, const std::string &attempt) const;
    // Whether a record of the request with this or a later retry has been applied.
    [[nodiscard]] bool isApplied(const reservation &value) const;
    // The retry of the next record of the request: one after that of a written denial, else 0.
    [[nodiscard]] std::uint32_t nextRetryOf(const std::string &program, const std::string &attempt) const;
    // Oldest first.
    [[nodiscard]] std::vector<unsettled_reservation> unsettledOf(const std::string &program) const;
    [[nodiscard]] budget_usage usageOf(const std::string &program) const;
    // The usage of the program if `records`, all of this program, were applied next.
    [[nodiscard]] budget_usage usageAfter(const std::string &program, std::span<const program_record> records) const;
    void evictIdle(time_point now);
    [[nodiscard]] std::size_t size() const;

private:
    struct attempt_state
    {
        std::uint32_t tokens = 0;
        bool granted = false;
        bool settled = false;
        std::uint32_t retry = 0; // Of the latest record.
        time_point since;
    };

    struct program_state
    {
        std::unordered_map<std::string, attempt_state> attempts;
        budget_usage usage;
        time_point lastRecord;
    };

    [[nodiscard]] const attempt_state *find(const std::string &program, const std::string &attempt) const;
    static void applyTo(program_state &program, const program_record &value, time_point now);
    static void reserve(program_state &program, const reservation &value, time_point now);
    static void settle(program_state &program, const settlement &value);

    std::unordered_map<std::string, program_state> m_programs;
};

enum class budget_call_id : std::uint64_t {};

struct start_budget_call
{
    budget_call_id id{};
    store::call call;
};

enum class budget_decision : std::uint8_t {
    Granted,
    Denied, // The budget has too few tokens left.
    Unavailable, // The partition could not be read or written in time.
};

[[nodiscard]] std::string_view nameOf(budget_decision value);

// What the decider knew about a program at the time of a decision.
struct budget_view
{
    std::uint64_t reservedWritten = 0; // Tokens of reservations in the log that have no settlement there.
    std::uint64_t reservedUnwritten = 0; // Tokens of reservations that are not known to be in the log.
    std::optional<time_point> confirmed; // When the view last included the end of the partition.
};

struct budget_response
{
    reservation request;
    budget_decision decision = budget_decision::Unavailable;
    budget_usage usage; // Of the program, at the time of the decision.
    budget_view view;
    // Of a denial: the reservations of the program without a settlement, oldest first.
    std::vector<unsettled_reservation> unsettled;
    // Those of them whose requests may have ended, as far as this daemon knows. The denial is not certain before their
    // turns were looked for: see budget_partition::reserveAgain().
    std::vector<std::string> uncertain;
};

// Records of budgets that are not known to be in the log; an append with them may be under way.
struct unwritten_records
{
    std::size_t reservations = 0;
    std::size_t settlements = 0;
    std::optional<time_point> oldest; // When the oldest of them was added.
};

using budget_output = std::variant<start_budget_call, budget_response>;

// Decides on reservations for the programs of one partition, and writes their records to it.
//
// A reservation is granted only after it is written, so that a crash loses no grant, and denied only because of written
// records: one that could not be written takes nothing of the budget. A denial names the reservations on which it rests
// and whose requests may have ended; the caller looks for their turns, settles those, and reserves again. Reservations
// that arrive during an append are written together in the next one. Settlements wait up to `batchingDelay` for a
// reservation to be written with.
class budget_partition
{
public:
    // The longest time that a settlement waits for a reservation to be appended with.
    static constexpr std::chrono::milliseconds batchingDelay{500};
    static constexpr std::chrono::milliseconds retryDelay{40};
    // Greatest age of the view of the partition on which a denial may be based.
    static constexpr std::chrono::milliseconds maxViewAge{300};
    // A partition is considered unavailable after `failuresUntilUnavailable` failed calls in a row over at least this
    // time. Requests are then answered with Unavailable at once, and each of them starts another attempt to read.
    static constexpr std::chrono::milliseconds unavailableAfter{250};
    static constexpr unsigned failuresUntilUnavailable = 2;

    // A reservation that this daemon has granted is taken for that of a request under way for this long. Afterwards, or
    // if another daemon has granted it, the request may have ended and its settlement may be lost.
    static constexpr std::chrono::milliseconds presumedOpenTime{1000};
    // How long a denial may rest on a reservation after its turn was looked for and not found; doubles with each look,
    // up to a minute.
    static constexpr std::chrono::milliseconds missingTurnTime{1000};
    // Turns that are looked for before one denial.
    static constexpr std::size_t maxUncertain = 8;

    explicit budget_partition(store::partition where);

    // Leads to a budget_response among the outputs, at the latest at the deadline. A request that was granted before is
    // granted again.
    void reserve(const reservation &request, time_point deadline, time_point now);
    // The turns of these requests of the program were looked for and do not exist; their reservations count.
    void onTurnsMissing(const std::string &program, const std::vector<std::string> &attempts, time_point now);
    // Reserves after a denial whose uncertain reservations were looked into. Reads the partition first.
    void reserveAgain(const reservation &request, time_point deadline, time_point now);
    // Replaces the reservation of a finished request by the tokens that it used. Waits up to `delay` for a reservation
    // to be appended with.
    void settle(const settlement &use, time_point now, std::chrono::milliseconds delay = batchingDelay);
    void onReply(budget_call_id id, const store::reply &result, time_point now);
    void tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    [[nodiscard]] std::vector<budget_output> takeOutputs();
    void evictIdle(time_point now);
    [[nodiscard]] budget_usage usageOf(const std::string &program) const; // Includes records that are not written yet.
    [[nodiscard]] bool hasUnwrittenRecords() const;
    // Whether the request was granted a reservation and no settlement of it is known.
    [[nodiscard]] bool isUnsettled(const std::string &program, const std::string &attempt) const;
    [[nodiscard]] unwritten_records unwrittenRecords() const;
    [[nodiscard]] budget_view viewOf(const std::string &program) const;
    [[nodiscard]] std::size_t programCount() const;

private:
    // A record that is to be appended to the partition.
    struct unwritten_record
    {
        program_record record;
        time_point since;
        time_point due; // When it is to be appended at the latest.
        std::optional<time_point> deadline; // Set for a reservation whose response is pending.
        // Set if an append with this record got no reply: the end of the partition on which it was conditional.
        std::optional<std::uint64_t> lostAppendAt;
    };

    struct pending_request
    {
        reservation request;
        time_point deadline;
    };

    // What this daemon knows of the request of a reservation beside the log.
    struct known_attempt
    {
        time_point certainUntil; // Until then a denial may rest on the reservation.
        unsigned looks = 0; // For its turn, which was not found.
    };

    [[nodiscard]] budget_usage certainUsageOf(const std::string &program) const;
    [[nodiscard]] bool isCertain(const std::string &program, const std::string &attempt, time_point now) const;
    [[nodiscard]] bool fits(const reservation &request) const;
    void deny(const reservation &request, time_point now);
    void grant(const reservation &request, time_point now);
    void decide(const pending_request &entry, time_point now);
    void withdraw(const settlement &use);
    void respond(const reservation &request, budget_decision decision);
    void respondToWritten(const unwritten_record &entry, time_point now);
    void decidePending(time_point now);
    void startAppend(time_point now);
    void startRead();
    void startRequiredRead();
    void onAppended(const store::appended &result, time_point now);
    void onRead(const store::records_read &result, time_point now);
    void removeWritten(time_point now);
    void returnToUnwritten(bool maybeExecuted);
    void forgetResolvedAppends();
    void expire(time_point now);
    [[nodiscard]] bool isWritten(const program_record &record) const;
    [[nodiscard]] bool isViewFresh(time_point now) const;
    [[nodiscard]] bool isUnavailable(time_point now) const;
    [[nodiscard]] std::optional<time_point> appendDue() const;

    store::partition m_where;
    budget_ledger m_ledger;
    std::uint64_t m_nextOffset = 0; // Offset after the last record read or written.
    std::optional<time_point> m_lastConfirmed; // When the view was last known to include the end of the partition.
    unsigned m_failures = 0; // Consecutive failed calls.
    time_point m_failingSince{};
    std::vector<unwritten_record> m_appending; // Records of the append under way; nothing else may remove them.
    std::vector<unwritten_record> m_unwritten; // Records of the next append, in append order.
    // Reservations that are no longer wanted but may still be written by an append without reply.
    std::vector<unwritten_record> m_abandoned;
    std::map<std::string, std::map<std::string, known_attempt>> m_attempts; // By program and attempt.
    std::vector<pending_request> m_pendingRequests; // Requests that wait for the partition to be read.
    std::uint64_t m_lastCall = 0;
    std::optional<budget_call_id> m_appendCall;
    std::optional<budget_call_id> m_readCall;
    bool m_readRequired = true; // No append may start before the partition has been read.
    std::optional<time_point> m_retryAt;
    std::vector<budget_output> m_outputs;
};

struct turn_cache_limits
{
    std::size_t textBytes = 4U << 20U; // Of histories; what several of them share counts once.
    std::size_t chainBytes = 4U << 20U; // Of ids, chains and all else beside the texts.
    std::chrono::milliseconds retention{300000}; // How long a chain is kept after it was added.
};

// Chains of finished turns in the log, and the histories of the most recently used ones.
class turn_cache
{
public:
    explicit turn_cache(const turn_cache_limits &limits);

    void add(const std::string &id, rope history, turn_chain chain, time_point now);
    // Adds a turn whose history is not known; has no effect on a turn that is known already.
    void addChain(const std::string &id, turn_chain chain, time_point now);
    // Null if the history is not cached. Valid until the next call of add().
    [[nodiscard]] const rope *find(const std::string &id);
    // Null if the turn is not known. Valid until the next call of another function.
    [[nodiscard]] const turn_chain *chainOf(const std::string &id);
    void evictExpired(time_point now);
    // Returns false if no history is cached.
    bool evictOldestText();
    // The records of turns that were evicted for lack of room, since the last call. They may still have to be found.
    [[nodiscard]] std::vector<turn_location> takeEvicted();
    [[nodiscard]] std::size_t textBytes() const;
    [[nodiscard]] std::size_t chainBytes() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t textCount() const;

private:
    struct entry
    {
        turn_chain chain;
        time_point added;
        std::optional<rope> history;
        std::list<std::string>::iterator position; // In m_byRecency, if there is a history.
    };

    void put(const std::string &id, entry value);
    void dropHistory(entry &value);
    void evictHistories();

    turn_cache_limits m_limits;
    segment_count m_texts; // Of the histories.
    bounded_map<entry> m_entries;
    std::list<std::string> m_byRecency; // Ids of turns with a cached history, most recently used first.
    std::vector<turn_location> m_evicted;
};

} // namespace jackdawpick::programs
