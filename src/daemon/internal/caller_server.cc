#include "daemon/internal/caller_server.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

constexpr std::string_view programPrefix = "/v1/programs/";

std::string percentDecoded(std::string_view text)
{
    constexpr int hexBase = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, hexBase).ptr == text.data() + i + 3) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

bool isStream(const call_request &call)
{
    const auto *model = std::get_if<model_call>(&call.kind);
    return model != nullptr && model->stream;
}

bool isCallPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path.starts_with("/v1/services/");
}

} // namespace

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto parameter = query.substr(0, end);
        if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('=')) {
            return percentDecoded(parameter.substr(name.size() + 1));
        }
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
    }
    return {};
}

caller_server::caller_server(net::loop &loop, daemon_state &state, reply_table &replies, caller_limits limits)
    : m_loop(loop)
    , m_state(state)
    , m_replies(replies)
    , m_limits(limits)
{
}

std::uint16_t caller_server::listen(const net::listen_options &options)
{
    return m_loop.listenHttp(
        options, [this](const net::http_request &request) { receive(request); },
        [this](net::request_id id) {
            if (const auto handle = m_replies.dropHttp(id)) {
                m_state.post(caller_disconnected{*handle});
            }
        });
}

void caller_server::receive(const net::http_request &request)
{
    const bool isGet = request.method == "GET";
    const auto handleIf = [&](bool methodAllowed, auto handler) {
        if (methodAllowed) {
            handler();
        } else {
            refuse(request, result_code::MethodNotAllowed, request.method.substr(0, 16));
        }
    };
    if (isCallPath(request.path)) {
        handleIf(request.method == "POST", [&] { receiveCall(request); });
    } else if (request.path.starts_with(programPrefix)) {
        handleIf(isGet || request.method == "DELETE", [&] { receiveProgramQuery(request); });
    } else if (request.path == "/v1/entry") {
        handleIf(isGet, [&] { sendEntryList(request); });
    } else if (request.path == "/healthz") {
        handleIf(isGet, [&] { m_loop.respond(request.id, {}, R"({"alive": true})"); });
    } else if (request.path == "/readyz") {
        handleIf(isGet, [&] { sendReadiness(request); });
    } else if (request.path == "/metrics") {
        handleIf(isGet, [&] {
            m_loop.respond(request.id, {.status = 200, .contentType = "text/plain; version=0.0.4"},
                           m_state.metricsText());
        });
    } else {
        refuse(request, result_code::NotFound, "unknown path");
    }
}

void caller_server::receiveCall(const net::http_request &request)
{
    auto parsed = parseCall(request.path, std::make_shared<const std::string>(request.body), m_limits);
    if (const auto *reason = std::get_if<refusal>(&parsed)) {
        respondRefusal(m_loop, request.id, *reason);
        return;
    }
    auto &call = std::get<call_request>(parsed);
    const auto handle = m_replies.openHttp(request.id, call.requestId, isStream(call));
    m_state.post(call_arrived{.request = handle, .call = std::move(call), .peer = {}});
}

void caller_server::onForwarded(const std::string &peer, const forward_call &message)
{
    auto parsed = parseCall(message.path, std::make_shared<const std::string>(message.body), m_limits);
    if (const auto *reason = std::get_if<refusal>(&parsed)) {
        m_replies.apply(refuse_call{m_replies.openPeer(peer, message.id, false), *reason});
        return;
    }
    auto &call = std::get<call_request>(parsed);
    const auto handle = m_replies.openPeer(peer, message.id, isStream(call));
    m_state.post(call_arrived{.request = handle, .call = std::move(call), .peer = peer});
}

void caller_server::receiveProgramQuery(const net::http_request &request)
{
    const auto target = std::string_view(request.path).substr(programPrefix.size());
    const auto firstSlash = target.find('/');
    const auto secondSlash = firstSlash == std::string_view::npos ? firstSlash : target.find('/', firstSlash + 1);
    const program_key key{percentDecoded(target.substr(0, firstSlash)),
                          firstSlash == std::string_view::npos
                              ? std::string()
                              : percentDecoded(target.substr(firstSlash + 1, secondSlash - firstSlash - 1))};
    const auto suffix = secondSlash == std::string_view::npos ? std::string_view() : target.substr(secondSlash);
    const bool isHistory = suffix == "/history";
    if (key.customer.empty() || key.program.empty() || (!suffix.empty() && !isHistory)) {
        refuse(request, result_code::NotFound, "expected /v1/programs/{customer}/{program} or .../history");
        return;
    }
    auto kind = isHistory ? program_query_kind::History : program_query_kind::Status;
    if (request.method == "DELETE") {
        if (isHistory) {
            refuse(request, result_code::MethodNotAllowed, "a history cannot be deleted");
            return;
        }
        kind = program_query_kind::Close;
    }
    m_state.post(program_queried{.request = m_replies.openHttp(request.id, {}, false), .program = key, .kind = kind});
}

void caller_server::sendEntryList(const net::http_request &request)
{
    auto zone = queryValue(request.query, "zone");
    if (zone.empty()) {
        zone = m_state.self().zone;
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &entry : m_state.entryAddresses(zone)) {
        entries.push_back({{"daemon", entry.daemon}, {"zone", entry.zone}, {"address", entry.httpAddress}});
    }
    const nlohmann::json body{{"entries", std::move(entries)}, {"keep_seconds", m_state.entryListLifetime().count()}};
    m_loop.respond(request.id, {}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void caller_server::sendReadiness(const net::http_request &request)
{
    if (m_state.draining()) {
        refuse(request, result_code::Draining, "the daemon is shutting down");
    } else if (!m_state.ready()) {
        refuse(request, result_code::NotReady, "the configuration or the shard table has not been read yet");
    } else {
        m_loop.respond(request.id, {}, R"({"ready": true})");
    }
}

void caller_server::refuse(const net::http_request &request, result_code code, const std::string &message)
{
    constexpr std::chrono::milliseconds retryDelay{1000};
    const bool retryLater = describe(code).retry == retry_advice::Later;
    respondRefusal(
        m_loop, request.id,
        {.code = code, .message = message, .retryAfter = retryLater ? retryDelay : std::chrono::milliseconds(0)});
}

} // namespace jackdawpick
