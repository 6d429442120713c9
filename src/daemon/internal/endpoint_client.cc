#include "daemon/internal/endpoint_client.h"

#include "caller_api/caller_api.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds pollTimeout{2000};
constexpr std::chrono::milliseconds releaseTimeout{5000};
constexpr std::chrono::hours maxTimeout{1};

std::uint64_t numberOf(const json &object, const char *key)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string textOf(const json &object, const char *key)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string headerOf(const net::client_result &result, std::string_view name)
{
    for (const auto &[key, value] : result.headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

bool isLeaving(const net::client_result &result)
{
    return headerOf(result, "x-leaving") == "1";
}

bool succeeded(const net::client_result &result)
{
    return result.error == net::client_error::None && result.status / 100 == 2;
}

endpoint_failure failureOf(const net::client_result &result)
{
    endpoint_failure failure{
        .kind = failure_kind::Rejected, .bytesOffered = result.bytesSent, .httpStatus = result.status};
    switch (result.error) {
    case net::client_error::ConnectFailed:
        failure.kind = failure_kind::ConnectFailed;
        break;
    case net::client_error::ConnectionLost:
        failure.kind = failure_kind::ConnectionLost;
        break;
    case net::client_error::Silent:
        failure.kind = failure_kind::Silent;
        break;
    case net::client_error::Timeout:
        failure.kind = failure_kind::DeadlinePassed;
        break;
    case net::client_error::None:
        if (result.status == 429 || result.status == 503) {
            failure.kind = failure_kind::Refused;
        }
        break;
    }
    return failure;
}

} // namespace

endpoint_client::endpoint_client(net::loop &loop, endpoint_client_options options, std::function<void(event)> post)
    : m_loop(loop)
    , m_options(options)
    , m_post(std::move(post))
{
}

void endpoint_client::start()
{
    m_loop.every(m_options.loadPollInterval, [this] {
        for (auto &[name, engine] : m_engines) {
            pollLoad(name, engine);
        }
    });
    m_loop.every(m_options.cacheEventPollInterval, [this] {
        for (auto &[name, engine] : m_engines) {
            pollCacheEvents(name, engine);
        }
    });
}

void endpoint_client::setHosts(const std::vector<host_entry> &hosts)
{
    std::map<std::string, polled_engine> engines;
    for (const auto &host : hosts) {
        if (host.kind != host_kind::Engine) {
            continue;
        }
        const auto known = m_engines.find(host.name);
        const bool unchanged = known != m_engines.end() && known->second.address == host.address;
        engines[host.name] = unchanged ? known->second : polled_engine{.address = host.address};
    }
    m_engines = std::move(engines);
}

void endpoint_client::apply(const start_dispatch &dispatch)
{
    const auto id = dispatch.dispatch;
    const auto *service = std::get_if<service_call>(&dispatch.kind);
    net::client_request http;
    http.address = dispatch.address;
    http.method = "POST";
    http.path = service == nullptr ? "/v1/chat/completions" : fmt::format("/{}", service->path);
    http.body = endpointBody(dispatch);
    http.headers = {
        {"Content-Type", "application/json"}, {"X-Request-Id", dispatch.requestId}, {"X-Program", dispatch.program}};
    const bool hasTimeout = dispatch.timeout.count() > 0 && dispatch.timeout < maxTimeout;
    http.timeout = hasTimeout ? dispatch.timeout : std::chrono::milliseconds(maxTimeout);
    // A service sends its response in one piece, so only the call's timeout applies and no idle timeout.
    http.silence = service == nullptr ? m_options.endpointIdleTimeout : std::chrono::milliseconds(0);
    auto &running = m_running[static_cast<std::uint64_t>(id)];
    running.dispatch = dispatch;
    if (service == nullptr) {
        running.request = m_loop.request(
            std::move(http), [this, id](const net::client_result &result) { onEngineResult(id, result); },
            [this, id](std::string_view bytes) { onChunk(id, bytes); });
    } else {
        running.request = m_loop.request(std::move(http),
                                         [this, id](const net::client_result &result) { onServiceResult(id, result); });
    }
}

void endpoint_client::apply(const cancel_dispatch &cancelled)
{
    if (const auto node = m_running.extract(static_cast<std::uint64_t>(cancelled.dispatch))) {
        m_loop.cancel(node.mapped().request);
    }
}

void endpoint_client::onChunk(dispatch_id id, std::string_view bytes)
{
    const auto key = static_cast<std::uint64_t>(id);
    try {
        for (const auto &payload : m_running.at(key).events.append(bytes)) {
            // Handling an event may cancel this dispatch.
            const auto found = m_running.find(key);
            if (found == m_running.end()) {
                return;
            }
            onEvent(found->second, payload);
        }
    } catch (const std::exception &problem) {
        logging::write(log_level::Warning, "engine_stream_malformed", {{"problem", std::string_view(problem.what())}});
        if (const auto found = m_running.find(key); found != m_running.end()) {
            m_loop.cancel(found->second.request);
            fail(id, {.kind = failure_kind::ConnectionLost, .bytesOffered = true, .httpStatus = 0}, false);
        }
    }
}

void endpoint_client::onEvent(running_dispatch &running, const std::string &payload)
{
    if (payload == "[DONE]") {
        running.doneReceived = true;
        return;
    }
    const json chunk = json::parse(payload);
    running.echoedRequestId = textOf(chunk, "request_id");
    if (const auto used = chunk.find("usage"); used != chunk.end() && used->is_object()) {
        running.used = {numberOf(*used, "prompt_tokens"), numberOf(*used, "cached_tokens"),
                        numberOf(*used, "completion_tokens")};
        running.hasUsage = true;
    }
    const json::json_pointer content("/choices/0/delta/content");
    if (chunk.contains(content) && chunk.at(content).is_string() && !chunk.at(content).get<std::string>().empty()) {
        m_post(dispatch_progress{.dispatch = running.dispatch.dispatch,
                                 .requestId = running.echoedRequestId,
                                 .text = chunk.at(content).get<std::string>()});
    }
}

void endpoint_client::onEngineResult(dispatch_id id, const net::client_result &result)
{
    const auto found = m_running.find(static_cast<std::uint64_t>(id));
    if (found == m_running.end()) {
        return;
    }
    const auto &running = found->second;
    if (!succeeded(result)) {
        fail(id, failureOf(result), isLeaving(result));
        return;
    }
    if (!running.doneReceived || !running.hasUsage) {
        // The stream ended without usage or the final "[DONE]", so the answer is truncated.
        fail(id, {.kind = failure_kind::ConnectionLost, .bytesOffered = true, .httpStatus = result.status},
             isLeaving(result));
        return;
    }
    dispatch_finished finished{.dispatch = id,
                               .requestId = running.echoedRequestId,
                               .used = running.used,
                               .body = {},
                               .endpointLeaving = isLeaving(result)};
    m_running.erase(found);
    m_post(std::move(finished));
}

void endpoint_client::onServiceResult(dispatch_id id, const net::client_result &result)
{
    const auto found = m_running.find(static_cast<std::uint64_t>(id));
    if (found == m_running.end()) {
        return;
    }
    if (!succeeded(result)) {
        fail(id, failureOf(result), isLeaving(result));
        return;
    }
    // The connection carries only this request, so a response without an echoed id still belongs to it.
    auto echoed = headerOf(result, "x-request-id");
    if (echoed.empty()) {
        echoed = found->second.dispatch.requestId;
    }
    m_running.erase(found);
    m_post(dispatch_finished{.dispatch = id,
                             .requestId = std::move(echoed),
                             .used = {},
                             .body = result.body,
                             .endpointLeaving = isLeaving(result)});
}

void endpoint_client::fail(dispatch_id id, const endpoint_failure &failure, bool leaving)
{
    m_running.erase(static_cast<std::uint64_t>(id));
    m_post(dispatch_failed{.dispatch = id, .failure = failure, .endpointLeaving = leaving});
}

void endpoint_client::apply(const release_cache &release)
{
    net::client_request http;
    http.address = release.address;
    http.method = "POST";
    http.path = "/kv/release";
    http.body = json{{"program", release.program}}.dump(-1, ' ', false, json::error_handler_t::replace);
    http.headers = {{"Content-Type", "application/json"}};
    http.timeout = releaseTimeout;
    http.reuseConnection = true;
    m_loop.request(std::move(http), [this, program = release.program, endpoint = release.endpoint](const auto &result) {
        m_post(release_finished{.program = program, .endpoint = endpoint, .acknowledged = succeeded(result)});
    });
}

std::size_t endpoint_client::running() const
{
    return m_running.size();
}

void endpoint_client::pollLoad(const std::string &name, polled_engine &engine)
{
    if (engine.loadPending) {
        return;
    }
    engine.loadPending = true;
    net::client_request http;
    http.address = engine.address;
    http.path = "/load";
    http.timeout = pollTimeout;
    http.reuseConnection = true;
    m_loop.request(std::move(http), [this, name, address = engine.address](const net::client_result &result) {
        const auto found = m_engines.find(name);
        if (found == m_engines.end() || found->second.address != address) {
            return;
        }
        found->second.loadPending = false;
        const json body = json::parse(result.body, nullptr, false);
        if (!succeeded(result) || !body.is_object()) {
            return;
        }
        const load_report report{.running = static_cast<std::uint32_t>(numberOf(body, "running")),
                                 .queued = static_cast<std::uint32_t>(numberOf(body, "queued")),
                                 .slots = static_cast<std::uint32_t>(numberOf(body, "slots")),
                                 .cacheUsedTokens = numberOf(body, "kv_used_tokens"),
                                 .cacheTotalTokens = numberOf(body, "kv_total_tokens")};
        m_post(load_received{.endpoint = name, .report = report, .leaving = isLeaving(result)});
    });
}

void endpoint_client::pollCacheEvents(const std::string &name, polled_engine &engine)
{
    if (engine.cacheEventsPending) {
        return;
    }
    engine.cacheEventsPending = true;
    net::client_request http;
    http.address = engine.address;
    http.path = fmt::format("/kv/events?from={}", engine.nextCacheEvent);
    http.timeout = pollTimeout;
    http.reuseConnection = true;
    m_loop.request(std::move(http), [this, name, address = engine.address](const net::client_result &result) {
        const auto found = m_engines.find(name);
        if (found == m_engines.end() || found->second.address != address) {
            return;
        }
        found->second.cacheEventsPending = false;
        const json body = json::parse(result.body, nullptr, false);
        if (!succeeded(result) || !body.is_object() || !body.contains("events") || !body["events"].is_array()) {
            return;
        }
        found->second.nextCacheEvent = numberOf(body, "next");
        cache_events_received received{.endpoint = name, .events = {}};
        for (const auto &entry : body["events"]) {
            received.events.push_back({.sequence = numberOf(entry, "seq"),
                                       .stored = textOf(entry, "op") == "stored",
                                       .program = textOf(entry, "program"),
                                       .tokens = numberOf(entry, "tokens")});
        }
        if (!received.events.empty()) {
            m_post(std::move(received));
        }
    });
}

} // namespace jackdawpick
