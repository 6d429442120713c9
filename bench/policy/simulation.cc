#include "simulation.h"

#include "scheduler/internal/random.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>

namespace jackdawpick::bench
{

namespace
{

constexpr double reportInterval = 0.25;
constexpr double reportDelay = 0.25;
constexpr double lateReportDelay = 2;
constexpr double eventInterval = 1;
constexpr double eventDelay = 1;
constexpr double eventLoss = 0.05;
constexpr double sameZoneDelay = 0.0001;
constexpr int firstCallRetries = 3;
constexpr double patienceSeconds = 600;
constexpr double crashAfter = 20;
constexpr double restartAfter = 35;

time_point toTime(double seconds)
{
    return time_point(std::chrono::hours(1))
        + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(time_point when)
{
    return std::chrono::duration<double>(when - time_point(std::chrono::hours(1))).count();
}

struct event
{
    double at = 0;
    std::uint64_t sequence = 0;
    std::function<void()> run;
};

struct later
{
    bool operator()(const event &left, const event &right) const
    {
        return left.at > right.at || (left.at == right.at && left.sequence > right.sequence);
    }
};

struct program_state
{
    std::size_t turn = 0;
    token_count history = 0; // Before the turn.
    token_count attained = 0; // Of a root: with its sub-agents.
    std::size_t root = 0;
    std::optional<std::size_t> parent;
    int firstRefusals = 0;
    bool wasRefused = false;
    bool over = false;
    bool completed = false;
    double endedAt = 0;
};

struct engine_state
{
    fake_engine engine;
    std::uint64_t generation = 0; // Of the scheduled wake-up.
    bool dead = false;
};

struct daemon_state
{
    daemon_model model;
    double wakeAt = std::numeric_limits<double>::infinity();
};

class simulation
{
public:
    explicit simulation(const run_plan &plan);
    run_result run();

private:
    void at(double when, std::function<void()> what);
    void setUp();
    void startReports(std::size_t engine);
    void startEvents(std::size_t engine);
    void input(std::size_t daemon, const bench::input &what);
    void wake(std::size_t daemon);
    void act(std::size_t daemon, const dispatch_output &what);
    void act(std::size_t daemon, const refuse_output &what);
    void act(std::size_t daemon, const release_output &what);
    void engineChanged(std::size_t engine);
    void deliver(std::size_t engine, const std::vector<engine_call> &finished);
    void answered(const engine_call &call);
    void sendCall(std::size_t program);
    void nextTurn(std::size_t program);
    void endProgram(std::size_t program, bool completed);
    void crash(std::size_t engine);
    [[nodiscard]] double delay(std::size_t daemon, std::size_t engine) const;
    [[nodiscard]] program_key keyOf(std::size_t program) const;
    run_result collect();

    run_plan m_plan;
    capacity_estimate m_capacity;
    std::vector<program_plan> m_programs;
    std::vector<program_state> m_states;
    std::vector<engine_state> m_engines;
    std::vector<daemon_state> m_daemons;
    std::priority_queue<event, std::vector<event>, later> m_events;
    std::uint64_t m_sequence = 0;
    double m_now = 0;
    internal::random_source m_random;
    std::vector<std::size_t> m_callProgram; // By handle.
    struct finished_call
    {
        double at;
        std::size_t program;
        std::size_t turn;
        engine_call call;
    };
    std::vector<finished_call> m_finished;
    run_result m_result;
};

simulation::simulation(const run_plan &plan)
    : m_plan(plan)
    , m_capacity(estimateCapacity(plan.fleet))
    , m_programs(generate(plan.fleet, plan.load, plan.flood, plan.arrivalsEnd, plan.seed))
    , m_states(m_programs.size())
    , m_random(plan.seed * 7919)
{
}

void simulation::at(double when, std::function<void()> what)
{
    m_events.push({.at = std::max(when, m_now), .sequence = ++m_sequence, .run = std::move(what)});
}

double simulation::delay(std::size_t daemon, std::size_t engine) const
{
    const std::size_t zones = m_plan.fleet.zones;
    return daemon % zones == engine % zones ? sameZoneDelay : m_plan.fleet.betweenZonesSeconds;
}

program_key simulation::keyOf(std::size_t program) const
{
    return {.customer = m_programs[program].customer, .program = std::to_string(program)};
}

void simulation::setUp()
{
    const fleet_shape &fleet = m_plan.fleet;
    std::vector<host_entry> hosts(fleet.engines);
    for (std::size_t i = 0; i < fleet.engines; ++i) {
        hosts[i].name = "engine" + std::to_string(i);
        hosts[i].address = "127.0.0.1:" + std::to_string(7000 + i);
        hosts[i].pool = "engines";
        hosts[i].zone = "zone" + std::to_string(i % fleet.zones);
        hosts[i].slots = fleet.engine.slots;
        m_engines.push_back({.engine = fake_engine(fleet.engine)});
    }
    std::vector<rank_policy> ranks(2);
    ranks[0].name = "urgent";
    ranks[1].name = "routine";
    ranks[1].share = fleet.routineShare;
    for (std::size_t i = 0; i < fleet.daemons; ++i) {
        m_daemons.push_back({.model = daemon_model(m_plan.options, ranks, m_plan.seed * 100 + i)});
        input(i, hosts_input{hosts});
    }
    for (std::size_t i = 0; i < fleet.engines; ++i) {
        startReports(i);
        startEvents(i);
    }
    for (const program_plan &program : m_programs) {
        m_states[program.index].root = m_states[program.index].parent ? m_states[program.index].root : program.index;
        for (const turn_plan &turn : program.turns) {
            if (turn.subAgent) {
                m_states[*turn.subAgent].parent = program.index;
                m_states[*turn.subAgent].root = m_states[program.index].root;
            }
        }
        if (!program.isSubAgent) {
            at(program.startSeconds, [this, index = program.index] { sendCall(index); });
        }
    }
    if (m_plan.faults.crash) {
        at(m_plan.flood.startSeconds + crashAfter, [this] { crash(0); });
        at(m_plan.flood.startSeconds + restartAfter, [this] { m_engines[0].dead = false; });
    }
}

void simulation::startReports(std::size_t engine)
{
    // Reports of the engines are spread over the interval, as polls of independent processes are.
    const double phase = reportInterval * static_cast<double>(engine) / static_cast<double>(m_plan.fleet.engines);
    at(m_now + reportInterval + (m_now == 0 ? phase : 0), [this, engine] {
        engine_state &state = m_engines[engine];
        if (!state.dead) {
            const bool late =
                m_plan.faults.lateReports && m_now >= m_plan.flood.startSeconds && m_now < m_plan.flood.endSeconds;
            at(m_now + (late ? lateReportDelay : reportDelay), [this, engine, report = state.engine.load()] {
                for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
                    input(daemon, load_input{"engine" + std::to_string(engine), report});
                }
            });
        }
        startReports(engine);
    });
}

void simulation::startEvents(std::size_t engine)
{
    at(m_now + eventInterval, [this, engine] {
        std::vector<cache_event> events = m_engines[engine].engine.takeEvents();
        std::erase_if(events, [this](const cache_event &) { return m_random.unit() < eventLoss; });
        for (cache_event &each : events) {
            each.program = toString(keyOf(std::stoul(each.program)));
        }
        at(m_now + eventDelay, [this, engine, events] {
            for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
                input(daemon, events_input{"engine" + std::to_string(engine), events});
            }
        });
        startEvents(engine);
    });
}

void simulation::input(std::size_t daemon, const bench::input &what)
{
    for (const output &each : m_daemons[daemon].model.reduce(what, toTime(m_now))) {
        std::visit([&](const auto &action) { act(daemon, action); }, each);
    }
    wake(daemon);
}

void simulation::wake(std::size_t daemon)
{
    daemon_state &state = m_daemons[daemon];
    const auto next = state.model.nextDeadline();
    if (!next) {
        return;
    }
    constexpr double rounding = 1e-6; // Seconds as a double may round to just before the deadline.
    const double when = std::max(toSeconds(*next), m_now) + rounding;
    if (state.wakeAt > m_now && state.wakeAt <= when) {
        return;
    }
    state.wakeAt = when;
    at(when, [this, daemon, when] {
        if (m_daemons[daemon].wakeAt == when) {
            m_daemons[daemon].wakeAt = std::numeric_limits<double>::infinity();
            input(daemon, wake_input{});
        }
    });
}

void simulation::act(std::size_t daemon, const dispatch_output &what)
{
    const std::size_t engine = std::stoul(what.endpoint.substr(6));
    const std::size_t program = m_callProgram[what.handle];
    const program_state &state = m_states[program];
    const turn_plan &turn = m_programs[program].turns[state.turn];
    const engine_call call{.id = what.handle,
                           .program = static_cast<std::uint32_t>(program),
                           .daemon = daemon,
                           .rank = m_programs[program].rank,
                           .priority = what.priority,
                           .promptTokens = state.history + turn.newTokens,
                           .outputTokens = turn.outputTokens};
    const double sent = m_now;
    at(m_now + delay(daemon, engine), [this, engine, call, sent]() mutable {
        if (m_engines[engine].dead) {
            at(m_now + delay(call.daemon, engine), [this, call] {
                input(call.daemon, failed_input{call.id, {.kind = failure_kind::ConnectFailed}});
            });
            return;
        }
        std::vector<engine_call> finished;
        m_engines[engine].engine.advance(m_now, finished);
        deliver(engine, finished);
        m_engines[engine].engine.submit(call, m_now);
        (void)sent;
        engineChanged(engine);
    });
}

void simulation::act(std::size_t /*daemon*/, const refuse_output &what)
{
    const std::size_t program = m_callProgram[what.handle];
    program_state &state = m_states[program];
    const bool first = state.turn == 0 && !state.parent;
    if (first) {
        state.wasRefused = true;
        if (!m_programs[program].ofFlood && m_programs[program].startSeconds >= m_plan.flood.endSeconds) {
            m_result.lastRefusalAfterFlood = std::max(m_result.lastRefusalAfterFlood, m_now - m_plan.flood.endSeconds);
        }
    }
    const bool impatient = m_now - m_programs[state.root].startSeconds > patienceSeconds;
    if ((first && ++state.firstRefusals > firstCallRetries) || impatient) {
        endProgram(program, false);
        return;
    }
    // Callers wait a little longer than told, each by its own amount.
    const double wait = std::chrono::duration<double>(what.retryAfter).count() * (1 + 0.2 * m_random.unit());
    at(m_now + wait + 2 * m_plan.fleet.toClientsSeconds, [this, program] { sendCall(program); });
}

void simulation::act(std::size_t daemon, const release_output &what)
{
    const std::size_t engine = std::stoul(what.release.endpoint.substr(6));
    const auto program = std::stoul(what.release.program.substr(what.release.program.find('/') + 1));
    at(m_now + delay(daemon, engine), [this, daemon, engine, program, release = what.release] {
        m_engines[engine].engine.release(static_cast<std::uint32_t>(program));
        at(m_now + delay(daemon, engine), [this, daemon, release] { input(daemon, released_input{release}); });
    });
}

void simulation::engineChanged(std::size_t engine)
{
    engine_state &state = m_engines[engine];
    const auto next = state.engine.nextChange();
    const std::uint64_t generation = ++state.generation;
    if (!next) {
        return;
    }
    at(*next, [this, engine, generation] {
        engine_state &changed = m_engines[engine];
        if (changed.generation != generation) {
            return;
        }
        std::vector<engine_call> finished;
        changed.engine.advance(m_now, finished);
        deliver(engine, finished);
        engineChanged(engine);
    });
}

void simulation::deliver(std::size_t engine, const std::vector<engine_call> &finished)
{
    for (const engine_call &call : finished) {
        at(m_now + delay(call.daemon, engine), [this, call] { answered(call); });
    }
}

void simulation::answered(const engine_call &call)
{
    const std::size_t program = call.program;
    program_state &state = m_states[program];
    const turn_plan &turn = m_programs[program].turns[state.turn];
    m_result.wastedTokens += static_cast<double>(state.history - std::min(state.history, call.cachedTokens));
    m_result.servedTokens += static_cast<double>(call.promptTokens + call.outputTokens);
    m_states[state.root].attained += call.promptTokens - call.cachedTokens + call.outputTokens;
    m_finished.push_back({m_now, program, state.turn, call});
    const auto firstToken = std::chrono::duration<double>(call.firstTokenAt - call.arrivedAt);
    input(call.daemon,
          finished_input{call.id,
                         {call.promptTokens, call.cachedTokens, call.outputTokens},
                         std::chrono::duration_cast<duration>(firstToken)});
    state.history = call.promptTokens + turn.outputTokens;
    if (turn.subAgent) {
        at(m_now + m_plan.fleet.toClientsSeconds, [this, child = *turn.subAgent] { sendCall(child); });
        return;
    }
    const double pause = state.turn + 1 == m_programs[program].turns.size() ? 0 : turn.pauseSeconds;
    at(m_now + m_plan.fleet.toClientsSeconds + pause, [this, program] { nextTurn(program); });
}

void simulation::nextTurn(std::size_t program)
{
    program_state &state = m_states[program];
    if (++state.turn == m_programs[program].turns.size()) {
        endProgram(program, true);
        return;
    }
    sendCall(program);
}

void simulation::sendCall(std::size_t program)
{
    at(m_now + m_plan.fleet.toClientsSeconds, [this, program] {
        const program_plan &plan = m_programs[program];
        const program_state &state = m_states[program];
        const std::uint64_t handle = m_callProgram.size();
        m_callProgram.push_back(program);
        waiting_call call;
        call.handle = handle;
        call.program = keyOf(program);
        call.rank = plan.rank;
        call.pool = "engines";
        call.zone = "zone" + std::to_string(plan.daemon % m_plan.fleet.zones);
        call.promptTokens = state.history + plan.turns[state.turn].newTokens;
        call.maxTokens = 1500;
        call.attainedService = m_states[state.root].attained;
        call.content = handle + 1;
        call.arrived = toTime(m_now);
        call.deadline = call.arrived + std::chrono::seconds(120);
        input(plan.daemon, call_input{call});
    });
}

void simulation::endProgram(std::size_t program, bool completed)
{
    program_state &state = m_states[program];
    state.over = true;
    state.completed = completed;
    state.endedAt = m_now;
    input(m_programs[program].daemon, program_ended_input{keyOf(program)});
    if (!state.parent) {
        return;
    }
    if (completed) {
        nextTurn(*state.parent);
    } else {
        endProgram(*state.parent, false);
    }
}

void simulation::crash(std::size_t engine)
{
    engine_state &state = m_engines[engine];
    std::vector<engine_call> finished;
    state.engine.advance(m_now, finished);
    deliver(engine, finished);
    state.dead = true;
    for (const engine_call &call : state.engine.crash(m_now)) {
        at(m_now + delay(call.daemon, engine), [this, call] {
            input(call.daemon, failed_input{call.id, {.kind = failure_kind::ConnectionLost, .bytesOffered = true}});
        });
    }
    engineChanged(engine);
}

run_result simulation::collect()
{
    for (const program_plan &plan : m_programs) {
        const program_state &state = m_states[plan.index];
        if (plan.isSubAgent) {
            continue;
        }
        m_result.programs.push_back(
            {.start = plan.startSeconds,
             .latency = state.completed ? state.endedAt - plan.startSeconds : std::numeric_limits<double>::infinity(),
             .ideal = idealSeconds(m_plan.fleet, m_programs, plan.index),
             .rank = plan.rank,
             .ofFlood = plan.ofFlood,
             .refused = state.wasRefused});
    }
    for (const finished_call &call : m_finished) {
        const program_plan &plan = m_programs[call.program];
        m_result.calls.push_back({.finished = call.at,
                                  .slotSeconds = slotSeconds(m_plan.fleet, m_capacity, plan.turns[call.turn]),
                                  .queued = call.call.slotAt - call.call.arrivedAt,
                                  .prefill = call.call.firstTokenAt - call.call.slotAt,
                                  .decode = call.call.finishedAt - call.call.firstTokenAt,
                                  .output = double(call.call.outputTokens),
                                  .uncached = double(call.call.promptTokens - call.call.cachedTokens),
                                  .rank = plan.rank,
                                  .useful = m_states[m_states[call.program].root].completed});
    }
    for (const engine_state &state : m_engines) {
        const slot_windows &windows = state.engine.windows();
        m_result.windows.resize(std::max(m_result.windows.size(), windows.size()));
        for (std::size_t i = 0; i < windows.size(); ++i) {
            m_result.windows[i][0] += windows[i][0];
            m_result.windows[i][1] += windows[i][1];
        }
    }
    m_result.fleetSlots = static_cast<double>(m_plan.fleet.engines) * m_plan.fleet.engine.slots;
    return std::move(m_result);
}

run_result simulation::run()
{
    setUp();
    while (!m_events.empty() && m_events.top().at <= m_plan.end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
        if (m_now > m_plan.arrivalsEnd && m_sequence % 1024 == 0
            && std::ranges::all_of(m_programs, [this](const program_plan &plan) {
                   return plan.isSubAgent || m_states[plan.index].over;
               })) {
            break;
        }
    }
    return collect();
}

} // namespace

run_result simulate(const run_plan &plan)
{
    return simulation(plan).run();
}

} // namespace jackdawpick::bench
