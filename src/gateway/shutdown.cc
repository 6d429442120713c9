// Readiness for callers, the directory of daemons, and the graceful shutdown.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// Callers cache the list of addresses, so requests keep arriving after this daemon has left the list.
constexpr milliseconds minShutdownTime{3200};
constexpr milliseconds idleCloseLeadTime{200};
// Time for the end of the last response to be written.
constexpr milliseconds lastResponseFlushTime{250};

} // namespace

bool gateway::implementation::ready() const
{
    return m_table != nullptr && !m_shutdownBegan.has_value();
}

std::vector<internal::listed_daemon> gateway::implementation::readyDaemons(time_point now) const
{
    std::vector<internal::listed_daemon> daemons;
    std::ranges::transform(m_peers.ready(now), std::back_inserter(daemons), [](const auto &peer) {
        return internal::listed_daemon{.name = peer.name,
                                       .zone = peer.zone,
                                       .callerAddress = peer.callerAddress,
                                       .reachesEndpoints = peer.reachesEndpoints};
    });
    if (ready()) {
        daemons.push_back({.name = m_options.self.name,
                           .zone = m_options.self.zone,
                           .callerAddress = m_options.self.callerAddress,
                           .reachesEndpoints = !m_paths.isCutOff()});
    }
    return daemons;
}

std::vector<std::string> gateway::implementation::directory(std::string_view callerZone, time_point now) const
{
    std::vector<std::string> addresses;
    std::ranges::transform(internal::selectNamed(readyDaemons(now), callerZone), std::back_inserter(addresses),
                           &internal::listed_daemon::callerAddress);
    if (addresses.empty()) {
        addresses.push_back(m_options.self.callerAddress);
    }
    return addresses;
}

void gateway::implementation::on(const shutdown_requested & /*received*/, time_point now)
{
    if (m_shutdownBegan.has_value()) {
        return;
    }
    m_shutdownBegan = now;
    requestHeartbeat(internal::peer_table::urgency::Now);
    log(log_level::Info, "shutdown_began", {{"open_requests", m_requests.size()}});
}

// Whether requests are open, or settlements of requests of any daemon are not written yet: a reservation whose
// settlement is lost counts at its most for good.
bool gateway::implementation::hasOpenWork() const
{
    return !m_requests.empty() || !m_relayed.empty()
        || std::ranges::any_of(m_budgets, [](const auto &entry) { return entry.second.hasUnwrittenRecords(); });
}

// Returns only steps that are still to come: a time in the past would make the event loop spin.
std::optional<time_point> gateway::implementation::nextShutdownStep() const
{
    if (!m_shutdownBegan.has_value() || m_stopped) {
        return std::nullopt;
    }
    if (!m_idleClosed) {
        return *m_shutdownBegan + minShutdownTime - idleCloseLeadTime;
    }
    if (!hasOpenWork()) {
        return std::max(*m_shutdownBegan + minShutdownTime, m_lastRequestFinishedAt + lastResponseFlushTime);
    }
    return *m_shutdownBegan + m_options.shutdownTimeout;
}

void gateway::implementation::tickShutdown(time_point now)
{
    if (!m_shutdownBegan.has_value() || m_stopped) {
        return;
    }
    const auto elapsed = now - *m_shutdownBegan;
    if (!m_idleClosed && elapsed >= minShutdownTime - idleCloseLeadTime) {
        m_idleClosed = true;
        m_effects.emplace_back(close_idle_connections{});
    }
    const bool idle = !hasOpenWork() && now - m_lastRequestFinishedAt >= lastResponseFlushTime;
    if ((elapsed >= minShutdownTime && idle) || elapsed >= m_options.shutdownTimeout) {
        m_stopped = true;
        log(log_level::Info, "shutdown_complete", {{"open_requests", m_requests.size()}});
        m_effects.emplace_back(stop_process{});
    }
}

} // namespace jackdawpick::gateway
