// Endpoints that state in their responses that they are leaving. All daemons are told, also by those that relay.

#include "gateway/internal/implementation.h"

namespace jackdawpick::gateway
{

void gateway::implementation::noteLeaving(const endpoint_calls::endpoint_incarnation &endpoint,
                                          const endpoint_calls::endpoint_head &head, time_point now)
{
    // Another endpoint sends this status if it has the address of the one that was meant.
    const bool speaksForItself = head.status != endpoint_calls::misdirectedRequest;
    if (head.leaving && speaksForItself && m_pool.onLeavingStated(endpoint, now)) {
        requestHeartbeat(internal::peer_table::urgency::Soon);
        logLeaving(endpoint, "response");
    }
}

void gateway::implementation::applyLeavingReports(const std::string &peer,
                                                  const std::vector<endpoint_calls::endpoint_incarnation> &reports,
                                                  time_point now)
{
    for (const auto &endpoint : reports) {
        if (m_pool.onLeavingReported(endpoint, now)) {
            logLeaving(endpoint, peer);
        }
    }
}

void gateway::implementation::logLeaving(const endpoint_calls::endpoint_incarnation &endpoint, std::string_view source)
{
    log(log_level::Info, "endpoint_leaving", {{"endpoint", endpoint.id}, {"born", endpoint.born}, {"source", source}});
}

} // namespace jackdawpick::gateway
