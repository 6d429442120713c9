#pragma once

// The stand-ins over HTTP, with exactly the calls of docs/design.md, section 9, and admin calls of their own.
//
//   net::loop loop;
//   system_clock_source clock;
//   engine_server engine(loop, clock, {.options = {.slots = 8}, .seed = 1});
//   fmt::print("listening {}\n", engine.listen("127.0.0.1:0"));

#include "platform/engine_model.h"
#include "platform/host_model.h"
#include "platform/log_model.h"
#include "platform/service_model.h"
#include "platform/standin_server.h"
#include "platform/weight_model.h"

#include <unordered_map>

namespace jackdawpick::standins
{

struct engine_server_options
{
    engine_options options;
    std::uint64_t seed = 1;
    std::string weightStore{}; // "ip:port"; empty: load orders take the model's own time.
};

// Admin call: GET /admin/stats.
class engine_server
{
public:
    engine_server(net::loop &loop, const clock_source &clock, const engine_server_options &options);

    std::string listen(const std::string &address);
    [[nodiscard]] fault_table &faults();

private:
    struct open_answer
    {
        net::request_id request{};
        std::string requestId;
        bool stream = false;
        std::string text; // Collected for an answer that is not streamed.
    };

    void receive(const net::http_request &request);
    void complete(const net::http_request &request);
    void events(const net::http_request &request);
    void prefix(const net::http_request &request);
    void order(const net::http_request &request);
    void load(const net::http_request &request);
    void stats(const net::http_request &request);
    void fetchWeights(const std::string &model);
    void pump();
    void send(const engine_chunk &chunk);
    void send(const engine_end &end);
    [[noreturn]] void send(const engine_crash &crash);

    const clock_source &m_clock;
    engine_server_options m_options;
    engine_model m_model;
    standin_server m_server;
    std::unordered_map<run_id, open_answer> m_answers;
    std::unordered_map<net::request_id, run_id> m_runs;
    std::uint64_t m_completed = 0;
    std::uint64_t m_cancelled = 0;
    token_count m_promptTokens = 0;
    token_count m_cachedTokens = 0;
    token_count m_completionTokens = 0;
};

// Admin call: GET /admin/counts.
class service_server
{
public:
    service_server(net::loop &loop, const clock_source &clock, const service_options &options, std::uint64_t seed);

    std::string listen(const std::string &address);
    [[nodiscard]] fault_table &faults();

private:
    void receive(const net::http_request &request);
    void counts(const net::http_request &request);

    const clock_source &m_clock;
    service_model m_model;
    standin_server m_server;
};

// Admin call: GET /admin/streams.
class log_server
{
public:
    log_server(net::loop &loop, const clock_source &clock, const log_options &options, std::uint64_t seed);

    std::string listen(const std::string &address);
    [[nodiscard]] fault_table &faults();

private:
    void receive(const net::http_request &request);
    void append(const net::http_request &request, const std::string &stream);
    void read(const net::http_request &request, const std::string &stream);

    const clock_source &m_clock;
    log_model m_model;
    standin_server m_server;
    std::uint64_t m_appends = 0;
    std::uint64_t m_refused = 0;
};

// Admin call: GET /admin/stats.
class weight_server
{
public:
    weight_server(net::loop &loop, const clock_source &clock, const weight_options &options);

    std::string listen(const std::string &address);
    [[nodiscard]] fault_table &faults();

private:
    void receive(const net::http_request &request);

    const clock_source &m_clock;
    weight_model m_model;
    standin_server m_server;
};

// Admin calls: POST /admin/hosts {"hosts": [...]} replaces the list, POST /admin/host adds or replaces one host,
// POST /admin/host/state {"name", "state"}, POST /admin/host/remove {"name"}.
class host_server
{
public:
    // Reads `file` ({"hosts": [...]}) at start and again whenever its text has changed; empty: admin calls only.
    host_server(net::loop &loop, const clock_source &clock, const host_options &options, std::string file);

    std::string listen(const std::string &address);
    [[nodiscard]] fault_table &faults();

private:
    void receive(const net::http_request &request);
    [[nodiscard]] bool change(const net::http_request &request);
    void readFile();

    const clock_source &m_clock;
    host_model m_model;
    standin_server m_server;
    std::string m_file;
    std::string m_fileText;
};

[[nodiscard]] nlohmann::json toJson(const host_entry &host);
// Throws error(MalformedRequest) naming the field.
[[nodiscard]] host_entry hostFromJson(const nlohmann::json &value);

} // namespace jackdawpick::standins
