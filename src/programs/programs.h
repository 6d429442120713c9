#pragma once

// What the durable log keeps of agent programs: token budgets and finished turns.
//
// Each program has one partition with its reservations and settlements. Every daemon that reads it comes to the same
// verdict on each reservation, so no daemon has to own a program.
//
//   budget_ledger ledger;
//   ledger.apply(decodeRecord(bytes), clock.now());
//   if (ledger.verdictOn("program-1", "attempt-7") == verdict::Granted) { ... }
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
    [[nodiscard]] budget_usage usageOf(const std::string &program) const;
    void forgetIdle(time_point now);
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

    void reserve(program_state &program, const reservation &value);
    static void settle(program_state &program, const settlement &value);

    std::unordered_map<std::string, program_state> m_programs;
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
    void forgetExpired(time_point now);
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
