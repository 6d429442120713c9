#pragma once

// The state of the gateway and the functions of its reducer, grouped by file: requests.cc (arrival, refusal, end),
// budgets.cc (reservations), turns.cc (histories), dispatching.cc (endpoints), platform_state.cc (log, watches, peers).

#include "admission/admission.h"
#include "gateway/gateway.h"
#include "gateway/internal/call.h"
#include "gateway/internal/keyed_watch.h"
#include "gateway/internal/peer_table.h"
#include "gateway/internal/store_access.h"
#include "programs/programs.h"

#include <array>
#include <map>
#include <random>
#include <set>

namespace jackdawpick::gateway
{

class gateway::implementation
{
public:
    explicit implementation(gateway_options options);

    std::vector<effect> handle(event what, time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::vector<std::string> directory(time_point now) const;
    [[nodiscard]] gateway_status status(time_point now) const;
    [[nodiscard]] std::string dump(time_point now) const;

private:
    using call = internal::call;
    using call_phase = internal::call_phase;

    // What an append or a catch-up of the partition log was for.
    enum class ticket_use : std::uint8_t {
        History,
        SaveTurn,
    };

    struct ticket_owner
    {
        caller_id caller{};
        ticket_use use{};
    };

    // Events.
    void on(request_arrived &what, time_point now);
    void on(const caller_disconnected &what, time_point now);
    void on(response_head &what, time_point now);
    void on(const response_chunk &what, time_point now);
    void on(const dispatch_finished &what, time_point now);
    void on(const store_replied &what, time_point now);
    void on(const link_opened &what, time_point now);
    void on(const link_message &what, time_point now);
    void on(const link_closed &what, time_point now);
    void on(const shutdown_requested &what, time_point now);
    void on(const tick &what, time_point now);

    // requests.cc
    [[nodiscard]] const routing::route *routeOf(const caller_request &request) const;
    void prepareCall(call &value, time_point now);
    void refuseArrival(const request_arrived &what, result_code code,
                       std::optional<std::chrono::milliseconds> retryAfter);
    void refuseCall(call &value, result_code code, std::optional<std::chrono::milliseconds> retryAfter, time_point now);
    void finishCall(call &value, std::string_view outcome, time_point now);
    void expireCalls(time_point now);
    void expireCall(call &value, time_point now);
    [[nodiscard]] call *findCall(caller_id id);
    void logCall(log_level level, std::string_view name, const call &value, std::vector<log_field> fields,
                 time_point now);

    // budgets.cc
    // Who asked for a reservation: a request of this daemon, or another daemon.
    struct budget_asker
    {
        std::optional<caller_id> caller;
        link_id link{};
        std::uint64_t request = 0;
        std::string previousTurn;
    };

    // A question to another daemon on behalf of a request.
    struct peer_question
    {
        caller_id caller{};
        link_id link{};
        time_point deadline;
    };

    [[nodiscard]] static bool hasBudget(const call &value);
    void askForBudget(call &value, time_point now);
    [[nodiscard]] std::chrono::milliseconds decisionTimeout() const;
    void askHere(const programs::reservation &what, const budget_asker &asker, time_point deadline, time_point now);
    bool takeBudgetOutputs(time_point now);
    void onBudgetVerdict(const programs::budget_response &verdict, time_point now);
    void onBudgetAnswer(call &value, programs::budget_decision answer, const std::string &decider,
                        const std::string &turnHolder, time_point now);
    void onBudgetMessage(const link_message &what, time_point now);
    void on(link_id link, const peers::budget_request &what, time_point now);
    void on(link_id link, const peers::budget_reply &what, time_point now);
    void on(link_id link, const peers::budget_use &what, time_point now);
    void on(link_id link, const peers::turn_request &what, time_point now);
    void on(link_id link, const peers::turn_reply &what, time_point now);
    void failBudgetRequests(link_id link, time_point now);
    void continueWithout(const std::function<bool(const peer_question &)> &isOver, time_point now);
    void settle(call &value, bool holdsTurn, time_point now);
    void noteUse(const peers::budget_use &use, const std::string &holder, time_point now);
    void tickBudgets(time_point now);
    void forgetIdleBudgets(time_point now);
    [[nodiscard]] std::optional<time_point> nextBudgetDeadline() const;
    [[nodiscard]] std::vector<std::string> deciders(const store::partition &where, time_point now) const;
    [[nodiscard]] std::string turnHolder(const std::string &turn) const;
    programs::budget_partition &budgetsOf(const store::partition &where);

    // turns.cc
    void beginHistory(call &value, const std::string &holder, time_point now);
    void readHistory(call &value, time_point now);
    void onHistoryRead(call &value, bool certain, time_point now);
    void onTurnRead(call &value, const store::reply &result, time_point now);
    void continueIfPrepared(call &value, time_point now);
    void beginSaving(call &value, time_point now);
    void onSaved(call &value, const store::ticket_result &result, time_point now);
    [[nodiscard]] std::uint32_t tokensHandedOver(const call &value) const;
    [[nodiscard]] store::partition programPartition(const std::string &program) const;
    // A turn lies in the first of its two places; in the second one if the first could not be written.
    [[nodiscard]] store::partition turnPartition(const std::string &turn, bool second) const;
    void saveTurn(call &value, time_point now);
    void trimBehind(const store::partition &where, std::uint64_t offset, time_point now);

    // dispatching.cc
    void dispatch(call &value, time_point now);
    void releaseEndpoint(call &value, fleet::request_outcome how, time_point now);
    void onRejected(call &value, const response_head &head, time_point now);
    void beginPassing(call &value, response_head &head);
    void passEvents(call &value, const std::string &bytes, time_point now);
    void onWholeAnswer(call &value, time_point now);
    void onBrokenAnswer(call &value, dispatch_outcome how, time_point now);
    [[nodiscard]] bool mayRunAgain(const call &value, time_point now) const;
    [[nodiscard]] static admission::turn_urgency urgencyOf(const call &value);
    [[nodiscard]] bool admit(call &value, time_point now);
    [[nodiscard]] fleet::placement_request placementOf(const call &value) const;

    // platform_state.cc
    void startStoreCall(internal::store_owner owner, store::call what, time_point now);
    void drainInternal(time_point now);
    void onCompletion(const internal::store_completion &done, time_point now);
    void complete(const internal::for_partition_log &owner, const store::reply &result, time_point now);
    void complete(const internal::for_budgets &owner, const store::reply &result, time_point now);
    void complete(const internal::for_watch &owner, const store::reply &result, time_point now);
    void complete(const internal::for_turn &owner, const store::reply &result, time_point now);
    void complete(const internal::for_presence &owner, const store::reply &result, time_point now);
    void complete(const internal::for_nobody &owner, const store::reply &result, time_point now);
    void complete(const internal::for_probe &owner, const store::reply &result, time_point now);
    void complete(const internal::for_peer &owner, const store::reply &result, time_point now);
    void onLogOutput(store::start_call &output, time_point now);
    void onLogOutput(const store::deliver_records &output, time_point now);
    void onLogOutput(const store::ticket_result &output, time_point now);
    void applyConfiguration(std::string_view text, time_point now);
    void applyEndpoints(const internal::watch_update &update, time_point now);
    void applyDaemons(const internal::watch_update &update, time_point now);
    void applyConnectionLimits(time_point now);
    [[nodiscard]] bool entriesMayHaveLapsed(const internal::watch_update &update, time_point now) const;
    [[nodiscard]] bool storeAvailable(time_point now) const;
    [[nodiscard]] std::optional<link_id> relayLink(time_point now) const;
    void pollPlatform(time_point now);
    void announceSelf(time_point now);
    void tickPeers(time_point now);
    void tickShutdown(time_point now);
    [[nodiscard]] std::optional<time_point> nextShutdownStep() const;
    [[nodiscard]] peers::heartbeat ownBeat(time_point now) const;
    void noteStoreState(time_point now);
    void log(log_level level, std::string_view name, std::vector<log_field> fields);
    [[nodiscard]] double random() const;

    gateway_options m_options;
    mutable std::mt19937_64 m_random;
    std::vector<effect> m_out;

    std::shared_ptr<const routing::route_table> m_table;
    fleet::endpoint_pool m_pool;
    crashes::crash_memory m_crashes;
    store::partition_log m_log;
    std::map<store::partition, programs::budget_partition> m_budgets; // On which this daemon decides, or did.
    std::multimap<std::string, budget_asker> m_budgetAskers; // By attempt.
    std::map<std::uint64_t, peer_question> m_budgetQuestions;
    std::map<std::uint64_t, peer_question> m_turnQuestions;
    std::uint64_t m_lastQuestion = 0;
    std::map<std::string, std::pair<std::string, time_point>> m_turnHolders; // By turn: daemon, when it was told.
    programs::turn_cache m_turns;
    internal::store_access m_store;
    internal::peer_table m_peers;
    std::array<internal::keyed_watch, 3> m_watches; // By internal::watched.
    time_point m_probeAt{};
    time_point m_announceAt{};
    bool m_announceOpen = false;
    time_point m_housekeepingAt{};
    bool m_storeSuspect = false; // The newest direct calls failed.
    bool m_storeSeen = true; // What the log last said of the store.
    bool m_beatNow = false; // Something changed that the other daemons should know at once.

    std::map<caller_id, call> m_calls;
    std::set<std::pair<time_point, caller_id>> m_deadlines;
    std::map<dispatch_id, caller_id> m_dispatches;
    std::uint64_t m_lastDispatch = 0;
    std::map<store::ticket_id, ticket_owner> m_tickets;
    // An offset of a partition of turns and when this daemon wrote there.
    std::map<store::partition, std::pair<std::uint64_t, time_point>> m_marks;
    std::map<store::partition, time_point> m_failingUntil; // Partitions in which no turn is saved for a while.

    time_point m_lastEnd{}; // Of a request.
    std::optional<time_point> m_shutdownBegan;
    bool m_idleClosed = false;
    bool m_stopped = false;
};

} // namespace jackdawpick::gateway
