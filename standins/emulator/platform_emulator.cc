#include "emulator/platform_emulator.h"

#include "base64/base64.h"
#include "platform/standin_server.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace jackdawpick::standins
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t tokensPerEvent = 27;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
constexpr milliseconds heartbeatInterval{1200};

void appendNumber(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = bytes; i-- > 0;) {
        out += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
}

std::vector<std::string> splitFrames(std::string_view body)
{
    std::vector<std::string> records;
    while (body.size() >= lengthBytes) {
        std::uint32_t length = 0;
        for (const unsigned char byte : body.substr(0, lengthBytes)) {
            length = length << 8U | byte;
        }
        records.emplace_back(body.substr(lengthBytes, length));
        body.remove_prefix(std::min(lengthBytes + length, body.size()));
    }
    return records;
}

std::uint64_t numberOf(const net::http_request &request, std::string_view name)
{
    const auto text = queryOf(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

json routeOf(std::string_view name, std::string_view path, std::string_view kind, std::string_view service)
{
    return {{"name", name},
            {"host", platform_emulator::host},
            {"path_prefix", path},
            {"route_kind", kind},
            {"timeout_ms", 3000},
            {"target_latency_ms", 300},
            {"priority", 0},
            {"service", service},
            {"max_attempts", kind == "idempotent" ? 3 : 1},
            {"retained", kind == "streaming"},
            {"retention_s", 60.0}};
}

} // namespace

struct platform_emulator::endpoint
{
    std::string id;
    std::string service;
    std::string address;
    bool engine = false;
    int busy = 0;
    std::uint64_t sequence = 0;
};

std::uint64_t bodyDigest(const std::string &body)
{
    return XXH3_64bits(body.data(), body.size());
}

platform_emulator::platform_emulator(net::loop &loop, emulator_options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

platform_emulator::~platform_emulator() = default;

std::string platform_emulator::start()
{
    auto listen = listenOptions(m_options.storeAddress);
    listen.maxBodyBytes = 8U << 20U;
    const auto port = m_loop.listenHttp(listen, [this](const net::http_request &request) { handleStore(request); });
    for (int i = 0; i < m_options.engines; ++i) {
        addEndpoint("engines", i, true);
    }
    for (int i = 0; i < m_options.services; ++i) {
        addEndpoint("shop", i, false);
    }
    for (const auto &[id, service, address] : m_options.otherEndpoints) {
        auto &which = *m_endpoints.emplace_back(std::make_unique<endpoint>());
        which = {.id = id, .service = service, .address = address};
        announce(which);
    }
    publishConfiguration();
    m_loop.every(heartbeatInterval,
                 [this] { std::ranges::for_each(m_endpoints, [this](const auto &which) { announce(*which); }); });
    return fmt::format("{}:{}", listen.address, port);
}

const std::vector<emulated_run> &platform_emulator::runs() const
{
    return m_runs;
}

void platform_emulator::setStoreAway(bool away)
{
    m_away = away;
}

bool platform_emulator::happens(double part)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < part;
}

// ---- Store ----

void platform_emulator::handleStore(const net::http_request &request)
{
    if (m_away) {
        return;
    }
    if (request.path == "/log-append") {
        append(request);
    } else if (request.path == "/log-read") {
        read(request);
    } else if (request.path == "/log-newest") {
        newest(request);
    } else if (request.path == "/log-trim") {
        trim(request);
    } else {
        reply(request.id, 404, {{"error", "unknown call"}});
    }
}

void platform_emulator::reply(net::request_id id, std::uint16_t status, const json &body)
{
    m_loop.after(m_options.storeTime,
                 [this, id, status, text = body.dump()] { m_loop.respond(id, {.status = status}, text); });
}

void platform_emulator::append(const net::http_request &request)
{
    const auto at = queryOf(request, "at").empty() ? std::nullopt : std::optional(numberOf(request, "at"));
    const auto result = m_log.append(queryOf(request, "topic"), static_cast<std::uint32_t>(numberOf(request, "part")),
                                     splitFrames(request.body), at);
    if (happens(m_options.losesReply)) {
        return;
    }
    if (result.done) {
        reply(request.id, 200, {{"offset", result.offset}, {"end", result.end}});
    } else {
        reply(request.id, 412, {{"end", result.end}});
    }
}

// As the platform does, refuses a call whose body is not a document.
void platform_emulator::trim(const net::http_request &request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("topic") || !body.contains("part") || !body.contains("before")) {
        reply(request.id, 400, {{"error", "the body can't be read"}});
        return;
    }
    m_log.trim(body.at("topic").get<std::string>(), body.at("part").get<std::uint32_t>(),
               body.at("before").get<std::uint64_t>());
    reply(request.id, 200, json::object());
}

void platform_emulator::read(const net::http_request &request)
{
    const auto topic = queryOf(request, "topic");
    const auto part = static_cast<std::uint32_t>(numberOf(request, "part"));
    const auto from = numberOf(request, "from");
    const bool waits = m_log.end(topic, part) <= from;
    const auto wait = waits ? milliseconds(numberOf(request, "wait_ms")) : milliseconds(0);
    m_loop.after(m_options.storeTime + wait,
                 [this, id = request.id, topic, part, from] { answerRead(id, topic, part, from); });
}

