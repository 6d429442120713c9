#include "gateway_daemon/endpoint_prober.h"

namespace jackdawpick
{

endpoint_prober::endpoint_prober(net::loop &loop, std::function<void(gateway::event)> onEvent)
    : m_loop(loop)
    , m_onEvent(std::move(onEvent))
{
}

void endpoint_prober::probe(const gateway::probe_endpoint &effect)
{
    const auto probe = effect.probe;
    net::tcp_handlers handlers;
    handlers.connected = [this, probe](net::stream_id) {
        finish(probe, true);
    };
    handlers.closed = [this, probe](net::stream_id) {
        finish(probe, false);
    };
    m_probes.emplace(probe, m_loop.connectTcp(effect.address, std::move(handlers)));
    m_loop.after(timeout, [this, probe] { finish(probe, false); });
}

void endpoint_prober::finish(gateway::probe_id probe, bool reached)
{
    if (const auto node = m_probes.extract(probe)) {
        m_loop.close(node.mapped());
        m_onEvent(gateway::probe_finished{probe, reached});
    }
}

} // namespace jackdawpick
