#pragma once

// Programs of many callers at engines with slots and memory: admission and placement by many daemons that know each
// other only from periodic reports, simulated in virtual time. The order of events depends on the seed alone.
//
//   const std::vector<program_kind> kinds{{.name = "urgent", .rank = 0, .startsPerSecond = 20}};
//   const auto result = simulation({.engines = 6}, kinds, 1).run();
//   EXPECT_GT(result.kinds[0].servedShare(), 0.9);

#include "admission/admission.h"
#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <utility>

namespace jackdawpick::admission::testing
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// A kind of programs of one tenant.
struct program_kind
{
    std::string name;
    int tenant = 0;
    int rank = 0;
    int turns = 4;
    double startsPerSecond = 1;
    double quotaPerSecond = 0; // Starts that the quota allows; 0: no tenant.
    std::uint32_t newTokens = 1680; // Of each turn's prompt.
    milliseconds target{200};
    double allowedSlowness = 1.6; // Against the time on idle engines; the target comes on top.
};

struct simulation_options
{
    int daemons = 20;
    int engines = 12;
    std::uint32_t slots = 12;
    std::uint64_t memory = 291669;
    bool knowsMemory = true; // The daemons know it.
    bool knowsPressure = true;
    milliseconds reportInterval{950};
    double stepMilliseconds = 1.14;
    double stepMillisecondsPerRequest = 0.032;
    double readTokensPerMillisecond = 336; // Of prompts that were preempted.
    std::uint32_t sharedTokens = 12600;
    int sharedParts = 3;
    std::uint32_t outputTokens = 270;
    std::uint32_t maxOutputTokens = 540;
    milliseconds pause{300}; // Between two turns.
    milliseconds deadline{3000};
    milliseconds duration{28000};
    milliseconds warmUp{8000}; // Programs that begin before this are not counted.
    milliseconds lastStart{15000}; // Nor those that begin after it.
};

struct kind_result
{
    int started = 0; // Programs within the quota.
    int served = 0; // Not refused, at the first attempt or the retry.
    int inTime = 0; // Of those served.

    [[nodiscard]] double servedShare() const
    {
        return static_cast<double>(served) / std::max(started, 1);
    }
    [[nodiscard]] double inTimeShare() const
    {
        return static_cast<double>(inTime) / std::max(started, 1);
    }
    kind_result &operator+=(const kind_result &other)
    {
        started += other.started;
        served += other.served;
        inTime += other.inTime;
        return *this;
    }
};

struct simulation_result
{
    std::vector<kind_result> kinds;
    int turns = 0;
    int preemptions = 0;
    int waits = 0; // Turns that waited for room.
    int laterTurnsRefused = 0;
    int earlyRefusals = 0; // While fewer than half of the slots were taken.
    int notPlaced = 0; // Turns for which no endpoint was chosen.
    int lateRetries = 0; // Told to come later than a third of the time left.

    [[nodiscard]] double preemptionShare() const
    {
        return static_cast<double>(preemptions) / std::max(turns, 1);
    }
    [[nodiscard]] kind_result all() const
    {
        return std::accumulate(kinds.begin(), kinds.end(), kind_result{}, [](kind_result sum, const kind_result &kind) {
            sum += kind;
            return sum;
        });
    }
};

