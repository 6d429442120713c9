#include "platform/servers.h"

#include <charconv>

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

constexpr std::uint64_t maxPageRecords = 1000;
constexpr std::string_view streamsPath = "/streams/";

std::uint64_t numberOf(const std::string &text, std::uint64_t otherwise)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    return status == std::errc{} ? value : otherwise;
}

} // namespace

log_server::log_server(net::loop &loop, const clock_source &clock, const log_options &options, std::uint64_t seed)
    : m_clock(clock)
    , m_model(options, seed)
    , m_server(loop, m_model.faults())
{
    m_server.onRequest([this](const net::http_request &request) { receive(request); });
}

std::string log_server::listen(const std::string &address)
{
    return m_server.listen(address);
}

fault_table &log_server::faults()
{
    return m_model.faults();
}

void log_server::receive(const net::http_request &request)
{
    if (request.method == "GET" && request.path == "/admin/streams") {
        m_server.answer(request.id, 200,
                        {{"ends", m_model.ends()}, {"appends", m_appends}, {"rate_limited", m_refused}});
        return;
    }
    if (!request.path.starts_with(streamsPath)) {
        m_server.notFound(request);
        return;
    }
    const std::string rest = request.path.substr(streamsPath.size());
    if (request.method == "POST" && rest.ends_with("/append")) {
        append(request, rest.substr(0, rest.rfind('/')));
    } else if (request.method == "GET" && rest.find('/') == std::string::npos) {
        read(request, rest);
    } else {
        m_server.notFound(request);
    }
}

// Payloads are kept in base64 as they arrive; nothing here looks into them.
void log_server::append(const net::http_request &request, const std::string &stream)
{
    const json body = objectOf(request.body);
    if (!body.contains("payload") || !body["payload"].is_string()) {
        m_server.answer(request.id, 400, {{"error", "payload: expected base64"}});
        return;
    }
    const auto result = m_model.append(stream, body["payload"].get<std::string>(), m_clock.now());
    switch (result.status) {
    case log_status::Ok:
        ++m_appends;
        m_server.answer(request.id, 200, {{"offset", result.offset}}, result.delay);
        break;
    case log_status::RateLimited:
        ++m_refused;
        m_server.refuse(request.id, 429, "over the rate", result.retryAfter, result.delay);
        break;
    case log_status::Unavailable:
        m_server.refuse(request.id, 503, "outage", std::chrono::seconds(1), result.delay);
        break;
    case log_status::NoAnswer:
        break;
    }
}

void log_server::read(const net::http_request &request, const std::string &stream)
{
    const auto from = numberOf(queryOf(request, "from"), 1);
    const auto limit = std::min(maxPageRecords, numberOf(queryOf(request, "limit"), maxPageRecords));
    const auto page = m_model.read(stream, from, limit, m_clock.now());
    if (page.status == log_status::Unavailable) {
        m_server.refuse(request.id, 503, "outage", std::chrono::seconds(1), page.delay);
    } else if (page.status == log_status::Ok) {
        json records = json::array();
        for (const auto &record : page.records) {
            records.push_back({{"offset", record.offset}, {"payload", record.payload}});
        }
        m_server.answer(request.id, 200, {{"records", records}, {"first", page.first}, {"end", page.end}}, page.delay);
    }
}

} // namespace jackdawpick::standins
