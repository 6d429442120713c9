#pragma once

// Several gateways with a store, endpoints and callers in virtual time, for tests. All faults are switched by the test;
// the order of events depends on the seed alone.
//
//   gateway_world world({.daemons = 3, .seed = 7});
//   world.settle();
//   auto &answer = world.ask(0, turnOf("program-1", "attempt-1"));
//   world.runFor(2s);
//   EXPECT_EQ(answer.status, 200);

#include "gateway/gateway.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace jackdawpick::gateway::testing
{

// What a caller has seen of one request.
struct caller_view
{
    std::uint16_t status = 0; // 0: no head yet.
    std::string body;
    bool complete = false;
    bool aborted = false; // The connection ended before the end of the answer.
    std::optional<std::chrono::milliseconds> retryAfter;
    std::optional<result_code> refusal;
    time_point endedAt{};

    [[nodiscard]] bool ended() const
    {
        return complete || aborted;
    }
};

// How an endpoint treats the next requests.
enum class endpoint_mood : std::uint8_t {
    Answers,
    Rejects, // States that it has not run the request.
    LosesAnswer, // Runs the request; the connection breaks before the answer.
    BreaksOff, // Breaks the connection in the middle of the answer.
    Unreachable,
    Silent, // Runs the request and never answers.
};

struct run_at_endpoint
{
    std::string endpoint;
    std::string attempt;
    std::string body;
    time_point at;
};

struct world_options
{
    int daemons = 1;
    int engines = 2;
    int shops = 2;
    unsigned seed = 1;
    std::chrono::milliseconds eventGap{20};
    int eventsPerTurn = 3;
    std::chrono::milliseconds serviceTime{30};
    std::uint32_t parts = 12;
    std::uint32_t turnTopics = 80;
    bool printLog = false; // For a look at a failing test.
};

// How the store treats the calls of one daemon.
struct store_mood
{
    bool away = false; // No reply.
    bool refuses = false; // Says that nothing was done.
    double losesReply = 0; // Part of the calls that are executed without a reply.
    std::chrono::milliseconds delay{4};
};

class gateway_world
{
public:
    static constexpr std::uint32_t tokensPerEvent = 10;

    explicit gateway_world(world_options options);

    // Lets the daemons read the configuration and the endpoints and find each other.
    void settle();
    void runFor(std::chrono::milliseconds time);

    caller_view &ask(int daemon, caller_request request);
    // Asks and lets a second pass.
    caller_view &askAndWait(int daemon, caller_request request);
    void leave(const caller_view &view); // The caller closes its connection.
    void kill(int daemon);
    void start(int daemon);
    void shutdown(int daemon);
    [[nodiscard]] bool isRunning(int daemon) const;
    [[nodiscard]] gateway &core(int daemon);

    void publish(routing::configuration what);
    void putEndpoint(const fleet::endpoint_entry &entry);
    void removeEndpoint(const std::string &id);

    [[nodiscard]] time_point now() const;
    // Lines of the log of all daemons with this event.
    [[nodiscard]] int linesWith(std::string_view event) const;
    [[nodiscard]] int runsOf(const std::string &attempt) const;
    [[nodiscard]] std::size_t recordsIn(std::string_view topicPrefix) const;
    // Topics that hold a record.
    [[nodiscard]] std::set<std::string> topics() const;

    std::map<int, store_mood> stores; // By daemon.
    std::map<std::string, endpoint_mood> endpoints; // By id; Answers if missing.
    std::set<std::string> awayTopics; // Topics whose partitions give no reply.
    std::set<std::pair<int, int>> cutLinks; // From, to.
    std::vector<run_at_endpoint> runs;
    std::vector<std::string> cancelled; // Attempts that a gateway cancelled at an endpoint.
    int storeCalls = 0;

private:
    struct daemon_state
    {
        std::unique_ptr<gateway> core;
        int life = 0; // Events for an earlier life are dropped.
        std::optional<time_point> wakeAt;
    };

    struct scheduled
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> task;
        bool operator>(const scheduled &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    struct stored_partition
    {
        std::vector<store::record> records;
        std::uint64_t first = 0; // Records before it are deleted.
    };

    struct link_end
    {
        int daemon = 0;
        link_id id{};
    };

    void after(std::chrono::milliseconds delay, std::function<void()> task);
    void feed(int daemon, int life, event what);
    void perform(int daemon, effect &what);
    void on(int daemon, const start_response &what);
    void on(int daemon, const response_bytes &what);
    void on(int daemon, const end_response &what);
    void on(int daemon, const abort_response &what);
    void on(int daemon, const refuse &what);
    void on(int daemon, const start_dispatch &what);
    void on(int daemon, const cancel_dispatch &what);
    void on(int daemon, const make_store_call &what);
    void on(int daemon, const open_link &what);
    void on(int daemon, const send_message &what);
    void on(int daemon, const close_link &what);
    void on(int daemon, const log_line &what);
    void on(int daemon, const increment_counter &what);
    void on(int daemon, const record_duration &what);
    void on(int daemon, const close_idle_connections &what);
    void on(int daemon, const stop_process &what);

    void runAtEndpoint(int daemon, int life, const start_dispatch &what);
    store::reply execute(const store::call &what);
    store::reply execute(const store::append_call &what);
    store::reply execute(const store::put_call &what);
    store::reply execute(const store::read_call &what);
    store::reply execute(const store::newest_call &what);
    store::reply execute(const store::trim_call &what);
    [[nodiscard]] int daemonAt(const std::string &peerAddress) const;
    caller_view *viewOf(int daemon, caller_id caller);
    void loseCallers(int daemon);

    world_options m_options;
    manual_clock m_clock;
    std::mt19937 m_random;
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_queue;
    std::vector<daemon_state> m_daemons;
    std::map<store::partition, stored_partition> m_partitions;
    std::map<std::string, routing::configuration> m_published; // By its text in the store.
    std::map<std::string, fleet::endpoint_entry> m_entries; // By its text in the store.
    std::deque<caller_view> m_views;
    std::map<std::pair<int, caller_id>, caller_view *> m_callers;
    std::map<const caller_view *, std::pair<int, caller_id>> m_places;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_lastLink = 0;
    std::map<std::pair<int, link_id>, link_end> m_links; // The other end.
    std::set<std::pair<int, dispatch_id>> m_open;
    std::map<std::pair<int, dispatch_id>, std::string> m_attempts;
    std::map<std::string, int> m_lines;
};

// Routes `/model/` (retained turns), `/read/` and `/pay/`, and their services.
[[nodiscard]] routing::configuration initialConfiguration();
// A turn of the model route, with its program's budget.
[[nodiscard]] caller_request turnOf(const std::string &program, const std::string &attempt, std::uint32_t budget = 1000,
                                    const std::string &previous = {});
// A call of the shop: `/read/` may run again, `/pay/` must not.
[[nodiscard]] caller_request shopCall(const std::string &path, const std::string &attempt);

} // namespace jackdawpick::gateway::testing
