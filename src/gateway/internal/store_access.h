#pragma once

// Store calls of this daemon and those that it makes for others: which way each goes, how long it may take, and to whom
// its reply belongs.

#include "gateway/events.h"
#include "programs/programs.h"
#include "store/partition_log.h"
#include "store/path_selector.h"

#include <deque>
#include <map>

namespace jackdawpick::gateway::internal
{

// To whom a reply belongs.
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

// A single turn, read by its place.
struct turn_read_owner
{
    caller_id caller{};
};

// The record of this daemon in the log.
struct registration_owner
{
};

// A call that nothing waits for.
struct no_owner
{
};

// A call that only shows whether the store can be reached.
struct probe_owner
{
};

struct budget_owner
{
    store::partition where;
    programs::budget_call_id call{};
};

struct peer_owner
{
    link_id link{};
    std::uint64_t request = 0;
};

using store_call_owner = std::variant<partition_log_owner, budget_owner, watch_owner, turn_read_owner,
                                      registration_owner, no_owner, probe_owner, peer_owner>;

struct store_completion
{
    store_call_owner owner;
    store::reply result;
};

class store_access
{
public:
    // A call without a reply after a few times the usual time is made again: while the store loses replies, waiting
    // longer would hold up all that follows.
    static constexpr std::chrono::milliseconds minTimeout{80};
    static constexpr std::chrono::milliseconds maxTimeout{1000};
    static constexpr int timeoutLatencyFactor = 4;
    // Added for a call that another daemon makes: the way there and back.
    static constexpr std::chrono::milliseconds relayOverhead{100};

    // Starts the call, or completes it as refused if there is no way to the store. `relay` is a link to a daemon that
    // reaches the store. Calls for peers and probes go directly or not at all.
    void start(store_call_owner owner, store::call call, std::optional<link_id> relay, time_point now,
               std::vector<effect> &out);
    void onDirectReply(const store_replied &received, time_point now);
    // Returns false if the relayed call was not served.
    bool onRelayReply(link_id link, const peers::store_response &response);
    void onLinkClosed(link_id link);
    // Links whose calls have passed their time.
    [[nodiscard]] std::vector<link_id> tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::deque<store_completion> takeCompletions();
    [[nodiscard]] const store::path_selector &paths() const;
    // Smoothed time until a call that does not wait is served.
    [[nodiscard]] std::chrono::milliseconds smoothedLatency() const;

private:
    struct direct_call
    {
        store_call_owner owner;
        std::chrono::milliseconds wait{0}; // That the call itself asks for.
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
    std::chrono::duration<double, std::milli> m_smoothedLatency{10};
    unsigned m_consecutiveTimeouts = 0;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, direct_call> m_direct;
    std::map<std::uint64_t, relayed_call> m_relayed;
    std::deque<store_completion> m_completed;
};

} // namespace jackdawpick::gateway::internal
