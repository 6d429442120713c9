// Cost of one scheduling decision: admit, enqueue, assign, completion of the call and onServed. The counter
// `allocations` is the number of heap allocations per decision.

#include "scheduler/scheduler.h"
#include "scheduler/scheduler_options.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocations = 0;

} // namespace

// GCC reports a mismatch after inlining the replaced operator delete into a caller of operator new.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

void *operator new(std::size_t size)
{
    ++allocations;
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace jackdawpick
{

namespace
{

constexpr std::size_t knownPrograms = 400000;
constexpr std::uint32_t slots = 16;

struct fixture
{
    explicit fixture(std::size_t engines, std::size_t waitingCalls)
    {
        std::vector<host_entry> hosts(engines);
        for (std::size_t i = 0; i < engines; ++i) {
            hosts[i].name = "engine" + std::to_string(i);
            hosts[i].address = "127.0.0.1:" + std::to_string(i);
            hosts[i].pool = "pool";
            hosts[i].zone = "zone" + std::to_string(i % 4);
            hosts[i].slots = slots;
        }
        table.applyHostList(hosts, clock.now());
        for (const endpoint_id id : table.all()) {
            table.onLoad(id, {.running = slots / 2, .queued = 0, .slots = slots}, clock.now());
        }
        for (std::size_t i = 0; i < knownPrograms; ++i) {
            caches.onServed(keyOf(i), hosts[i % engines].name, 8000, clock.now());
        }
        queue.configure({{.name = "urgent", .share = 0.5}, {.name = "routine", .share = 0.2}}, {});
        // Calls for a pool without endpoints stay in the queue.
        for (std::size_t i = 0; i < waitingCalls; ++i) {
            waiting_call waiting = callOf(knownPrograms + i);
            waiting.pool = "other";
            queue.enqueue(waiting, clock.now());
        }
    }

    static program_key keyOf(std::size_t program)
    {
        return {.customer = "customer" + std::to_string(program % 3400), .program = "s17." + std::to_string(program)};
    }

    waiting_call callOf(std::size_t program) const
    {
        waiting_call made;
        made.handle = program;
        made.program = keyOf(program % knownPrograms);
        made.rank = static_cast<rank_index>(program % 2);
        made.pool = "pool";
        made.zone = "zone1";
        made.promptTokens = 9000;
        made.maxTokens = 500;
        made.attainedService = 20000;
        made.content = program;
        made.arrived = clock.now();
        made.deadline = clock.now() + std::chrono::seconds(60);
        return made;
    }

    manual_clock clock;
    endpoint_table table{{}, 1};
    cache_directory caches{{}};
    scheduler queue{{}, 1};
};

void decision(benchmark::State &state)
{
    using namespace std::chrono_literals;
    fixture set(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    constexpr std::size_t prepared = 4096;
    std::vector<waiting_call> calls;
    for (std::size_t i = 0; i < prepared; ++i) {
        calls.push_back(set.callOf(i * 97 % knownPrograms));
    }
    const std::string pool = "pool";
    std::uint64_t counted = 0;
    std::size_t next = 0;
    for (auto _ : state) {
        const waiting_call &call = calls[next++ % prepared];
        const std::uint64_t before = allocations;
        benchmark::DoNotOptimize(set.queue.admit(call, set.table, set.clock.now()));
        set.queue.enqueue(call, set.clock.now());
        for (const assignment &made : set.queue.assign(set.table, set.caches, set.clock.now())) {
            set.table.onFinished(made.endpoint, call.content, {9000, 8000, 200}, 100ms, 3s, set.clock.now());
            set.queue.onServed(call.rank, pool, 1200, 3s, set.clock.now());
        }
        counted += allocations - before;
    }
    state.counters["allocations"] = static_cast<double>(counted) / static_cast<double>(state.iterations());
}

BENCHMARK(decision)
    ->ArgNames({"engines", "waiting"})
    ->Args({12, 0})
    ->Args({100, 0})
    ->Args({500, 0})
    ->Args({2500, 0})
    ->Args({2500, 10000});

} // namespace

} // namespace jackdawpick
