// Placement by many daemons that know each other's loads only from periodic reports, simulated in virtual time.

#include "fleet/fleet.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <queue>
#include <random>

namespace jackdawpick::fleet
{

namespace
{

using namespace std::chrono_literals;

// Of the turns, while three fifths of the slots are taken on average.
constexpr double maxQueuedShare = 0.2;

struct simulation_options
{
    int daemons = 74;
    int engines = 44;
    std::uint32_t slots = 8;
    std::uint32_t queueLength = 24; // Requests that an engine queues before it rejects further ones.
    int prefixes = 8; // First segments of prompts.
    double turnsPerSecond = 700;
    std::chrono::milliseconds reportInterval{876};
    double baseServiceMilliseconds = 150; // Of a turn that is alone on its engine.
    double batchSlowdown = 0.1; // Relative, for each other request in the batch.
    std::chrono::milliseconds duration{10000};
    std::chrono::milliseconds warmUp{4000}; // Turns before this are not counted.
};

struct simulation_result
{
    int turns = 0;
    int queued = 0; // Turns that found all slots taken.
    int rejected = 0;
    int awayFromFirstEngine = 0; // Turns at another engine than the first turn of the conversation.
    std::vector<double> waits; // Milliseconds.

    [[nodiscard]] double queuedShare() const
    {
        return static_cast<double>(queued) / std::max(turns, 1);
    }
    [[nodiscard]] double meanWait() const
    {
        return std::accumulate(waits.begin(), waits.end(), 0.0)
            / std::max<double>(static_cast<double>(waits.size()), 1);
    }
};

class simulation
{
public:
    simulation(simulation_options options, unsigned seed)
        : m_options(options)
        , m_random(seed)
        , m_pools(static_cast<std::size_t>(options.daemons))
        , m_engines(static_cast<std::size_t>(options.engines))
    {
        for (auto &pool : m_pools) {
            for (int i = 0; i < m_options.engines; ++i) {
                pool.upsert({.id = engineName(i),
                             .service = "llm",
                             .address = "1:1",
                             .zone = zoneOf(i),
                             .slots = m_options.slots},
                            m_now);
            }
        }
        for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
            schedule(milliseconds(uniform() * static_cast<double>(m_options.reportInterval.count())),
                     [this, daemon] { report(daemon); });
        }
        schedule(0ms, [this] { arrive(); });
    }

    simulation_result run()
    {
        const auto end = m_now + m_options.duration;
        while (!m_tasks.empty() && m_tasks.top().at < end) {
            const auto next = m_tasks.top();
            m_tasks.pop();
            m_now = next.at;
            next.action();
        }
        return m_result;
    }

private:
    struct task
    {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator>(const task &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    struct turn
    {
        int daemon = 0;
        time_point arrived{};
    };

    struct engine
    {
        std::uint32_t active = 0;
        std::deque<turn> waiting;
    };

    static std::string engineName(int number)
    {
        return fmt::format("e{}", number);
    }

    static std::string zoneOf(int number)
    {
        return fmt::format("z{}", number % 3);
    }

    static std::chrono::nanoseconds milliseconds(double value)
    {
        return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e6));
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void schedule(std::chrono::nanoseconds delay, std::function<void()> action)
    {
        m_tasks.push(
            {m_now + std::chrono::duration_cast<time_point::duration>(delay), ++m_sequence, std::move(action)});
    }

    [[nodiscard]] bool isCounted() const
    {
        return m_now.time_since_epoch() >= m_options.warmUp;
    }

    void report(int daemon)
    {
        const auto loads = m_pools[static_cast<std::size_t>(daemon)].localLoads();
        for (int other = 0; other < m_options.daemons; ++other) {
            if (other != daemon) {
                m_pools[static_cast<std::size_t>(other)].setPeerLoads(fmt::format("d{}", daemon), loads, m_now);
            }
        }
        schedule(m_options.reportInterval, [this, daemon] { report(daemon); });
    }

    void arrive()
    {
        schedule(milliseconds(std::exponential_distribution<double>(m_options.turnsPerSecond / 1000)(m_random)),
                 [this] { arrive(); });
        const int daemon = static_cast<int>(uniform() * m_options.daemons);
        const int conversation = static_cast<int>(uniform() * 1000);
        auto &pool = m_pools[static_cast<std::size_t>(daemon)];
        placement_request request{.service = "llm",
                                  .zone = zoneOf(daemon),
                                  .prompt = {{fmt::format("shared{}", conversation % m_options.prefixes), 12600},
                                             {fmt::format("line{}", conversation), 3000}},
                                  .outputTokens = 250};
        const auto chosen = pool.choose(request, uniform(), m_now);
        ASSERT_TRUE(chosen.has_value());
        auto &target = m_engines[static_cast<std::size_t>(std::stoi(chosen->id.substr(1)))];
        const auto [first, isFirst] = m_firstEngine.try_emplace(conversation, chosen->id);
        m_result.turns += isCounted() ? 1 : 0;
        m_result.awayFromFirstEngine += isCounted() && first->second != chosen->id ? 1 : 0;
        if (target.waiting.size() >= m_options.queueLength) {
            m_result.rejected += isCounted() ? 1 : 0;
            return;
        }
        pool.onDispatched(chosen->id, m_now);
        target.waiting.push_back({.daemon = daemon, .arrived = m_now});
        m_result.queued += isCounted() && target.active >= m_options.slots ? 1 : 0;
        startTurns(chosen->id, target);
    }

    void startTurns(const std::string &id, engine &target)
    {
        while (target.active < m_options.slots && !target.waiting.empty()) {
            const auto started = target.waiting.front();
            target.waiting.pop_front();
            if (isCounted()) {
                m_result.waits.push_back(std::chrono::duration<double, std::milli>(m_now - started.arrived).count());
            }
            const double spread = 0.5 + uniform();
            const auto time = milliseconds(m_options.baseServiceMilliseconds * spread
                                           * (1 + m_options.batchSlowdown * target.active));
            ++target.active;
            schedule(time, [this, id, &target, started] {
                --target.active;
                m_pools[static_cast<std::size_t>(started.daemon)].onFinished(
                    id, request_outcome::Answered,
                    std::chrono::duration_cast<std::chrono::milliseconds>(m_now - started.arrived), m_now);
                startTurns(id, target);
            });
        }
    }

    simulation_options m_options;
    std::mt19937_64 m_random;
    time_point m_now{};
    std::uint64_t m_sequence = 0;
    std::priority_queue<task, std::vector<task>, std::greater<>> m_tasks;
    std::vector<endpoint_pool> m_pools;
    std::vector<engine> m_engines;
    std::map<int, std::string> m_firstEngine; // By conversation.
    simulation_result m_result;
};

} // namespace

// Guards against daemons that send their requests to the same few engines because a report that is a second old showed
// these idle, while other engines stay idle.
TEST(placement_simulation_test, StaleReportsDoNotConcentrateRequests)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto result = simulation({}, seed).run();
        SCOPED_TRACE(fmt::format("seed {}: {} turns, {:.3f} of them queued, mean wait {:.1f} ms", seed, result.turns,
                                 result.queuedShare(), result.meanWait()));
        EXPECT_GT(result.turns, 3000);
        EXPECT_EQ(result.rejected, 0);
        EXPECT_LT(result.queuedShare(), maxQueuedShare);
    }
}

} // namespace jackdawpick::fleet