class simulation
{
public:
    simulation(simulation_options options, std::vector<program_kind> kinds, unsigned seed)
        : m_options(options)
        , m_kinds(std::move(kinds))
        , m_random(seed)
        , m_pools(static_cast<std::size_t>(options.daemons))
        , m_mixes(static_cast<std::size_t>(options.daemons))
        , m_engines(static_cast<std::size_t>(options.engines))
    {
        m_result.kinds.resize(m_kinds.size());
        for (auto &pool : m_pools) {
            for (int i = 0; i < m_options.engines; ++i) {
                pool.upsert({.id = engineName(i), .service = "llm", .address = "1:1", .slots = m_options.slots}, m_now);
            }
            pool.setEngineMemory("llm", m_options.knowsMemory ? m_options.memory : 0);
        }
        for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
            schedule(uniform() * inMilliseconds(m_options.reportInterval), [this, daemon] { report(daemon); });
        }
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            m_tenants.try_emplace(m_kinds[kind].tenant);
            scheduleStart(kind);
        }
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

    struct program
    {
        std::size_t kind = 0;
        int number = 0;
        int turn = 0;
        bool counted = false;
        bool retried = false;
        time_point started;
    };

    struct turn_at_engine
    {
        program owner;
        int daemon = 0;
        int priority = 0;
        std::uint64_t sequence = 0;
        std::uint64_t tokens = 0; // In the memory, beyond the shared part.
        std::uint64_t counted = 0; // By the pool.
        time_point sent;
        bool operator<(const turn_at_engine &other) const
        {
            return std::pair(priority, sequence) < std::pair(other.priority, other.sequence);
        }
    };

    struct engine
    {
        std::uint32_t active = 0;
        std::uint64_t tokens = 0;
        double stalled = 0; // Milliseconds since the begin, for prompts that were read again.
        std::set<turn_at_engine> waiting; // The most urgent first.
    };

    // The recent rate of the starts of a tenant that its quota allowed.
    struct tenant_state
    {
        double permits = 0;
        double rate = 0; // Decayed number of recent starts.
        time_point at{};
    };

    static std::string engineName(int number)
    {
        return fmt::format("e{}", number);
    }

    static double inMilliseconds(std::chrono::nanoseconds value)
    {
        return std::chrono::duration<double, std::milli>(value).count();
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void schedule(double delayMilliseconds, std::function<void()> action)
    {
        const std::chrono::nanoseconds delay(static_cast<std::int64_t>(delayMilliseconds * 1e6));
        m_tasks.push(
            {m_now + std::chrono::duration_cast<time_point::duration>(delay), ++m_sequence, std::move(action)});
    }

    void report(int daemon)
    {
        const auto loads = m_pools[static_cast<std::size_t>(daemon)].localLoads();
        for (int other = 0; other < m_options.daemons; ++other) {
            if (other != daemon) {
                m_pools[static_cast<std::size_t>(other)].setPeerLoads(fmt::format("d{}", daemon), loads, m_now);
            }
        }
        schedule(inMilliseconds(m_options.reportInterval), [this, daemon] { report(daemon); });
    }

    [[nodiscard]] double quotaOf(int tenant) const
    {
        return std::accumulate(m_kinds.begin(), m_kinds.end(), 0.0, [tenant](double sum, const program_kind &kind) {
            return sum + (kind.tenant == tenant ? kind.quotaPerSecond : 0);
        });
    }

    // The time over which the rate of a tenant is averaged: short, but with at least a dozen starts at the limit.
    static double pressureSeconds(double quota)
    {
        return std::max(2.0, 12 / quota);
    }

    // A token bucket with a burst of one second. Returns whether the start is within the quota.
    bool takePermit(int tenant)
    {
        const double quota = quotaOf(tenant);
        if (quota == 0) {
            return true;
        }
        auto &state = m_tenants.at(tenant);
        const double elapsed = inMilliseconds(m_now - std::exchange(state.at, m_now)) / 1000;
        state.permits = std::min(state.permits + elapsed * quota, std::max(quota, 1.0));
        state.rate *= std::exp(-elapsed / pressureSeconds(quota));
        if (state.permits < 1) {
            return false;
        }
        state.permits -= 1;
        state.rate += 1;
        return true;
    }

    [[nodiscard]] std::optional<double> pressureOf(int tenant) const
    {
        const double quota = quotaOf(tenant);
        if (!m_options.knowsPressure || quota == 0) {
            return std::nullopt;
        }
        const auto &state = m_tenants.at(tenant);
        const double seconds = pressureSeconds(quota);
        return state.rate * std::exp(-inMilliseconds(m_now - state.at) / 1000 / seconds) / seconds / quota;
    }

    void scheduleStart(std::size_t kind)
    {
        const double gap = std::exponential_distribution<double>(m_kinds[kind].startsPerSecond / 1000)(m_random);
        schedule(gap, [this, kind] {
            scheduleStart(kind);
            const auto sinceBegin = m_now.time_since_epoch();
            const bool counted = sinceBegin >= m_options.warmUp && sinceBegin < m_options.lastStart;
            if (takePermit(m_kinds[kind].tenant)) {
                m_result.kinds[kind].started += counted ? 1 : 0;
                sendTurn({.kind = kind, .number = ++m_lastProgram, .counted = counted, .started = m_now}, 0ms);
            }
        });
    }

    [[nodiscard]] fleet::placement_request requestFor(const program &owner) const
    {
        const auto &kind = m_kinds[owner.kind];
        const auto conversation = static_cast<std::uint32_t>(owner.turn + 1) * kind.newTokens
            + static_cast<std::uint32_t>(owner.turn) * m_options.outputTokens;
        return {.service = "llm",
                .prompt = {{fmt::format("shared{}", owner.number % m_options.sharedParts), m_options.sharedTokens},
                           {fmt::format("line{}", owner.number), conversation}},
                .outputTokens = m_options.maxOutputTokens,
                .outputTokensEstimate = m_options.outputTokens};
    }

    void sendTurn(const program &owner, milliseconds waited)
    {
        const int daemon = static_cast<int>(uniform() * m_options.daemons);
        decideTurn(owner, daemon, m_now - waited);
    }

    void decideTurn(const program &owner, int daemon, time_point arrived)
    {
        auto &pool = m_pools[static_cast<std::size_t>(daemon)];
        const auto &kind = m_kinds[owner.kind];
        const auto waited = std::chrono::duration_cast<milliseconds>(m_now - arrived);
        const auto request = requestFor(owner);
        admission_input input{.turn = {.rank = kind.rank, .firstTurn = owner.turn == 0},
                              .utilisationBySlots = pool.utilisation("llm", m_now),
                              .utilisationByMemory = pool.memoryUtilisation("llm", m_now),
                              .urgentShare = m_mixes[static_cast<std::size_t>(daemon)].urgentShare(m_now),
                              .tenantPressure = pressureOf(kind.tenant),
                              .target = kind.target,
                              .timeLeft = m_options.deadline - waited,
                              .serviceTime = pool.typicalServiceTime("llm"),
                              .randomFraction = uniform(),
                              .fitsEngine = pool.canEverHold(request),
                              .waited = waited};
        if (owner.turn == 0 && waited == 0ms) {
            m_mixes[static_cast<std::size_t>(daemon)].onFirstTurn(kind.rank, m_now);
        }
        // As in the gateway: a request that waits for room has been admitted once.
        auto decision = waited > 0ms ? admission_decision{} : decide(input);
        const auto chosen = pool.choose(request, uniform(), m_now);
        if (!chosen.has_value()) {
            ++m_result.notPlaced;
            return;
        }
        if (decision.what == verdict::Admitted && !chosen->hasRoom) {
            input.hasRoom = false;
            decision = decide(input);
        }
        switch (decision.what) {
        case verdict::Admitted:
            startTurn(owner, daemon, *chosen, request);
            return;
        case verdict::Waits:
            m_result.waits += waited == 0ms ? 1 : 0;
            schedule(inMilliseconds(decision.delay), [=, this] { decideTurn(owner, daemon, arrived); });
            return;
        case verdict::Refused:
        case verdict::TooLarge:
            onRefused(owner, input, decision);
            return;
        }
    }

    void onRefused(program owner, const admission_input &input, const admission_decision &decision)
    {
        m_result.laterTurnsRefused += owner.turn > 0 ? 1 : 0;
        m_result.earlyRefusals += input.utilisationBySlots < minRefusalUtilisation && input.waited == 0ms ? 1 : 0;
        m_result.lateRetries += decision.delay > input.timeLeft / 3 ? 1 : 0;
        if (owner.turn == 0 && !std::exchange(owner.retried, true)) {
            schedule(inMilliseconds(decision.delay), [=, this] { sendTurn(owner, 0ms); });
        }
    }

    void startTurn(const program &owner, int daemon, const fleet::placement &chosen,
                   const fleet::placement_request &request)
    {
        auto &pool = m_pools[static_cast<std::size_t>(daemon)];
        ++m_result.turns;
        m_result.kinds[owner.kind].served += owner.counted && owner.turn == 0 ? 1 : 0;
        pool.onDispatched(chosen.id, m_now);
        auto &target = m_engines[static_cast<std::size_t>(std::stoi(chosen.id.substr(1)))];
        target.waiting.insert({.owner = owner,
                               .daemon = daemon,
                               .priority = priorityOf({.rank = m_kinds[owner.kind].rank, .firstTurn = owner.turn == 0}),
                               .sequence = ++m_sequence,
                               .tokens = request.prompt[1].tokens + m_options.outputTokens,
                               .counted = pool.addTokens(chosen.id, request, m_now),
                               .sent = m_now});
        runWaiting(chosen.id, target);
    }

    // Shared parts are in the memory of each engine. An engine that has no memory for the next request would preempt:
    // here it is counted, and the request waits for one to end.
    void runWaiting(const std::string &id, engine &target)
    {
        while (target.active < m_options.slots && !target.waiting.empty()) {
            const auto next = *target.waiting.begin();
            const auto shared = static_cast<std::uint64_t>(m_options.sharedParts) * m_options.sharedTokens;
            if (target.active > 0 && shared + target.tokens + next.tokens > m_options.memory) {
                m_result.preemptions += m_preempted.insert(next.sequence).second ? 1 : 0;
                return;
            }
            target.waiting.erase(target.waiting.begin());
            target.tokens += next.tokens;
            ++target.active;
            target.stalled += m_preempted.contains(next.sequence)
                ? static_cast<double>(m_options.sharedTokens + next.tokens) / m_options.readTokensPerMillisecond
                : 0;
            schedule(turnMilliseconds(target.active),
                     [this, id, &target, next, before = target.stalled] { onTurnDue(id, target, next, before); });
        }
    }

    // Prompts that the engine has read again since `before` have delayed the whole batch.
    void onTurnDue(const std::string &id, engine &target, const turn_at_engine &due, double before)
    {
        if (target.stalled > before) {
            schedule(target.stalled - before,
                     [this, id, &target, due, now = target.stalled] { onTurnDue(id, target, due, now); });
        } else {
            onTurnEnd(id, target, due);
        }
    }

    [[nodiscard]] double turnMilliseconds(std::uint32_t batch) const
    {
        return m_options.outputTokens * (m_options.stepMilliseconds + m_options.stepMillisecondsPerRequest * batch);
    }

    void onTurnEnd(const std::string &id, engine &target, const turn_at_engine &ended)
    {
        --target.active;
        target.tokens -= ended.tokens;
        auto &pool = m_pools[static_cast<std::size_t>(ended.daemon)];
        pool.removeTokens(id, ended.counted);
        pool.onFinished(id, fleet::request_outcome::Answered,
                        std::chrono::duration_cast<milliseconds>(m_now - ended.sent), m_now);
        runWaiting(id, target);
        auto owner = ended.owner;
        const auto &kind = m_kinds[owner.kind];
        if (++owner.turn < kind.turns) {
            schedule(inMilliseconds(m_options.pause), [=, this] { sendTurn(owner, 0ms); });
            return;
        }
        const double ideal = kind.turns * turnMilliseconds(1) + (kind.turns - 1) * inMilliseconds(m_options.pause);
        const bool inTime =
            inMilliseconds(m_now - owner.started) <= kind.allowedSlowness * ideal + inMilliseconds(kind.target);
        m_result.kinds[owner.kind].inTime += owner.counted && inTime ? 1 : 0;
    }

    simulation_options m_options;
    std::vector<program_kind> m_kinds;
    std::mt19937_64 m_random;
    time_point m_now{};
    std::uint64_t m_sequence = 0;
    int m_lastProgram = 0;
    std::priority_queue<task, std::vector<task>, std::greater<>> m_tasks;
    std::vector<fleet::endpoint_pool> m_pools;
    std::vector<arrival_mix> m_mixes;
    std::vector<engine> m_engines;
    std::map<int, tenant_state> m_tenants;
    std::set<std::uint64_t> m_preempted;
    simulation_result m_result;
};

// Turns that all engines can process in a second with full batches.
inline double turnsPerSecond(const simulation_options &options)
{
    const double turn =
        options.outputTokens * (options.stepMilliseconds + options.stepMillisecondsPerRequest * options.slots);
    return options.engines * options.slots * 1000 / turn;
}

inline std::string describe(const std::vector<program_kind> &kinds, const simulation_result &result)
{
    std::string text =
        fmt::format("{} turns, {} waited, {} preempted, {} later turns refused, {} early refusals\n", result.turns,
                    result.waits, result.preemptions, result.laterTurnsRefused, result.earlyRefusals);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const auto &kind = result.kinds[i];
        text += fmt::format("  {}: {} started, served {:.3f}, in time {:.3f}\n", kinds[i].name, kind.started,
                            kind.servedShare(), kind.inTimeShare());
    }
    return text;
}

} // namespace jackdawpick::admission::testing
