#include "platform/servers.h"

namespace jackdawpick::standins
{

namespace
{

constexpr std::string_view weightsPath = "/weights/";

} // namespace

weight_server::weight_server(net::loop &loop, const clock_source &clock, const weight_options &options)
    : m_clock(clock)
    , m_model(options)
    , m_server(loop, m_model.faults())
{
    m_server.onRequest([this](const net::http_request &request) { receive(request); });
}

std::string weight_server::listen(const std::string &address)
{
    return m_server.listen(address);
}

fault_table &weight_server::faults()
{
    return m_model.faults();
}

void weight_server::receive(const net::http_request &request)
{
    if (request.method == "GET" && request.path == "/admin/stats") {
        m_server.answer(request.id, 200, {{"served", m_model.served()}});
        return;
    }
    if (request.method != "GET" || !request.path.starts_with(weightsPath)) {
        m_server.notFound(request);
        return;
    }
    const std::string model = request.path.substr(weightsPath.size());
    const auto result = m_model.load(model, m_clock.now());
    if (result.status == 200) {
        m_server.answer(request.id, 200, {{"model", model}}, result.delay);
    } else if (result.status != 0) {
        m_server.refuse(request.id, result.status, result.status == 429 ? "over the rate" : "outage",
                        result.status == 429 ? result.retryAfter : std::chrono::seconds(1));
    }
}

} // namespace jackdawpick::standins
