#pragma once

// Simulates several gateways with a store, endpoints and callers in virtual time, for tests. Tests inject all faults;
// the order of events depends on the seed alone.
//
//   gateway_world world({.daemons = 3, .seed = 7});
//   world.warmUp();
//   auto &response = world.send(0, modelTurn("program-1", "attempt-1"));
//   world.runFor(2s);
//   EXPECT_EQ(response.status, 200);

#include "gateway/gateway.h"
#include "programs/programs.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace jackdawpick::gateway::testing
{

// The response to one request as its caller observed it.
struct caller_response
{
    std::uint16_t status = 0; // 0 if no head has arrived.
    std::string body;
    bool complete = false;
    bool aborted = false; // The connection closed before the end of the response.
    std::optional<std::chrono::milliseconds> retryAfter;
    std::optional<result_code> refusal;
    time_point endedAt{};

    [[nodiscard]] bool ended() const
    {
        return complete || aborted;
    }
};

// What an endpoint does with requests.
enum class endpoint_behaviour : std::uint8_t {
    Responds,
    Rejects, // States that it did not run the request.
    LosesResponse, // Runs the request; the connection is lost before the response.
    TruncatesResponse, // Runs the request; the connection is lost in the middle of the response.
    Unreachable,
    Hangs, // Runs the request and never responds.
    FailsUnmarked, // Runs the request and responds with 503, without stating whether it ran.
    Errs, // Runs the request and responds with 500.
    IsAnother, // Another endpoint has the address; it does not run the request.
    EndsWithConnection, // Responds without a length and closes the connection after the whole response.
    LosesPartWithoutLength, // Runs the request; the connection is lost in the middle of a response without a length.
    EndsInsideEvent, // As EndsWithConnection, but closes it inside the last event, or after half of a response without
                     // events.
};

// What the connections of an endpoint that crashes show.
enum class crash_sign : std::uint8_t {
    Lost, // They are reset.
    Silent, // They are not closed, and nothing answers.
    EndBetweenEvents, // A response without a length has begun; the connection is closed in order after an event.
    EndInsideEvent, // As before, in the middle of an event.
    WholeError, // A whole response with status 500 has been sent.
    WholeSuccess, // A whole response with status 200 has been sent.
    UnsignedHead, // A head that no endpoint has signed has been sent.
    UnmarkedRefusal, // A head with status 503 has been sent, which does not state that the request was not run.
};

inline constexpr std::size_t crashSignCount = static_cast<std::size_t>(crash_sign::UnmarkedRefusal) + 1;

// A request that crashes the endpoints that run it. The endpoint is back after `downTime`.
struct crashing_request
{
    std::string body;
    std::string attemptPrefix; // Only attempts whose ids begin so crash them.
    std::chrono::milliseconds delay{1}; // From the begin of the run to the crash.
    std::chrono::milliseconds downTime{2000};
    crash_sign sign = crash_sign::Lost;
    bool keepsId = false; // The endpoint is back under the id that it had.
    std::vector<time_point> crashes; // When endpoints have crashed.
};

// A response whose body never ends: after the head the piece is sent each millisecond until the gateway cancels.
struct endless_response
{
    std::string contentType;
    std::string piece;
};

// What happens between one daemon and all endpoints.
enum class path_behaviour : std::uint8_t {
    Open,
    Hangs, // Connections are not made, and nothing passes on existing ones.
    Refuses, // Connections are refused at once.
};

struct endpoint_run
{
    std::string endpoint;
    std::string attempt;
    std::string body;
    time_point at;
    std::string tenant;
    header_list headers; // As forwarded.
    std::optional<int> priority;
};

struct world_options
{
    int daemons = 1;
    int engineEndpoints = 2;
    int shopEndpoints = 2;
    unsigned seed = 1;
    std::chrono::milliseconds eventInterval{20};
    int eventsPerTurn = 3;
    std::chrono::milliseconds serviceTime{30};
    std::uint32_t parts = 12;
    std::uint32_t turnTopics = 80;
    std::size_t storeBytes = 0; // Appends are refused when the store holds this much; 0: no limit.
    std::chrono::milliseconds appendTime{0}; // That each append to a partition takes, one after the other.
    int writesPerSecond = 0; // Appends of all daemons that the store accepts; 0: no limit.
    int readsPerSecond = 0; // Reads of all daemons that it accepts; 0: no limit.
    std::optional<std::chrono::milliseconds> keyLifetime; // As in gateway_options.
    std::size_t turnCacheBytes = 4U << 20U; // As in gateway_options.
    std::size_t maxTextBytes = 64U << 20U; // As in gateway_options.
    std::size_t turnChainBytes = 4U << 20U; // As in gateway_options.
    bool printLog = false; // Prints the log of all daemons, to debug a failing test.
};

// What the store does with the calls of one daemon.
struct store_behaviour
{
    bool unavailable = false; // Never replies.
    bool refuses = false; // Refuses all calls without executing them.
    bool full = false; // Refuses appends for lack of room and serves reads.
    double replyLossRate = 0; // Share of the calls that are executed but get no reply.
    std::chrono::milliseconds delay{4};
};

class gateway_world
{
public:
    static constexpr std::uint32_t tokensPerEvent = 10;
    // The largest record that the store accepts.
    static constexpr std::size_t maxRecordBytes = 262144;

    explicit gateway_world(world_options options);

    // Runs until the daemons have read the configuration and the endpoints and have connected to each other.
    void warmUp();
    void runFor(std::chrono::milliseconds time);

    caller_response &send(int daemon, caller_request request);
    // Sends the request and runs for a second.
    caller_response &sendAndWait(int daemon, caller_request request);
    void disconnect(const caller_response &response); // The caller closes its connection.
    void kill(int daemon);
    // As kill(), but the host is silent: its links are not closed, and attempts to connect to it are not answered.
    void powerOff(int daemon);
    // The process stands still; what arrives meanwhile is handled at thaw(), before the timers that are due.
    void freeze(int daemon);
    void thaw(int daemon);
    void start(int daemon);
    void shutdown(int daemon);
    [[nodiscard]] bool isRunning(int daemon) const;
    [[nodiscard]] bool isFrozen(int daemon) const;
    [[nodiscard]] gateway &core(int daemon);
    // Whether the daemon counts the other one among those that accept requests.
    [[nodiscard]] bool counts(int daemon, int other) const;

    // Overwrites a record with a copy of another one of the same partition.
    void replaceRecord(const store::partition &where, std::uint64_t offset, std::uint64_t copyOf);
    void deleteRecordsBefore(const store::partition &where, std::uint64_t offset);
    void publish(routing::configuration configuration);
    void registerEndpoint(const fleet::endpoint_entry &entry);
    void removeEndpoint(const std::string &id);

    [[nodiscard]] time_point now() const;
    // Number of log lines of all daemons with this event.
    [[nodiscard]] int logLinesOf(std::string_view event) const;
    // The most recent log line of any daemon with this event, without time and level; empty if there is none.
    [[nodiscard]] std::string lastLogLineOf(std::string_view event) const;
    [[nodiscard]] int runsOf(const std::string &attempt) const;
    // The largest number of requests that the endpoint ran in a period of this length, of those run from `start` on.
    [[nodiscard]] int mostRunsWithin(const std::string &endpoint, std::chrono::milliseconds period,
                                     time_point start) const;
    [[nodiscard]] std::size_t recordCount(std::string_view topicPrefix) const;
    // Bytes of the records that these topics hold.
    [[nodiscard]] std::size_t storedBytes(std::string_view topicPrefix) const;
    // Where the store holds the record of the turn; unset if it does not. `ancestors` gets the places before it.
    [[nodiscard]] std::optional<programs::turn_location>
    findTurn(const std::string &turn, std::vector<programs::turn_location> &ancestors) const;
    // Topics that hold at least one record.
    [[nodiscard]] std::set<std::string> topics() const;

    std::map<int, store_behaviour> storeBehaviours; // By daemon.
    std::map<std::string, endpoint_behaviour> endpointBehaviours; // By id; Responds if missing.
    std::optional<crashing_request> crashing;
    std::set<std::string> leavingEndpoints; // Ids; these state in all responses that they are leaving.
    std::map<std::string, double> endpointLimits; // Rate limits that endpoints state, by id.
    std::map<std::string, endless_response> endlessResponses; // By endpoint id; precede the behaviour.
    std::size_t endlessBytes = 0; // Sent in endless responses.
    std::set<std::string> refusedKeyPrefixes; // The store refuses to write records with these keys.
    std::optional<std::string> refusedTopicPrefix; // The store refuses all calls for topics that begin so.
    std::set<std::string> unavailableTopics; // The store never replies to calls for these topics.
    std::set<std::pair<int, int>> blockedLinks; // Daemons (from, to).
    std::map<int, path_behaviour> endpointPaths; // By daemon; Open if missing.
    std::vector<endpoint_run> runs;
    std::vector<std::string> cancelledAttempts; // Attempts that a gateway cancelled at an endpoint.
    std::size_t readOverheadBytes = 0; // The store takes these off the size that a read of turns asks for.
    int storeCalls = 0;
    std::map<int, int> connectAttempts; // Attempts to open a link, by the daemon that is connected to.
    int heartbeats = 0; // Sent by all daemons.
    std::map<std::string_view, int> storeCallCounts; // By the name of the call.
    std::size_t appendedBytes = 0; // By all appends to topics of turns.
    std::size_t readBytes = 0; // By all reads of topics of turns.
    std::function<void(const store::trim_call &)> onTrim; // Called before records are deleted.

private:
    struct daemon_state
    {
        std::unique_ptr<gateway> core;
        int incarnation = 0; // Events for an earlier incarnation are dropped.
        std::optional<time_point> wakeAt;
        bool poweredOff = false;
        bool frozen = false;
        std::vector<event> held; // What has arrived since the process stands still.
    };

    struct scheduled_task
    {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> task;
        bool operator>(const scheduled_task &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    struct stored_partition
    {
        std::vector<store::record> records;
        std::uint64_t first = 0; // Offset of the first record that is not deleted.
    };

    [[nodiscard]] bool isFullFor(std::size_t bytes) const;
    void setWakeAt(int daemon, std::optional<time_point> when);
    void stop(int daemon, std::chrono::milliseconds linkLossDelay);

    struct link_side
    {
        int daemon = 0;
        link_id id{};
    };

    void schedule(std::chrono::milliseconds delay, std::function<void()> task);
    void deliver(int daemon, int incarnation, event input);
    void apply(int daemon, effect &output);
    void on(int daemon, const start_response &output);
    void on(int daemon, const response_bytes &output);
    void on(int daemon, const end_response &output);
    void on(int daemon, const abort_response &output);
    void on(int daemon, const refuse &output);
    void on(int daemon, const start_dispatch &output);
    void on(int daemon, const cancel_dispatch &output);
    void on(int daemon, const probe_endpoint &output);
    [[nodiscard]] path_behaviour pathOf(int daemon) const;
    [[nodiscard]] bool isDown(const std::string &address) const; // No endpoint listens there.
    void on(int daemon, const make_store_call &output);
    void on(int daemon, const open_link &output);
    void on(int daemon, const send_message &output);
    void on(int daemon, const close_link &output);
    void on(int daemon, const log_line &output);
    void on(int daemon, const increment_counter &output);
    void on(int daemon, const record_duration &output);
    void on(int daemon, const close_after_responses &output);
    void on(int daemon, const stop_process &output);

    [[nodiscard]] std::optional<double> rateLimitOf(const std::string &endpoint) const;
    // Sends what an endpoint sends of the response before the request crashes it.
    void beginCrashingResponse(int daemon, const start_dispatch &output,
                               const std::function<void(std::chrono::milliseconds, const event &)> &respond);
    void runAtEndpoint(int daemon, int incarnation, const start_dispatch &output);
    void crashEndpoint(const std::string &id);
    void restartEndpoint(const std::string &id);
    // How often the endpoint has crashed. What it sent before its latest crash is lost.
    [[nodiscard]] int crashCountOf(const std::string &endpoint) const;
    void sendWithoutEnd(int daemon, int incarnation, dispatch_id dispatch, const std::string &piece);
    [[nodiscard]] std::optional<store::failure> refusalOf(const store_behaviour &behaviour, const store::call &call);
    [[nodiscard]] std::chrono::milliseconds appendWait(const store::call &call);
    store::reply execute(const store::call &call);
    store::reply execute(const store::append_call &call);
    store::reply execute(const store::put_call &call);
    store::reply execute(const store::read_call &call);
    store::reply execute(const store::newest_call &call);
    store::reply execute(const store::trim_call &call);
    [[nodiscard]] int daemonAt(const std::string &peerAddress) const;
    caller_response *pendingResponse(int daemon, caller_id caller);
    void dropCallers(int daemon);

    world_options m_options;
    manual_clock m_clock;
    std::mt19937 m_random;
    std::uint64_t m_lastSequence = 0;
    std::priority_queue<scheduled_task, std::vector<scheduled_task>, std::greater<>> m_queue;
    std::vector<daemon_state> m_daemons;
    std::set<std::pair<time_point, int>> m_wakes; // When daemons have timers that are due.
    std::map<store::partition, stored_partition> m_partitions;
    std::map<store::partition, time_point> m_appendingUntil;
    // Calls that the store still accepts at this moment, of all daemons together.
    struct call_allowance
    {
        double calls = 0;
        time_point refilledAt{};

        [[nodiscard]] bool take(int perSecond, time_point now);
    };

    call_allowance m_writesAllowed;
    call_allowance m_readsAllowed;
    std::size_t m_storedBytes = 0;
    std::map<std::string, routing::configuration> m_publishedConfigurations; // By their text in the store.
    std::map<std::string, fleet::endpoint_entry> m_publishedEndpoints; // By their text in the store.
    std::map<std::string, fleet::endpoint_entry> m_latestEndpoints; // By id.
    std::map<std::string, int> m_crashCounts; // By endpoint id.
    std::set<std::string> m_downEndpoints; // Ids of endpoints that have crashed and are not back under them.
    std::deque<caller_response> m_responses;
    std::map<std::pair<int, caller_id>, caller_response *> m_responseByCaller;
    std::map<const caller_response *, std::pair<int, caller_id>> m_callerByResponse;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_lastLink = 0;
    std::map<std::pair<int, link_id>, link_side> m_links; // To the other side of the link.
    std::set<std::pair<int, dispatch_id>> m_activeDispatches;
    std::map<std::pair<int, dispatch_id>, std::string> m_attempts;
    std::map<std::pair<int, dispatch_id>, std::string> m_dispatchEndpoints; // Of the requests that were run.
    // Dispatches whose responses have begun, without a length, when their endpoints crash.
    std::set<std::pair<int, dispatch_id>> m_endingWithConnection;
    std::map<std::string, int> m_logLineCounts;
    std::map<std::string, std::string> m_lastLogLines;
};

// Returns a configuration with the routes `/model/` (retains turns), `/read/` and `/pay/`, and their services.
[[nodiscard]] routing::configuration initialConfiguration();
// Returns a turn on the model route, with the budget of its program.
[[nodiscard]] caller_request modelTurn(const std::string &program, const std::string &attempt,
                                       std::uint32_t budget = 1000, const std::string &previous = {});
// Returns the output of a turn as it stands in the history.
[[nodiscard]] std::string eventTextOf(const std::string &attempt, int events = 3);
// Returns a request to the shop; `/read/` is idempotent, `/pay/` is not.
[[nodiscard]] caller_request shopRequest(const std::string &path, const std::string &attempt);

} // namespace jackdawpick::gateway::testing
