// The work and the memory of turns that continue one conversation at once, with shared texts and with joined ones.
// Arguments: bytes of the history, turns at once.

#include "rope/rope.h"

#include <benchmark/benchmark.h>

namespace jackdawpick
{

namespace
{

constexpr std::size_t inputBytes = 1000;

void setHeld(benchmark::State &state, std::size_t bytes)
{
    state.counters["held_bytes"] = static_cast<double>(bytes);
}

void sharedHistories(benchmark::State &state)
{
    text_account account;
    const rope history(account.share(std::string(static_cast<std::size_t>(state.range(0)), 'i')));
    for (auto _ : state) {
        std::vector<rope> prompts;
        for (std::int64_t i = 0; i < state.range(1); ++i) {
            prompts.push_back(history + rope(account.share(std::string(inputBytes, 'n'))));
        }
        benchmark::DoNotOptimize(prompts.data());
        setHeld(state, account.bytes());
    }
}

void joinedHistories(benchmark::State &state)
{
    const std::string history(static_cast<std::size_t>(state.range(0)), 'i');
    for (auto _ : state) {
        std::vector<std::string> prompts;
        std::size_t held = history.capacity();
        for (std::int64_t i = 0; i < state.range(1); ++i) {
            prompts.push_back(history + std::string(inputBytes, 'n'));
            held += prompts.back().capacity();
        }
        benchmark::DoNotOptimize(prompts.data());
        setHeld(state, held);
    }
}

} // namespace

BENCHMARK(sharedHistories)->ArgsProduct({{17000, 200000, 4000000}, {1, 40}});
BENCHMARK(joinedHistories)->ArgsProduct({{17000, 200000, 4000000}, {1, 40}});

} // namespace jackdawpick
