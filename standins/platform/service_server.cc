#include "platform/servers.h"

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

// The caller's identity of the effect travels in the body: {"operation", "idempotent"}, at the top or in "body".
service_call_data callOf(const net::http_request &request)
{
    service_call_data call;
    call.requestId = headerOf(request, "x-request-id");
    call.program = headerOf(request, "x-program");
    call.turn = headerOf(request, "x-turn");
    call.path = request.path.substr(1);
    json body = objectOf(request.body);
    if (body.contains("body") && body["body"].is_object()) {
        body = json(body["body"]);
    }
    if (body.contains("operation") && body["operation"].is_string()) {
        call.operation = body["operation"].get<std::string>();
    }
    call.idempotent = body.value("idempotent", json(false)) == json(true);
    return call;
}

} // namespace

service_server::service_server(net::loop &loop, const clock_source &clock, const service_options &options,
                               std::uint64_t seed)
    : m_clock(clock)
    , m_model(options, seed)
    , m_server(loop, m_model.faults())
{
    m_server.onRequest([this](const net::http_request &request) { receive(request); });
}

std::string service_server::listen(const std::string &address)
{
    return m_server.listen(address);
}

fault_table &service_server::faults()
{
    return m_model.faults();
}

void service_server::receive(const net::http_request &request)
{
    if (request.method == "GET" && request.path == "/admin/counts") {
        counts(request);
        return;
    }
    if (request.method != "POST") {
        m_server.notFound(request);
        return;
    }
    const auto call = callOf(request);
    const auto answer = m_model.call(call, m_clock.now());
    if (answer.status == 503) {
        m_server.refuse(request.id, 503, "the service takes no requests", std::chrono::seconds(1));
    } else if (answer.status == 500) {
        m_server.answer(request.id, 500, {{"error", "the request failed before it took effect"}}, answer.delay);
    } else if (answer.status != 0) {
        m_server.answer(request.id, answer.status,
                        {{"request_id", call.requestId}, {"operation", call.operation}, {"result", answer.result}},
                        answer.delay);
    }
}

void service_server::counts(const net::http_request &request)
{
    json calls = json::array();
    for (const auto &[identity, count] : m_model.counts()) {
        calls.push_back({{"identity", identity},
                         {"request_id", count.call.requestId},
                         {"program", count.call.program},
                         {"turn", count.call.turn},
                         {"path", count.call.path},
                         {"idempotent", count.call.idempotent},
                         {"runs", count.runs},
                         {"first_at_us", count.firstAt.time_since_epoch() / std::chrono::microseconds(1)}});
    }
    m_server.answer(request.id, 200, {{"calls", calls}, {"doubled", m_model.doubled()}});
}

} // namespace jackdawpick::standins
