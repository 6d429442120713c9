#include "daemon/internal/platform_client.h"

#include "base64/base64.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds hostListTimeout{3000};

std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<host_entry> parseHost(const json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const auto kind = hostKindFromName(textOf(value, "kind"));
    host_entry host;
    host.name = textOf(value, "name");
    host.address = textOf(value, "address");
    host.peerAddress = textOf(value, "peer_address");
    if (kind == host_kind::Daemon && !textOf(value, "http_address").empty()) {
        host.address = textOf(value, "http_address");
    }
    if (!kind || host.name.empty() || host.address.empty()) {
        return std::nullopt;
    }
    host.kind = *kind;
    host.pool = textOf(value, "pool");
    host.zone = textOf(value, "zone");
    host.leaving = textOf(value, "state") == "leaving";
    const auto fencing = value.find("checks_fencing");
    host.checksFencing = fencing != value.end() && fencing->is_boolean() && fencing->get<bool>();
    const auto slots = value.find("slots");
    host.slots = slots != value.end() && slots->is_number_unsigned() ? slots->get<std::uint32_t>() : 0;
    return host;
}

} // namespace

std::optional<std::vector<host_entry>> parseHostList(const std::string &body, std::size_t &skipped)
{
    skipped = 0;
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("hosts") || !value["hosts"].is_array()) {
        return std::nullopt;
    }
    std::vector<host_entry> hosts;
    for (const auto &entry : value["hosts"]) {
        if (auto host = parseHost(entry)) {
            hosts.push_back(std::move(*host));
        } else {
            ++skipped;
        }
    }
    return hosts;
}

read_result parseLogPage(const std::string &stream, const std::string &body)
{
    read_result result;
    result.stream = stream;
    const json value = json::parse(body, nullptr, false);
    const auto isNumber = [](const json &object, const char *key) {
        return object.is_object() && object.contains(key) && object[key].is_number_unsigned();
    };
    if (!isNumber(value, "first") || !isNumber(value, "end") || !value.contains("records")
        || !value["records"].is_array()) {
        return result;
    }
    for (const auto &record : value["records"]) {
        auto payload = isNumber(record, "offset") ? decodeBase64(textOf(record, "payload")) : std::nullopt;
        if (!payload) {
            result.records.clear();
            return result;
        }
        result.records.push_back({record["offset"].get<log_offset>(), std::move(*payload)});
    }
    result.first = value["first"].get<log_offset>();
    result.end = value["end"].get<log_offset>();
    result.ok = true;
    return result;
}

platform_client::platform_client(net::loop &loop, platform_options options, std::function<void(event)> post)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_post(std::move(post))
{
}

void platform_client::start()
{
    m_loop.after(std::chrono::milliseconds(0), [this] { pollHostList(); });
    m_loop.every(m_options.hostListPollInterval, [this] { pollHostList(); });
}

void platform_client::send(const log_request &request)
{
    if (const auto *appendRequest = std::get_if<append_request>(&request)) {
        append(*appendRequest);
    } else {
        read(std::get<read_request>(request));
    }
}

void platform_client::append(const append_request &request)
{
    net::client_request http;
    http.address = m_options.logAddress;
    http.method = "POST";
    http.path = fmt::format("/streams/{}/append", request.stream);
    http.body = fmt::format(R"({{"payload":"{}"}})", encodeBase64(request.payload));
    http.headers = {{"Content-Type", "application/json"}};
    http.timeout = m_options.logTimeout;
    http.reuseConnection = true; // If the response is lost, the writer finds the record by reading the stream.
    m_loop.request(std::move(http), [this, stream = request.stream](const net::client_result &result) {
        append_result outcome{.stream = stream, .offset = {}};
        const json body = json::parse(result.body, nullptr, false);
        if (result.error == net::client_error::None && result.status == 200 && body.is_object()
            && body.contains("offset") && body["offset"].is_number_unsigned()) {
            outcome.offset = body["offset"].get<log_offset>();
        }
        m_post(append_finished{outcome});
    });
}

void platform_client::read(const read_request &request)
{
    net::client_request http;
    http.address = m_options.logAddress;
    http.path = fmt::format("/streams/{}?from={}&limit={}", request.stream, request.from, request.limit);
    http.timeout = m_options.logTimeout;
    http.reuseConnection = true;
    m_loop.request(std::move(http),
                   [this, stream = request.stream, tag = request.tag](const net::client_result &result) {
                       read_result page;
                       page.stream = stream;
                       if (result.error == net::client_error::None && result.status == 200) {
                           page = parseLogPage(stream, result.body);
                       }
                       page.tag = tag;
                       m_post(read_finished{std::move(page)});
                   });
}

void platform_client::pollHostList()
{
    if (m_hostListPending) {
        return;
    }
    m_hostListPending = true;
    net::client_request http;
    http.address = m_options.hostListAddress;
    http.path = "/hosts";
    http.timeout = hostListTimeout;
    http.reuseConnection = true;
    m_loop.request(std::move(http), [this](const net::client_result &result) {
        m_hostListPending = false;
        std::size_t skipped = 0;
        const bool answered = result.error == net::client_error::None && result.status == 200;
        auto hosts = answered ? parseHostList(result.body, skipped) : std::nullopt;
        const bool failed = !hosts || skipped > 0;
        if (failed && !m_hostListFailed) {
            logging::write(log_level::Warning, "host_list_unusable",
                           {{"status", result.status}, {"answered", answered}, {"skipped", skipped}});
        }
        m_hostListFailed = failed;
        if (hosts) {
            m_post(host_list_received{std::move(*hosts)});
        }
    });
}

} // namespace jackdawpick
