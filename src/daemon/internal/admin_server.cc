#include "daemon/internal/admin_server.h"

#include "daemon/internal/caller_server.h"
#include "logging/logging.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

constexpr std::array<std::string_view, 5> adminPaths{"/admin/status", "/admin/dump", "/admin/configuration",
                                                     "/admin/drain", "/admin/log-level"};

// Appends one line "path.to.key: value" for each leaf of `value`.
void appendText(std::string &out, const std::string &path, const nlohmann::json &value)
{
    if (!value.is_structured() || value.empty()) {
        out += fmt::format("{}: {}\n", path,
                           value.is_string() ? value.get<std::string>()
                                             : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    for (const auto &[key, child] : value.items()) {
        appendText(out, path.empty() ? key : fmt::format("{}.{}", path, key), child);
    }
}

} // namespace

admin_server::admin_server(net::loop &loop, daemon_state &state, reply_table &replies)
    : m_loop(loop)
    , m_state(state)
    , m_replies(replies)
{
}

std::uint16_t admin_server::listen(const net::listen_options &options)
{
    return m_loop.listenHttp(
        options, [this](const net::http_request &request) { receive(request); },
        [this](net::request_id id) { m_replies.dropHttp(id); });
}

void admin_server::receive(const net::http_request &request)
{
    if (std::ranges::find(adminPaths, request.path) == adminPaths.end()) {
        refuse(request, result_code::NotFound, "unknown path in the admin interface");
    } else if (request.method == "GET") {
        get(request);
    } else if (request.method == "POST") {
        post(request);
    } else {
        refuse(request, result_code::MethodNotAllowed, request.method.substr(0, 16));
    }
}

void admin_server::get(const net::http_request &request)
{
    if (request.path == "/admin/status") {
        sendStatus(request);
    } else if (request.path == "/admin/dump") {
        sendDump(request);
    } else if (request.path == "/admin/configuration") {
        send(request, {{"version", m_state.configurationVersion()}, {"text", m_state.configurationText()}});
    } else {
        refuse(request, result_code::MethodNotAllowed, "expected POST");
    }
}

void admin_server::post(const net::http_request &request)
{
    if (request.path == "/admin/configuration") {
        publish(request);
    } else if (request.path == "/admin/drain") {
        m_state.post(drain_requested{});
        send(request, {{"draining", true}}, 202);
    } else if (request.path == "/admin/log-level") {
        setLogLevel(request);
    } else {
        refuse(request, result_code::MethodNotAllowed, "expected GET");
    }
}

void admin_server::sendStatus(const net::http_request &request)
{
    const auto &self = m_state.self();
    send(request,
         {{"daemon", self.daemon.name},
          {"incarnation", fmt::format("{:016x}", self.daemon.incarnation)},
          {"zone", self.zone},
          {"ready", m_state.ready()},
          {"draining", m_state.draining()},
          {"configuration_version", m_state.configurationVersion()}});
}

void admin_server::sendDump(const net::http_request &request)
{
    const auto dump = m_state.dump();
    if (queryValue(request.query, "format") != "text") {
        send(request, dump);
        return;
    }
    std::string text;
    appendText(text, {}, dump);
    m_loop.respond(request.id, {.status = 200, .contentType = "text/plain"}, text);
}

void admin_server::publish(const net::http_request &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("base_version") && body["base_version"].is_number_unsigned()
        && body.contains("text") && body["text"].is_string();
    if (!valid) {
        refuse(request, result_code::MalformedRequest, R"(expected {"base_version": number, "text": TOML})");
        return;
    }
    m_state.post(configuration_submitted{.request = m_replies.openHttp(request.id, {}, false),
                                         .publication = {.baseVersion = body["base_version"].get<log_offset>(),
                                                         .text = body["text"].get<std::string>(),
                                                         .publisher = fmt::format("{}.{:x}", m_state.self().daemon.name,
                                                                                  m_state.self().daemon.incarnation),
                                                         .publication = m_state.randomNumber()}});
}

void admin_server::setLogLevel(const net::http_request &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("level") && body["level"].is_string();
    const auto level = valid ? logLevelFromName(body["level"].get<std::string>()) : std::nullopt;
    if (!level) {
        refuse(request, result_code::MalformedRequest, R"(expected {"level": "debug"|"info"|"warning"|"error"})");
        return;
    }
    logging::setLevel(*level);
    send(request, {{"level", nameOf(*level)}});
}

void admin_server::refuse(const net::http_request &request, result_code code, const std::string &message)
{
    respondRefusal(m_loop, request.id, {.code = code, .message = message, .retryAfter = {}});
}

void admin_server::send(const net::http_request &request, const nlohmann::json &body, std::uint16_t status)
{
    m_loop.respond(request.id, {.status = status}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace jackdawpick
