#include "emulator/planned_stops.h"

#include "emulator/daemon_process.h"
#include "emulator/platform_thread.h"
#include "emulator/stop_client.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds warmUpTime = 2500ms;
constexpr milliseconds gracePeriod = 8000ms; // Of the platform, from SIGTERM to SIGKILL.
// A request that no endpoint got may end without an answer this long after its last byte: it met the close.
constexpr milliseconds lossSlack = 200ms;
constexpr int mostClients = 48;
constexpr int promiseNotRun = 503;
constexpr int okStatus = 200;

class stop_run
{
public:
    explicit stop_run(const planned_stops_options &options)
        : m_random(options.seed)
        , m_platform({.engines = 3,
                      .services = 4,
                      .slots = 64,
                      .seed = options.seed,
                      .eventGap = milliseconds(pick(5, 60)),
                      .serviceTime = milliseconds(pick(0, 2) == 0 ? pick(200, 800) : pick(5, 60))})
    {
        const int daemons = pick(2, 3);
        for (int i = 0; i < daemons; ++i) {
            m_daemons.push_back(std::make_unique<daemon_process>(options.program, m_folder.path,
                                                                 fmt::format("daemon-{}", i), m_platform.storeAddress));
        }
    }

    planned_stops_report run()
    {
        std::ranges::for_each(m_daemons, [](const auto &daemon) { daemon->start(); });
        std::this_thread::sleep_for(warmUpTime);
        startClients();
        std::this_thread::sleep_for(milliseconds(pick(300, 1200)));
        stopDaemons();
        std::this_thread::sleep_for(300ms);
        m_clientsStop = true;
        std::ranges::for_each(m_threads, &std::thread::join);
        check();
        return std::move(m_report);
    }

private:
    int pick(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(m_random);
    }

    void startClients()
    {
        std::vector<std::uint16_t> ports;
        std::ranges::transform(m_daemons, std::back_inserter(ports),
                               [](const auto &daemon) { return daemon->callersPort(); });
        const bool busy = pick(0, 1) == 0; // A stopping daemon never runs out of requests.
        const int clients = busy ? mostClients : pick(6, 30);
        for (int i = 0; i < clients; ++i) {
            m_clients.push_back(std::make_unique<stop_client>(
                stop_client_options{.address = loopbackAddress(),
                                    .ports = ports,
                                    .number = i,
                                    .seed = static_cast<unsigned>(m_random()),
                                    .sendsTurns = pick(0, 3) == 0,
                                    .sendsInPieces = pick(0, 1) == 0,
                                    .pause = milliseconds(busy || pick(0, 1) == 0 ? 0 : pick(10, 400))}));
        }
        for (const auto &client : m_clients) {
            m_threads.emplace_back([this, &client = *client] { client.run(m_clientsStop); });
        }
    }

    // Stops each daemon and starts it again, in turn or overlapping; some get further signals meanwhile.
    void stopDaemons()
    {
        const milliseconds spacing(pick(0, 1) == 0 ? 0 : pick(100, 2000));
        std::vector<std::thread> stopping;
        std::mutex guard;
        for (std::size_t i = 0; i + 1 < m_daemons.size() || i == 0; ++i) {
            const bool reloads = pick(0, 1) == 0;
            const bool twice = pick(0, 2) == 0;
            auto stop = [this, &guard, i, reloads, twice] {
                auto &daemon = *m_daemons.at(i);
                if (reloads) {
                    daemon.signal(SIGHUP);
                }
                daemon.signal(SIGTERM);
                if (twice) {
                    std::this_thread::sleep_for(50ms);
                    daemon.signal(SIGTERM);
                }
                const auto status = daemon.waitForEnd(gracePeriod);
                const std::scoped_lock lock(guard);
                ++m_report.stops;
                if (status != 0) {
                    m_report.violations.push_back(fmt::format("daemon {} {}: {}", i,
                                                              status.has_value() ? "failed" : "did not end in time",
                                                              daemon.lastOutput()));
                }
                if (status.has_value()) {
                    daemon.start();
                }
            };
            if (spacing == 0ms) {
                stop();
            } else {
                stopping.emplace_back(stop);
                std::this_thread::sleep_for(spacing);
            }
        }
        std::ranges::for_each(stopping, &std::thread::join);
    }

    void check()
    {
        const auto &runs = m_platform.stop();
        for (const auto &client : m_clients) {
            for (const auto &sent : client->requests()) {
                const auto found = runs.find(sent.attempt);
                checkRequest(sent, found == runs.end() ? 0 : found->second);
            }
        }
    }

    void checkRequest(const sent_request &sent, int runs)
    {
        ++m_report.requests;
        if (!sent.whole) {
            ++m_report.unanswered;
        } else if (sent.status == okStatus) {
            ++m_report.served;
        } else if (sent.status == promiseNotRun) {
            ++m_report.refused;
        } else {
            ++m_report.otherStatus;
        }
        const bool lost = !sent.whole && sent.sentWhole && (runs > 0 || sent.took > lossSlack);
        if (lost || runs > 1 || (sent.whole && sent.status == promiseNotRun && runs > 0)) {
            m_report.violations.push_back(fmt::format(
                "{}: status {}, whole {}, runs {}, reset {}, reused {}, ended {} ms after its last byte, sent at {}",
                sent.attempt, sent.status, sent.whole, runs, sent.reset, sent.reused, sent.took.count(),
                sent.sentAt.count()));
        }
    }

    std::mt19937 m_random;
    temporary_folder m_folder;
    platform_thread m_platform;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::vector<std::unique_ptr<stop_client>> m_clients;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_clientsStop{false};
    planned_stops_report m_report;
};

} // namespace

planned_stops_report runPlannedStops(const planned_stops_options &options)
{
    return stop_run(options).run();
}

} // namespace jackdawpick::standins