void platform_emulator::answerRead(net::request_id id, const std::string &topic, std::uint32_t part, std::uint64_t from)
{
    const auto records = m_log.read(topic, part, from);
    if (!records.has_value()) {
        m_loop.respond(id, {.status = 410}, json{{"first", m_log.first(topic, part)}}.dump());
        return;
    }
    std::string body;
    appendNumber(body, m_log.end(topic, part), offsetBytes);
    appendNumber(body, m_log.first(topic, part), offsetBytes);
    for (const auto &record : *records) {
        appendNumber(body, record.size(), lengthBytes);
        body += record;
    }
    m_loop.respond(id, {.contentType = "application/octet-stream"}, body);
}

void platform_emulator::newest(const net::http_request &request)
{
    const auto topic = queryOf(request, "topic");
    json items = json::array();
    for (const auto &entry : m_log.newest(topic, 0)) {
        items.push_back({{"key", entry.key}, {"value", encodeBase64(entry.value)}, {"offset", entry.offset}});
    }
    reply(request.id, 200, {{"items", items}, {"more", false}, {"end", m_log.end(topic, 0)}});
}

void platform_emulator::publishConfiguration()
{
    const json engine{{"slots", m_options.slots}, {"tokens_per_event", tokensPerEvent}, {"kv_cache_tokens", 400000}};
    const json configuration{
        {"version", 1},
        {"routes",
         {routeOf("turn", turnPath, "streaming", "engines"), routeOf("read", readPath, "idempotent", "shop"),
          routeOf("pay", payPath, "non_idempotent", "shop")}},
        {"services",
         {{{"name", "engines"}, {"max_connections", 100}, {"engine", engine}},
          {{"name", "shop"}, {"max_connections", 100}}}}};
    m_log.put("keyed.op", "config", configuration.dump());
}

// ---- Endpoints ----

void platform_emulator::addEndpoint(const std::string &service, int number, bool engine)
{
    auto &which = *m_endpoints.emplace_back(std::make_unique<endpoint>());
    which.id = fmt::format("{}-{}", service, number);
    which.service = service;
    which.engine = engine;
    const auto port = m_loop.listenHttp({.maxBodyBytes = 8U << 20U}, [this, &which](const net::http_request &request) {
        handleEndpoint(which, request);
    });
    which.address = fmt::format("127.0.0.1:{}", port);
    announce(which);
}

void platform_emulator::announce(const endpoint &which)
{
    const json entry{{"service", which.service}, {"address", which.address}, {"zone", "z"},
                     {"slots", m_options.slots}, {"state", "ready"},         {"sequence", which.sequence}};
    m_log.put("keyed.servers", which.id, entry.dump());
}

void platform_emulator::handleEndpoint(endpoint &which, const net::http_request &request)
{
    const auto attempt = headerOf(request, "x-attempt-id");
    if (headerOf(request, "x-expect-instance") != which.id) {
        m_loop.respond(request.id, {.status = 421, .headers = {{"X-Instance-Id", which.id}}}, "");
        return;
    }
    if (attempt.empty() || which.busy >= 2 * m_options.slots) {
        const std::uint16_t status = attempt.empty() ? 400 : 503;
        m_loop.respond(request.id, {.status = status, .headers = {{"X-Not-Executed", "1"}}}, "");
        return;
    }
    m_runs.push_back({which.id, attempt, bodyDigest(request.body)});
    ++which.busy;
    if (happens(m_options.losesAnswer)) {
        m_loop.after(m_options.serviceTime, [this, &which, id = request.id] {
            --which.busy;
            m_loop.abort(id);
        });
    } else if (which.engine) {
        runTurn(which, request);
    } else {
        runCall(which, request);
    }
}

void platform_emulator::runTurn(endpoint &which, const net::http_request &request)
{
    const auto attempt = headerOf(request, "x-attempt-id");
    const auto digest = bodyDigest(request.body);
    m_loop.beginStream(request.id, answerHead(which, attempt, "text/event-stream"));
    for (int i = 1; i <= m_options.eventsPerTurn; ++i) {
        m_loop.after(m_options.eventGap * i, [this, id = request.id, attempt, digest, i] {
            const auto data = i == 1 ? fmt::format("digest {:016x}", digest) : fmt::format("{} {}", attempt, i);
            m_loop.writeStream(id, fmt::format("id: {}\ndata: {}\n\n", i, data));
        });
    }
    m_loop.after(m_options.eventGap * m_options.eventsPerTurn + milliseconds(1), [this, &which, id = request.id] {
        --which.busy;
        m_loop.endStream(id);
    });
}

void platform_emulator::runCall(endpoint &which, const net::http_request &request)
{
    const auto attempt = headerOf(request, "x-attempt-id");
    m_loop.after(m_options.serviceTime, [this, &which, id = request.id, attempt] {
        --which.busy;
        const auto head = answerHead(which, attempt, "text/plain");
        const auto body = "done " + attempt;
        if (head.endsWithConnection) {
            m_loop.beginStream(id, head);
            m_loop.writeStream(id, body);
            m_loop.endStream(id);
        } else {
            m_loop.respond(id, head, body);
        }
    });
}

net::http_head platform_emulator::answerHead(const endpoint &which, const std::string &attempt, std::string contentType)
{
    net::http_head head{.contentType = std::move(contentType),
                        .headers = {{"X-Attempt-Id", attempt}, {"X-Server-Stamp", which.id}},
                        .endsWithConnection = happens(m_options.endsWithConnection)};
    if (m_options.rateLimit.has_value()) {
        head.headers.emplace_back("Server-Limit", fmt::format("{}", *m_options.rateLimit));
    }
    return head;
}

} // namespace jackdawpick::standins
