#pragma once

// Store calls of this daemon and those that it makes on behalf of peers: the path of each call (direct, or relayed by a
// peer), its timeout, and the owner of its reply.

#include "gateway/events.h"
#include "gateway/internal/quota_state.h"
#include "gateway/internal/store_room.h"
#include "gateway/internal/trim_marks.h"
#include "programs/programs.h"
#include "store/partition_log.h"
#include "store/path_selector.h"

#include <deque>
#include <map>

namespace jackdawpick::gateway::internal
{

// The types of store_call_owner: who handles the reply to a call.
struct partition_log_owner
{
    store::call_id call{};
};

enum class watch_id : std::uint8_t {
    Configuration,
    Endpoints,
    Daemons,
};

struct watch_owner
{
    watch_id which{};
};

// A read of one record of a chain of turns.
struct turn_read_owner
{
    caller_id caller{};
    std::size_t index = 0; // Of the record in the chain, oldest first.
};

// The write of this daemon's own record to the log.
struct registration_owner
{
};

// A deletion of old records of turns.
struct trim_owner
{
    trim_marks::due_trim trim;
};

// A read of the end of a partition of turns, to mark its records.
struct partition_end_owner
{
    store::partition where;
};

// A call made only to find out whether the store is reachable.
struct probe_owner
{
};

// A record of a request that crashes endpoints.
struct crash_record_owner
{
    std::uint64_t content = 0;
};

struct budget_owner
{
    store::partition where;
    programs::budget_call_id call{};
};

// The deletion of the record of a daemon whose host is gone.
struct gone_daemon_owner
{
};

struct peer_owner
{
    link_id link{};
    std::uint64_t request = 0;
};

using store_call_owner =
    std::variant<partition_log_owner, budget_owner, watch_owner, turn_read_owner, registration_owner, trim_owner,
                 partition_end_owner, probe_owner, crash_record_owner, gone_daemon_owner, peer_owner, quota_owner>;

struct store_completion
{
    store_call_owner owner;
    store::reply result;
};

class store_access
{
public:
    // A call times out after timeoutLatencyFactor times the smoothed latency, within these bounds, so that a lost reply
    // is detected quickly: the calls behind it wait until it is retried.
    static constexpr std::chrono::milliseconds minTimeout{80};
    static constexpr std::chrono::milliseconds maxTimeout{1000};
    static constexpr int timeoutLatencyFactor = 4;
    // Added to the timeout of a relayed call for the round trip to the peer.
    static constexpr std::chrono::milliseconds relayOverhead{100};

    // Starts the call, or completes it with failure::Refused if there is no path to the store. `relay` is a link to a
    // peer that reaches the store. Probes and calls on behalf of peers are never relayed.
    void start(store_call_owner owner, store::call call, std::optional<link_id> relay, time_point now,
               std::vector<effect> &out);
    void onDirectReply(const store_replied &received, time_point now);
    // Returns false if the peer got no reply from the store. A refusal may be that of one partition; whether the store
    // refuses the peer altogether is told by its heartbeats.
    bool onRelayReply(link_id link, const peers::store_response &response);
    void onLinkClosed(link_id link);
    // Completes relayed calls that have timed out and returns their links.
    [[nodiscard]] std::vector<link_id> tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::deque<store_completion> takeCompletions();
    [[nodiscard]] const store::path_selector &paths() const;
    // What the replies to direct calls show about the room of the store.
    [[nodiscard]] store_room &room();
    [[nodiscard]] const store_room &room() const;
    // Exponentially smoothed latency of direct calls, except long polls.
    [[nodiscard]] std::chrono::milliseconds smoothedLatency() const;

private:
    struct direct_call
    {
        store_call_owner owner;
        std::string_view name; // Of the kind of call.
        store::partition where;
        std::chrono::milliseconds wait{0}; // Long-poll timeout of the call; 0 for other calls.
        time_point started;
    };

    struct relayed_call
    {
        store_call_owner owner;
        link_id link{};
        time_point deadline;
    };

    void startRelayed(store_call_owner owner, store::call call, link_id relay, time_point now,
                      std::vector<effect> &out);

    [[nodiscard]] std::chrono::milliseconds timeout() const;
    [[nodiscard]] std::chrono::milliseconds baseTimeout() const;
    void updateLatency(const direct_call &call, const store::reply &result, time_point now);

    store::path_selector m_paths;
    store_room m_room;
    std::chrono::duration<double, std::milli> m_smoothedLatency{10};
    unsigned m_consecutiveTimeouts = 0;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, direct_call> m_direct;
    std::map<std::uint64_t, relayed_call> m_relayed;
    std::deque<store_completion> m_completed;
};

} // namespace jackdawpick::gateway::internal
