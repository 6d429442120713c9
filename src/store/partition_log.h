#pragma once

// The partitions of the durable log as one daemon sees them: appends in groups, reads that continue where the last one
// ended, and the records of each partition delivered once and in order.
//
// Records must tolerate being appended twice: an append without a reply is sent again.
//
//   partition_log log;
//   auto ticket = log.append(where, record, deadline);
//   for (auto &output : log.takeOutputs()) { ... }     // start_call: make the call, then log.onReply(id, reply, now)
//
// Pure: no I/O, no clock. Thread compatible.

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

// Records of a partition, each once and in the order of their offsets.
struct deliver_records
{
    partition where;
    std::vector<record> records;
};

// The end of an append or of a catch-up. `done` is false if it could not be completed before its deadline; an append
// may then still be executed later.
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
    // Pause before a failed call is made again.
    static constexpr std::chrono::milliseconds retryDelay{40};

    ticket_id append(const partition &where, std::string record, time_point deadline);
    // Reported once all records are delivered that the partition had when this was called.
    ticket_id catchUp(const partition &where, time_point deadline);

    // Ignores calls that it does not know.
    void onReply(call_id id, const reply &result, time_point now);
    // Makes failed calls again and gives up what has passed its deadline.
    void tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::vector<log_output> takeOutputs();

private:
    struct pending_append
    {
        ticket_id ticket{};
        std::string record;
        time_point deadline;
    };

    struct waiting_read
    {
        ticket_id ticket{};
        std::uint64_t afterRead = 0; // Reported once a read that began later has reached the end.
        time_point deadline;
    };

    struct partition_state
    {
        std::uint64_t next = 0; // Offset of the first record not yet delivered.
        std::optional<call_id> readCall;
        std::optional<call_id> appendCall;
        std::uint64_t readsStarted = 0;
        std::deque<pending_append> queued;
        std::vector<pending_append> inFlight;
        std::vector<waiting_read> waiting;
        std::optional<time_point> retryAppendAt;
        std::optional<time_point> retryReadAt;
    };

    struct open_call
    {
        partition where;
        bool isRead = false;
    };

    void startAppend(const partition &where, partition_state &state);
    void startRead(const partition &where, partition_state &state);
    void onAppended(partition_state &state, const appended &result);
    void onAppendFailed(partition_state &state, failure reason, time_point now);
    void onRead(const partition &where, partition_state &state, const records_read &result);
    void dropExpired(partition_state &state, time_point now);
    [[nodiscard]] static bool idle(const partition_state &state);

    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastCall = 0;
    std::map<partition, partition_state> m_partitions;
    std::set<partition> m_active; // Partitions with something open.
    std::unordered_map<std::uint64_t, open_call> m_calls;
    std::vector<log_output> m_outputs;
};

} // namespace jackdawpick::store
