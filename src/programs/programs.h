#pragma once

// What the durable log keeps of agent programs: token budgets and finished turns.
//
// Each program has one partition with its reservations and settlements. One daemon at a time writes there, each append
// under the condition that the partition ends where that daemon has read it to; so any daemon may take over at any time
// without asking.
//
//   budget_partition budgets({"programs-0", 3});
//   budgets.reserve({.program = "program-1", .attempt = "attempt-7", .tokens = 567, .budget = 4536}, deadline, now);
//   for (auto &output : budgets.takeOutputs()) { ... }     // budget_response, or a store call to be made
//
// Each finished turn has one record in the partition of its id, with the whole text of its chain.
//
// Pure; thread compatible.

#include "clock/clock.h"
#include "store/store.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace jackdawpick::programs
{

// A request asks for at most `tokens` generated tokens of the budget of its program.
struct reservation
{
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    std::uint32_t budget = 0; // Of the whole program.
    bool operator==(const reservation &) const = default;
};

// What a request has used in the end; replaces its reservation.
struct settlement
{
    std::string program;
    std::string attempt;
    std::uint32_t tokens = 0;
    bool operator==(const settlement &) const = default;
};

struct turn
{
    std::string id;
    std::string history; // Inputs and outputs of the chain, oldest first, this turn included.
    bool operator==(const turn &) const = default;
};

using program_record = std::variant<reservation, settlement, turn>;

[[nodiscard]] std::string encodeRecord(const program_record &value);
// Nothing if the bytes are not a valid record.
[[nodiscard]] std::optional<program_record> decodeRecord(std::string_view bytes);

enum class verdict : std::uint8_t {
    Unknown, // No reservation of this request has been read.
    Granted,
    Denied,
};

struct budget_usage
{
    std::uint64_t spent = 0; // Settled tokens.
    std::uint64_t reserved = 0; // Granted and not yet settled.
};

// The fold over the records of program partitions.
class budget_ledger
{
public:
    // A program without a record for this long is forgotten.
    static constexpr std::chrono::minutes forgetAfter{10};

    // Records of one partition must come in the order of the log. Turns are ignored.
    void apply(const program_record &value, time_point now);
    [[nodiscard]] verdict verdictOn(const std::string &program, const std::string &attempt) const;
    // Tokens that the request holds of the budget: reserved, or used once it is settled; 0 if denied or unknown.
    [[nodiscard]] std::uint32_t tokensOf(const std::string &program, const std::string &attempt) const;
    [[nodiscard]] bool isSettled(const std::string &program, const std::string &attempt) const;
    [[nodiscard]] budget_usage usageOf(const std::string &program) const;
    void evictIdle(time_point now);
    [[nodiscard]] std::size_t size() const;

private:
    struct attempt_state
    {
        std::uint32_t tokens = 0;
        bool granted = false;
        bool settled = false;
    };

    struct program_state
    {
        std::unordered_map<std::string, attempt_state> attempts;
        budget_usage usage;
        time_point lastRecord;
    };

    [[nodiscard]] const attempt_state *find(const std::string &program, const std::string &attempt) const;
    void reserve(program_state &program, const reservation &value);
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
    Denied, // The budget does not hold so many tokens.
    Unavailable, // The partition could not be read or written in time.
};

[[nodiscard]] std::string_view nameOf(budget_decision value);

struct budget_response
{
    reservation request;
    budget_decision decision = budget_decision::Unavailable;
    budget_usage usage; // Of the program, as it decided.
};

using budget_output = std::variant<start_budget_call, budget_response>;

// The budgets of all programs of one partition, as the daemon decides on them that writes there.
//
// A request is granted once its reservation is written, so that no crash loses one. Reservations that come while an
// append is under way are appended together; settlements wait for the next reservation, or a little while.
class budget_partition
{
public:
    // Settlements wait so long for a reservation, to be appended with it.
    static constexpr std::chrono::milliseconds groupingTime{500};
    static constexpr std::chrono::milliseconds retryDelay{40};
    // A denial needs a view of the partition that is no older than this.
    static constexpr std::chrono::milliseconds freshFor{300};
    // A partition whose last calls failed, and that has served none for this long, is taken as away: questions are
    // answered at once, and each of them is an occasion to try again.
    static constexpr std::chrono::milliseconds awayAfter{250};
    static constexpr unsigned failuresUntilAway = 2;

    explicit budget_partition(store::partition where);

    // A verdict on the request follows, at the latest at the deadline. A request that was granted before is granted
    // again.
    void reserve(const reservation &what, time_point deadline, time_point now);
    // What the request has used in the end; replaces its reservation.
    void settle(const settlement &what, time_point now);
    void onReply(budget_call_id id, const store::reply &result, time_point now);
    void tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    [[nodiscard]] std::vector<budget_output> takeOutputs();
    void evictIdle(time_point now);
    [[nodiscard]] budget_usage usageOf(const std::string &program) const; // Unwritten records included.
    [[nodiscard]] bool hasUnwritten() const;

private:
    // A record on its way into the partition.
    struct unwritten
    {
        program_record record;
        time_point since;
        std::optional<time_point> deadline; // Of a reservation, whose verdict waits until it is written.
        bool maybeWritten = false; // An append of it was started.
    };

    struct question
    {
        reservation what;
        time_point deadline;
    };

    void decide(const question &entry, time_point now);
    void answer(const reservation &what, budget_decision verdict);
    void answerWritten(const unwritten &entry);
    void decideWaiting(time_point now);
    void startAppend(time_point now);
    void startRead();
    void onAppended(const store::appended &result, time_point now);
    void onRead(const store::records_read &result, time_point now);
    void dropWritten();
    void expire(time_point now);
    [[nodiscard]] bool isWritten(const program_record &record) const;
    [[nodiscard]] bool isGranted(const reservation &what) const;
    [[nodiscard]] bool isFresh(time_point now) const;
    [[nodiscard]] bool isAway(time_point now) const;
    [[nodiscard]] std::optional<time_point> appendDue() const;

    store::partition m_where;
    budget_ledger m_written;
    std::uint64_t m_next = 0; // Offset after the last record that was read or written.
    std::optional<time_point> m_confirmed; // When the view was last known to be complete.
    unsigned m_failures = 0; // Of calls in a row.
    time_point m_failingSince{};
    std::vector<unwritten> m_unwritten; // In the order in which they are appended.
    std::size_t m_inFlight = 0; // The first ones of m_unwritten are being appended.
    std::vector<question> m_waiting; // Until the partition has been read.
    std::uint64_t m_lastCall = 0;
    std::optional<budget_call_id> m_append;
    std::optional<budget_call_id> m_read;
    bool m_mustRead = true; // Nothing may be appended before the partition has been read.
    std::optional<time_point> m_retryAt;
    std::vector<budget_output> m_outputs;
};

struct turn_location
{
    store::partition where;
    std::uint64_t offset = 0;
};

// Where finished turns lie in the log, and the text of those used last.
class turn_cache
{
public:
    // At most `maxBytes` of text are kept; locations are kept for `retention` after they were seen.
    turn_cache(std::size_t maxBytes, std::chrono::milliseconds retention);

    void add(const std::string &id, std::string history, const turn_location &place, time_point now);
    // Null if the text is not kept here. Valid until the next call of add().
    [[nodiscard]] const std::string *find(const std::string &id);
    [[nodiscard]] std::optional<turn_location> locate(const std::string &id) const;
    void evictExpired(time_point now);
    [[nodiscard]] std::size_t bytes() const;

private:
    struct entry
    {
        turn_location place;
        time_point seen;
        std::string history; // Empty if evicted.
        std::list<std::string>::iterator position; // In m_recent; m_recent.end() if evicted.
    };

    void evict();

    std::size_t m_maxBytes;
    std::chrono::milliseconds m_retention;
    std::size_t m_bytes = 0;
    std::unordered_map<std::string, entry> m_entries;
    std::list<std::string> m_recent; // Ids whose text is kept, most recently used first.
};

} // namespace jackdawpick::programs
