#pragma once

// Client-side state for the partitions of the durable log: batches appends, continues each read where the previous one
// ended, and delivers the records of each partition in order, and once unless it is told to deliver them again.
//
// Appends are at-least-once: an append without a reply is sent again, so consumers must tolerate duplicate records.
//
//   partition_log log;
//   auto ticket = log.append(where, record, deadline);
//   for (auto &output : log.takeOutputs()) { ... }     // start_call: make the call, then log.onReply(id, reply, now)
//
// Performs no I/O and reads no clock. Thread compatible.

#include "clock/clock.h"
#include "store/store.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawpick::store
{

enum class ticket_id : std::uint64_t {};
enum class call_id : std::uint64_t {};

struct start_call
{
    call_id id{};
    call what;
};

// Records of a partition in the order of their offsets; once, but for those that a rewind repeats.
struct deliver_records
{
    partition where;
    std::vector<record> records;
};

// The result of an append or a catch-up. `done` is false if the append was rejected or the deadline passed; after a
// missed deadline the append may still be executed.
struct ticket_result
{
    ticket_id ticket{};
    bool done = false;
    std::uint64_t offset = 0; // Of the appended record.
};

using log_output = std::variant<start_call, deliver_records, ticket_result>;

class partition_log
{
public:
    // Delay before a failed call is retried.
    static constexpr std::chrono::milliseconds retryDelay{40};

    ticket_id append(const partition &where, shared_text record, time_point deadline);
    // Completes once all records that the partition had at the time of this call have been delivered.
    ticket_id catchUp(const partition &where, time_point deadline);
    // The next catch-up delivers the records from this offset on once more.
    void rewind(const partition &where, std::uint64_t offset);
    // Whether records that were delivered before a rewind have not been delivered again.
    [[nodiscard]] bool isRewound(const partition &where) const;

    // Ignores unknown call ids.
    void onReply(call_id id, const reply &result, time_point now);
    // Retries failed calls and fails operations whose deadline has passed.
    void tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::vector<log_output> takeOutputs();

private:
    struct pending_append
    {
        ticket_id ticket{};
        shared_text record;
        time_point deadline;
    };

    struct pending_read
    {
        ticket_id ticket{};
        std::uint64_t afterRead = 0; // Completes when a read with a higher number reaches the end of the partition.
        time_point deadline;
    };

    struct partition_state
    {
        std::uint64_t next = 0; // Offset of the first record that is to be delivered.
        std::uint64_t delivered = 0; // Offset after the last record that was ever delivered.
        std::optional<call_id> readCall;
        std::optional<call_id> appendCall;
        std::uint64_t readsStarted = 0;
        std::deque<pending_append> queued;
        std::vector<pending_append> inFlight;
        std::vector<pending_read> pendingReads;
        std::optional<time_point> retryAppendAt;
        std::optional<time_point> retryReadAt;
    };

    struct pending_call
    {
        partition where;
        bool isRead = false;
        std::uint64_t from = 0; // Of a read.
    };

    void startAppend(const partition &where, partition_state &state);
    void startRead(const partition &where, partition_state &state);
    void onAppended(partition_state &state, const appended &result);
    void onAppendFailed(partition_state &state, failure reason, time_point now);
    void onRead(const partition &where, partition_state &state, const records_read &result);
    void deliver(const partition &where, partition_state &state, const records_read &result);
    void failOverdue(partition_state &state, time_point now);
    [[nodiscard]] static bool idle(const partition_state &state);

    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastCall = 0;
    std::map<partition, partition_state> m_partitions;
    std::set<partition> m_active; // Partitions with pending operations, calls or retries.
    std::unordered_map<std::uint64_t, pending_call> m_calls;
    std::vector<log_output> m_outputs;
};

} // namespace jackdawpick::store
