// Failures of a randomised history, what happens after them, and the checks at the end.

#include "soak/soak_scenario.h"
#include "soak/soak_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

constexpr auto hostListInterval = 500ms;
constexpr auto cacheEventInterval = 2000ms;

} // namespace

// ---- Failures ----

void soak_world::listHosts()
{
    auto hosts = m_endpoints.hosts(m_clock.now());
    for (const auto &daemon : m_daemons) {
        if (daemon.up) {
            hosts.push_back({.name = daemon.identity.daemon.name,
                             .kind = host_kind::Daemon,
                             .address = daemon.identity.httpAddress,
                             .peerAddress = daemon.identity.peerAddress,
                             .pool = {},
                             .zone = daemon.identity.zone,
                             .leaving = daemon.draining});
        }
    }
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        deliver(i, host_list_received{hosts});
    }
    at(m_clock.now() + hostListInterval, [this] { listHosts(); });
}

void soak_world::publishCacheEvents()
{
    for (const auto &[endpoint, events] : m_endpoints.takeCacheEvents(m_options.faults && !m_healed)) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            deliver(i, cache_events_received{endpoint, events});
        }
    }
    at(m_clock.now() + cacheEventInterval, [this] { publishCacheEvents(); });
}

void soak_world::publishConfiguration()
{
    const auto entry = pickEntry();
    if (!entry) {
        return;
    }
    ++m_report.publications;
    const auto &reducer = *m_daemons[*entry].reducer;
    // Two operators race: both publish against the version that one daemon has in force.
    for (int operatorNumber = 0; operatorNumber < 2; ++operatorNumber) {
        configuration_published publication{
            .baseVersion = reducer.configurationVersion(),
            .text = printConfiguration(cluster(0.1 + 0.1 * static_cast<double>(m_random() % 4))),
            .publisher = fmt::format("operator-{}", operatorNumber),
            .publication = m_random()};
        deliver(*entry, configuration_submitted{request_handle{++m_lastRequest}, std::move(publication)});
    }
}

void soak_world::drawFault()
{
    if (m_healed) {
        return;
    }
    const auto now = m_clock.now();
    const auto index = m_random() % m_daemons.size();
    daemon_state &daemon = m_daemons[index];
    m_endpoints.setFaults({.connectFails = 0.03,
                           .refuses = 0.03,
                           .losesAnswer = 0.04,
                           .breaksEarly = 0.02,
                           .silent = 0.01,
                           .late = 0.02,
                           .crossed = 0.01});
    switch (m_random() % 8) {
    case 0:
    case 1:
        if (daemon.up) {
            ++m_report.crashes;
            crashDaemon(index);
            at(now + between(200ms, 8000ms), [this, index] { startDaemon(index); });
        }
        break;
    case 2:
        if (daemon.up) {
            ++m_report.freezes;
            daemon.frozenUntil = now + between(500ms, 15000ms);
        }
        break;
    case 3:
        ++m_report.outages;
        trace("log outage begins");
        m_log.setOutage(true);
        at(now + between(500ms, 12000ms), [this] {
            trace("log outage ends");
            m_log.setOutage(false);
        });
        break;
    case 4:
        ++m_report.endpointCrashes;
        m_endpoints.crash(fmt::format("engine-{}", m_random() % engineCount), now);
        break;
    case 5:
        if (daemon.up && !daemon.draining) {
            ++m_report.drains;
            daemon.draining = true;
            deliver(index, drain_requested{});
        }
        break;
    case 6: {
        ++m_report.cutLinks;
        const std::pair link{index, m_random() % m_daemons.size()};
        m_cut.insert(link);
        at(now + between(500ms, 10000ms), [this, link] {
            m_cut.erase(link);
            resetLink(link.first, link.second);
        });
        break;
    }
    default:
        publishConfiguration();
        break;
    }
    at(now + between(300ms, 5000ms), [this] { drawFault(); });
}

void soak_world::heal()
{
    m_healed = true;
    for (const auto &[from, to] : std::exchange(m_cut, {})) {
        resetLink(from, to);
    }
    m_endpoints.setFaults({});
    m_log.setOutage(false);
    m_log.setOptions(logOptions(false));
    for (auto &caller : m_callers) {
        caller.stop();
    }
}

// ---- End ----

void soak_world::closePrograms()
{
    for (const auto &caller : m_callers) {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            deliver(i, program_queried{request_handle{++m_lastRequest}, caller.key(), program_query_kind::Close});
        }
    }
}

void soak_world::checkEnd()
{
    for (const auto &caller : m_callers) {
        for (const auto &payment : caller.payments()) {
            const auto runs = m_endpoints.runs(payment.requestId);
            if (runs < payment.least || runs > payment.most) {
                fault(fmt::format("{} ran {} times; allowed {} to {}", payment.requestId, runs, payment.least,
                                  payment.most));
            }
        }
    }
    for (const auto &program : m_endpoints.programsWithCache()) {
        fault(fmt::format("an engine still holds cache of the closed program {}", program));
    }
    if (m_endpoints.startedWhileLeaving() > 0) {
        fault("a leaving endpoint got new work after the bound");
    }
    std::set<log_offset> versions;
    for (const auto &daemon : m_daemons) {
        if (daemon.up) {
            versions.insert(daemon.reducer->configurationVersion());
        }
    }
    if (versions.size() > 1) {
        fault("daemons have different configurations in force after healing");
    }
}

void soak_world::trace(const std::string &text) const
{
    if (m_options.trace) {
        fmt::print(stderr, "{:8} {}\n", millisecondsBetween(time_point(std::chrono::hours(1)), m_clock.now()).count(),
                   text);
    }
}

void soak_world::fault(std::string text)
{
    m_report.faults.push_back(fmt::format("seed {} at {} ms: {}", m_seed,
                                          millisecondsBetween(time_point(std::chrono::hours(1)), m_clock.now()).count(),
                                          text));
}

} // namespace jackdawpick
