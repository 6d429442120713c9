#include "platform/standin_server.h"

#include "results/results.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace jackdawpick::standins
{

using nlohmann::json;

standin_server::standin_server(net::loop &loop, fault_table &faults)
    : m_loop(loop)
    , m_faults(faults)
{
}

std::string standin_server::listen(const std::string &address)
{
    auto options = listenOptions(address);
    // Engines receive whole histories of up to 460,000 tokens.
    options.maxBodyBytes = 16U << 20U;
    const auto port = m_loop.listenHttp(
        options, [this](const net::http_request &request) { receive(request); },
        [this](net::request_id id) {
            m_open.erase(id);
            m_silent.erase(id);
            if (m_disconnect) {
                m_disconnect(id);
            }
        });
    return fmt::format("{}:{}", options.address, port);
}

void standin_server::onRequest(request_handler handler)
{
    m_request = std::move(handler);
}

void standin_server::onDisconnect(std::function<void(net::request_id)> handler)
{
    m_disconnect = std::move(handler);
}

void standin_server::onFaultChange(std::function<void()> handler)
{
    m_faultChange = std::move(handler);
}

net::loop &standin_server::loop()
{
    return m_loop;
}

void standin_server::receive(const net::http_request &request)
{
    m_open.insert(request.id);
    if (request.method == "POST" && request.path == "/admin/fault") {
        changeFault(request);
    } else if (request.method == "GET" && request.path == "/admin/faults") {
        json values = json::object();
        for (const auto &[name, value] : m_faults.all()) {
            std::visit([&values, &key = name](const auto &v) { values[key] = v; }, value);
        }
        answer(request.id, 200,
               {{"faults", values}, {"open_requests", m_open.size()}, {"silent_requests", m_silent.size()}});
    } else {
        m_request(request);
    }
}

void standin_server::changeFault(const net::http_request &request)
{
    const json body = objectOf(request.body);
    const json name = body.value("fault", json());
    const json value = body.value("value", json(1));
    try {
        if (name == "silence") {
            m_silent.insert(m_open.begin(), m_open.end());
            m_silent.erase(request.id);
        } else if (!name.is_string()) {
            throw error(result_code::MalformedRequest, "fault: expected a name");
        } else if (value.is_string()) {
            m_faults.set(name.get<std::string>(), value.get<std::string>());
        } else if (value.is_boolean()) {
            m_faults.set(name.get<std::string>(), value.get<bool>() ? 1.0 : 0.0);
        } else if (value.is_number()) {
            m_faults.set(name.get<std::string>(), value.get<double>());
        } else {
            throw error(result_code::MalformedRequest, "value: expected a number, a text or a truth value");
        }
    } catch (const error &problem) {
        answer(request.id, 400, {{"error", problem.what()}});
        return;
    }
    if (m_faultChange) {
        m_faultChange();
    }
    answer(request.id, 200, {{"ok", true}});
}

net::http_head standin_server::head(std::uint16_t status) const
{
    net::http_head head{.status = status};
    const auto &all = m_faults.all();
    if (all.contains("leaving") && m_faults.isOn("leaving")) {
        head.headers.emplace_back("X-Leaving", "1");
    }
    return head;
}

bool standin_server::maySend(net::request_id id) const
{
    return m_open.contains(id) && !m_silent.contains(id);
}

void standin_server::respond(net::request_id id, const net::http_head &head, const std::string &body)
{
    if (maySend(id)) {
        m_open.erase(id);
        m_loop.respond(id, head, body);
    }
}

void standin_server::answer(net::request_id id, std::uint16_t status, const json &body, std::chrono::milliseconds delay)
{
    if (delay.count() <= 0) {
        respond(id, head(status), body.dump());
        return;
    }
    m_loop.after(delay, [this, id, status, text = body.dump()] { respond(id, head(status), text); });
}

void standin_server::refuse(net::request_id id, std::uint16_t status, const std::string &message,
                            std::chrono::milliseconds retryAfter, std::chrono::milliseconds delay)
{
    auto refusal = head(status);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    refusal.headers.emplace_back("Retry-After", fmt::format("{}", std::max<std::int64_t>(1, seconds)));
    const json body{{"error", message}, {"retry_after_ms", retryAfter.count()}};
    m_loop.after(delay, [this, id, refusal, text = body.dump()] { respond(id, refusal, text); });
}

void standin_server::notFound(const net::http_request &request)
{
    answer(request.id, 404, {{"error", fmt::format("no such call: {} {}", request.method, request.path)}});
}

void standin_server::beginStream(net::request_id id)
{
    if (maySend(id)) {
        auto stream = head(200);
        stream.contentType = "text/event-stream";
        m_loop.beginStream(id, stream);
    }
}

void standin_server::write(net::request_id id, const std::string &bytes)
{
    if (maySend(id)) {
        m_loop.writeStream(id, bytes);
    }
}

void standin_server::endStream(net::request_id id)
{
    if (maySend(id)) {
        m_open.erase(id);
        m_loop.endStream(id);
    }
}

net::listen_options listenOptions(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    if (colon == std::string::npos || std::from_chars(address.data() + colon + 1, end, port).ptr != end) {
        throw error(result_code::SettingsInvalid, fmt::format("address {}: expected IP:PORT", address));
    }
    return {.address = address.substr(0, colon), .port = port};
}

std::string headerOf(const net::http_request &request, std::string_view name)
{
    const auto found =
        std::ranges::find_if(request.headers, [name](const auto &header) { return header.first == name; });
    return found == request.headers.end() ? std::string() : found->second;
}

std::string queryOf(const net::http_request &request, std::string_view name)
{
    std::string_view rest = request.query;
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find('&'));
        if (part.substr(0, part.find('=')) == name && part.find('=') != std::string_view::npos) {
            return std::string(part.substr(name.size() + 1));
        }
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
    return {};
}

json objectOf(const std::string &body)
{
    auto parsed = json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

} // namespace jackdawpick::standins
