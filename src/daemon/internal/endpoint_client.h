#pragma once

// Calls on engines and plain services, releases of caches, and polls of load and cache events.

#include "core/events.h"
#include "net/net.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace jackdawpick
{

struct endpoint_client_options
{
    std::chrono::milliseconds silence{10000}; // Of engines while they run a call.
    std::chrono::milliseconds loadPoll{250};
    std::chrono::milliseconds cacheEventPoll{1000};
};

class endpoint_client
{
public:
    endpoint_client(net::loop &loop, endpoint_client_options options, std::function<void(event)> post);

    // Starts the polls of the engines that setHosts() names.
    void start();
    void setHosts(const std::vector<host_entry> &hosts);
    void apply(const start_dispatch &what);
    void apply(const cancel_dispatch &what);
    void apply(const release_cache &what);
    [[nodiscard]] std::size_t running() const;

private:
    struct running_dispatch
    {
        start_dispatch what;
        net::client_id request{};
        net::sse_reader events;
        std::string echoedId;
        usage used;
        bool hasUsage = false;
        bool done = false;
    };
    struct polled_engine
    {
        std::string address;
        bool loadPending = false;
        bool eventsPending = false;
        std::uint64_t nextEvent = 0;
    };

    void onChunk(dispatch_id id, std::string_view bytes);
    void onEvent(running_dispatch &running, const std::string &payload);
    void onEngineResult(dispatch_id id, const net::client_result &result);
    void onServiceResult(dispatch_id id, const net::client_result &result);
    void fail(dispatch_id id, const endpoint_failure &failure, bool leaving);
    void pollLoad(const std::string &name, polled_engine &engine);
    void pollEvents(const std::string &name, polled_engine &engine);

    net::loop &m_loop;
    endpoint_client_options m_options;
    std::function<void(event)> m_post;
    std::unordered_map<std::uint64_t, running_dispatch> m_running;
    std::map<std::string, polled_engine> m_engines;
};

} // namespace jackdawpick
