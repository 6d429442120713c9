#pragma once

// HTTP client of the endpoints: runs dispatches on engines and plain services, releases caches, and polls the load and
// the cache events of engines.

#include "core/events.h"
#include "net/net.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace jackdawpick
{

struct endpoint_client_options
{
    // Longest time without a byte from an engine that runs a call.
    std::chrono::milliseconds endpointIdleTimeout{10000};
    std::chrono::milliseconds loadPollInterval{250};
    std::chrono::milliseconds cacheEventPollInterval{1000};
};

class endpoint_client
{
public:
    endpoint_client(net::loop &loop, endpoint_client_options options, std::function<void(event)> post);

    // Starts the polls of the engines given to setHosts().
    void start();
    void setHosts(const std::vector<host_entry> &hosts);
    void apply(const start_dispatch &dispatch);
    void apply(const cancel_dispatch &cancelled);
    void apply(const release_cache &release);
    [[nodiscard]] std::size_t running() const;

private:
    struct running_dispatch
    {
        start_dispatch dispatch;
        net::client_id request{};
        net::sse_reader events;
        std::string echoedRequestId;
        usage used;
        bool hasUsage = false;
        bool doneReceived = false; // The stream's final "[DONE]" has arrived.
    };
    struct polled_engine
    {
        std::string address;
        bool loadPending = false;
        bool cacheEventsPending = false;
        std::uint64_t nextCacheEvent = 0;
    };

    void onChunk(dispatch_id id, std::string_view bytes);
    void onEvent(running_dispatch &running, const std::string &payload);
    void onEngineResult(dispatch_id id, const net::client_result &result);
    void onServiceResult(dispatch_id id, const net::client_result &result);
    void fail(dispatch_id id, const endpoint_failure &failure, bool leaving);
    void pollLoad(const std::string &name, polled_engine &engine);
    void pollCacheEvents(const std::string &name, polled_engine &engine);

    net::loop &m_loop;
    endpoint_client_options m_options;
    std::function<void(event)> m_post;
    std::unordered_map<std::uint64_t, running_dispatch> m_running;
    std::map<std::string, polled_engine> m_engines;
};

} // namespace jackdawpick
