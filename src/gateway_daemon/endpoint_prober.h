#pragma once

// Checks whether connections to endpoints can be made. Sends no request, so that nothing can run.
//
//   endpoint_prober prober(loop, [](gateway::event event) { ... });
//   prober.probe({.probe = id, .address = "10.0.0.1:80"});   // leads to one gateway::probe_finished
//
// Used on the thread of the loop.

#include "gateway/events.h"
#include "net/net.h"

#include <functional>
#include <map>

namespace jackdawpick
{

class endpoint_prober
{
public:
    // Hosts that are cut off do not answer connection attempts; others answer within a few milliseconds.
    static constexpr std::chrono::milliseconds timeout{250};

    endpoint_prober(net::loop &loop, std::function<void(gateway::event)> onEvent);

    void probe(const gateway::probe_endpoint &effect);

private:
    void finish(gateway::probe_id probe, bool reached);

    net::loop &m_loop;
    std::function<void(gateway::event)> m_onEvent;
    std::map<gateway::probe_id, net::stream_id> m_probes; // Those under way.
};

} // namespace jackdawpick
