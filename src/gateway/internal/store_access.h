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
struct for_partition_log
{
    store::call_id call{};
};

enum class watched : std::uint8_t {
    Configuration,
    Endpoints,
    Daemons,
};

struct for_watch
{
    watched which{};
};

// A single turn, read by its place.
struct for_turn
{
    caller_id caller{};
};

// The record of this daemon in the log.
struct for_presence
{
};

// A call that nothing waits for.
struct for_nobody
{
};

// A call that only shows whether the store can be reached.
struct for_probe
{
};

struct for_budgets
{
    store::partition where;
    programs::budget_call_id call{};
};

struct for_peer
{
    link_id link{};
    std::uint64_t request = 0;
};

using store_owner =
    std::variant<for_partition_log, for_budgets, for_watch, for_turn, for_presence, for_nobody, for_probe, for_peer>;

struct store_completion
{
    store_owner owner;
    store::reply result;
};

class store_access
{
public:
    // A call without a reply after a few times the usual time is made again: while the store loses replies, waiting
    // longer would hold up all that follows.
    static constexpr std::chrono::milliseconds shortestTimeout{80};
    static constexpr std::chrono::milliseconds longestTimeout{1000};
    static constexpr int usualTimes = 4;
    // Added for a call that another daemon makes: the way there and back.
    static constexpr std::chrono::milliseconds relayTime{100};

    // Starts the call, or completes it as refused if there is no way to the store. `relay` is a link to a daemon that
    // reaches the store. Calls for peers and probes go directly or not at all.
    void start(store_owner owner, store::call what, std::optional<link_id> relay, time_point now,
               std::vector<effect> &out);
    void onDirectReply(const store_replied &what, time_point now);
    // Returns false if the relayed call was not served.
    bool onRelayReply(link_id link, const peers::store_response &what);
    void onLinkClosed(link_id link);
    // Links whose calls have passed their time.
    [[nodiscard]] std::vector<link_id> tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::deque<store_completion> takeCompletions();
    [[nodiscard]] const store::path_selector &paths() const;
    // Smoothed time until a call that does not wait is served.
    [[nodiscard]] std::chrono::milliseconds usualTime() const;

private:
    struct direct_call
    {
        store_owner owner;
        std::chrono::milliseconds wait{0}; // That the call itself asks for.
        time_point started;
    };

    struct relayed_call
    {
        store_owner owner;
        link_id link{};
        time_point deadline;
    };

    void startRelayed(store_owner owner, store::call what, link_id relay, time_point now, std::vector<effect> &out);

    [[nodiscard]] std::chrono::milliseconds timeout() const;
    [[nodiscard]] std::chrono::milliseconds firstTimeout() const;
    void learnTime(const direct_call &call, const store::reply &result, time_point now);

    store::path_selector m_paths;
    std::chrono::duration<double, std::milli> m_usualTime{10};
    unsigned m_timeoutsInRow = 0;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, direct_call> m_direct;
    std::map<std::uint64_t, relayed_call> m_relayed;
    std::deque<store_completion> m_completed;
};

} // namespace jackdawpick::gateway::internal
