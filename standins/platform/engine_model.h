#pragma once

// Model engine: continuous batch with limited slots, prefix cache, priorities, streams that can be cancelled and
// resumed, cache events, lagging load reports and orders. Pure; the time comes in.
//
//   engine_model engine({.slots = 8}, seed);
//   auto run = engine.submit(request, now);
//   for (const engine_output &output : engine.advance(now)) { ... }
//   wakeAt(engine.nextDeadline());

#include "model/model.h"
#include "platform/answer_text.h"
#include "platform/fault_table.h"

#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>

namespace jackdawpick::standins
{

struct engine_options
{
    std::uint32_t slots = 16;
    std::uint32_t maxQueue = 256; // Waiting requests; further ones are refused.
    double tokensPerSecond = 80; // Decoding of one request alone.
    double batchSlowdown = 0.05; // Decoding of each slows by 1 + this * (running - 1).
    double prefillTokensPerSecond = 8000; // Shared by all requests in prefill.
    token_count cacheTokens = 200000;
    std::uint32_t chunkTokens = 16; // Tokens per chunk after the first one, which holds a single token.
    std::chrono::milliseconds loadLag{200};
    std::chrono::milliseconds cacheEventDelay{500};
    double cacheEventLoss = 0.02; // Part of the cache events that is never published.
    std::chrono::milliseconds modelLoadTime{1000};
    bool loadsFromStore = false; // A load order waits for finishLoad() instead of modelLoadTime.
    bool checksFencing = true;
    std::vector<std::string> models{}; // Loaded at start; empty: any model is served.
};

enum class run_id : std::uint64_t {};

struct engine_request
{
    std::string requestId{};
    std::string program{};
    std::string model{};
    std::uint32_t priority = 0; // 0 is the most urgent.
    std::vector<message> messages{};
    std::uint32_t maxTokens = 64;
    std::optional<token_count> resumeFrom{}; // Continues the stream of the same request id at this token.
};

enum class engine_refusal : std::uint8_t {
    Refusing, // Fault `refuse`.
    QueueFull,
    ModelNotLoaded,
    NotResumable, // Unknown request id, or a position after the last generated token.
};

struct engine_chunk
{
    run_id run{};
    token_count firstToken = 0;
    std::string text;
};

struct engine_end
{
    run_id run{};
    usage used;
};

// The engine dies; no further output may be sent.
struct engine_crash
{
    run_id run{};
};

using engine_output = std::variant<engine_chunk, engine_end, engine_crash>;

struct engine_order
{
    fence orderFence = 0;
    std::string kind{}; // "load", "unload", "adapter", "role"
    std::string model{}; // Model, adapter or role.
};

enum class order_result : std::uint8_t {
    Accepted,
    StaleFence,
    UnknownKind,
};

struct cache_event_page
{
    std::vector<cache_event> events;
    std::uint64_t next = 1;
};

struct cached_prefix
{
    std::string program;
    std::vector<history_step> steps;
};

// Faults: crash_marker (text; a request whose messages contain it kills the engine when it starts to run), hang,
// refuse, slow (factor), leaving, load_lag_ms, cache_event_delay_ms, cache_event_loss.
class engine_model
{
public:
    engine_model(const engine_options &options, std::uint64_t seed);

    [[nodiscard]] std::variant<run_id, engine_refusal> submit(const engine_request &request, time_point now);
    // No output follows for the run. What it generated stays resumable.
    void cancel(run_id run, time_point now);
    // Outputs up to `now`, in order of time.
    [[nodiscard]] std::vector<engine_output> advance(time_point now);
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] load_report load(time_point now); // As it was before the lag.
    [[nodiscard]] cache_event_page cacheEvents(std::uint64_t from, time_point now) const;
    void release(const std::string &program, time_point now);
    [[nodiscard]] std::optional<cached_prefix> exportPrefix(const std::string &program) const;
    void importPrefix(const cached_prefix &prefix, time_point now);

    [[nodiscard]] order_result applyOrder(const engine_order &order, time_point now);
    void finishLoad(const std::string &model);
    [[nodiscard]] bool serves(const std::string &model) const;
    [[nodiscard]] const std::string &role() const;
    // Requests accepted more than 3 s after the first advance() with the fault `leaving` on.
    [[nodiscard]] std::uint64_t acceptedWhileLeaving() const;
    [[nodiscard]] token_count cachedTokens(const std::string &program) const;
    [[nodiscard]] fault_table &faults();

private:
    struct run_state
    {
        run_id id{};
        engine_request request;
        std::vector<history_step> steps;
        answer_plan plan;
        token_count promptTokens = 0;
        token_count cached = 0;
        double prefillLeft = 0;
        double produced = 0;
        token_count emitted = 0;
    };
    struct cache_entry
    {
        std::vector<history_step> steps;
        std::list<std::string>::iterator use;
    };

    [[nodiscard]] double decodeSpeed() const; // Tokens per second and request.
    [[nodiscard]] double prefillSpeed() const;
    [[nodiscard]] double secondsToBoundary(const run_state &run) const;
    [[nodiscard]] std::optional<time_point> nextBoundary() const;
    void catchUp(time_point now); // Like advance(); outputs stay in m_outputs.
    void progressTo(time_point when);
    void settleBoundaries();
    void startWaiting();
    void emit(run_state &run, token_count upTo);
    void noteLoad();
    void rememberStream(const run_state &run);
    [[nodiscard]] std::optional<token_count> resumePosition(const engine_request &request);
    void storePrefix(const std::string &program, std::vector<history_step> steps);
    void evictOver(token_count limit, const std::string &kept);
    void erasePrefix(const std::string &program);
    void publish(bool stored, const std::string &program, token_count tokens);
    [[nodiscard]] bool isRunning(const std::string &program) const;

    engine_options m_options;
    fault_table m_faults;
    std::mt19937_64 m_random;
    time_point m_at{};
    std::uint64_t m_lastRun = 0;
    std::vector<run_state> m_running;
    std::map<std::pair<std::uint32_t, std::uint64_t>, run_state> m_waiting; // By priority, then arrival.
    std::vector<engine_output> m_outputs;
    std::map<std::string, token_count> m_streams; // Generated tokens by request id, for resuming.
    std::deque<std::string> m_streamOrder;
    std::map<std::string, cache_entry> m_cache;
    std::list<std::string> m_cacheUse; // Least recently used first.
    token_count m_cacheUsed = 0;
    std::deque<std::pair<time_point, cache_event>> m_events;
    std::uint64_t m_lastEvent = 0;
    std::deque<std::pair<time_point, load_report>> m_loads;
    std::set<std::string> m_models;
    std::map<std::string, time_point> m_loading;
    std::string m_role = "mixed";
    fence m_fence = 0;
    std::optional<time_point> m_leavingSince;
    std::uint64_t m_acceptedWhileLeaving = 0;
};

} // namespace jackdawpick::standins
