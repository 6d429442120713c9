// Readiness for callers, the directory of daemons, and the graceful shutdown.

#include "gateway/internal/implementation.h"

#include <algorithm>
#include <iterator>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// Callers cache the list of addresses, so requests keep arriving after this daemon has left the list. They are served
// for acceptTime and refused afterwards, as not run, so that what is accepted can be finished.
constexpr milliseconds acceptTime{3000};
constexpr milliseconds minShutdownTime{3200};
// Time for the end of the last response to be written.
constexpr milliseconds lastResponseFlushTime{250};
// Requests that are still open this long before the process must end are ended, so that their callers get a response.
constexpr milliseconds finalResponseTime{250};
// A stopping process may take this long beyond its limit to close the connections of its callers.
constexpr milliseconds minCloseTime{250};

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
    m_quotas.rankAt = now; // Releases the leases.
    m_effects.emplace_back(close_after_responses{});
    requestHeartbeat(internal::peer_table::urgency::Now);
    log(log_level::Info, "shutdown_began", {{"open_requests", m_requests.size()}});
}

// Whether this daemon stops so soon that requests which arrive are refused.
bool gateway::implementation::refusesArrivals(time_point now) const
{
    return m_shutdownBegan.has_value()
        && now - *m_shutdownBegan >= std::min(acceptTime, m_options.shutdownTimeout - finalResponseTime);
}

// Ends the requests that did not finish in time.
void gateway::implementation::endOpenRequests(time_point now)
{
    std::vector<caller_id> open;
    std::ranges::transform(m_requests, std::back_inserter(open), [](const auto &entry) { return entry.first; });
    for (const auto id : open) {
        auto &context = m_requests.at(id);
        switch (context.phase) {
        case request_phase::Preparing:
            refuseRequest(context, result_code::Draining, milliseconds(0), now);
            break;
        case request_phase::Dispatched:
            breakOff(context, result_code::OutcomeUnknown, "stopped_during_answer", now);
            break;
        case request_phase::WritingTurn:
            m_effects.emplace_back(abort_response{id});
            finishRequest(context, "turn_not_written", now);
            break;
        }
    }
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
    if (!hasOpenWork()) {
        return std::max(*m_shutdownBegan + minShutdownTime, m_lastRequestFinishedAt + lastResponseFlushTime);
    }
    const auto limit = *m_shutdownBegan + m_options.shutdownTimeout;
    return m_requests.empty() ? limit : limit - finalResponseTime;
}

void gateway::implementation::tickShutdown(time_point now)
{
    if (!m_shutdownBegan.has_value() || m_stopped) {
        return;
    }
    const auto elapsed = millisecondsBetween(*m_shutdownBegan, now);
    if (elapsed >= m_options.shutdownTimeout - finalResponseTime) {
        endOpenRequests(now);
    }
    const bool idle = !hasOpenWork() && now - m_lastRequestFinishedAt >= lastResponseFlushTime;
    if ((elapsed >= minShutdownTime && idle) || elapsed >= m_options.shutdownTimeout) {
        m_stopped = true;
        log(log_level::Info, "shutdown_complete",
            {{"elapsed_ms", elapsed.count()}, {"open_requests", m_requests.size()}, {"relayed", m_relayed.size()}});
        m_effects.emplace_back(stop_process{std::max(minCloseTime, m_options.shutdownTimeout - elapsed)});
    }
}

} // namespace jackdawpick::gateway
