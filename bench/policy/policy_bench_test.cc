#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

namespace jackdawpick::bench
{

namespace
{

engine_call call(std::uint64_t id, std::uint32_t program, token_count prompt, rank_index priority = 0)
{
    engine_call made;
    made.id = id;
    made.program = program;
    made.priority = priority;
    made.promptTokens = prompt;
    made.outputTokens = 100;
    return made;
}

} // namespace

// Guards against figures that come from an engine which is faster or slower than its stated parameters.
TEST(FakeEngine, LoneCallTakesPrefillPlusSteps)
{
    fake_engine engine({});
    std::vector<engine_call> finished;
    engine.submit(call(1, 1, 8000), 0);
    engine.advance(100, finished);
    ASSERT_EQ(finished.size(), 1U);
    EXPECT_NEAR(finished[0].firstTokenAt, 1.0, 1e-6);
    EXPECT_NEAR(finished[0].finishedAt, 1.0 + 100 * 0.014, 1e-6);
}

TEST(FakeEngine, PrefixIsCachedUntilEvictedByLaterPrograms)
{
    engine_shape shape;
    shape.cacheTokens = 5000;
    fake_engine engine(shape);
    std::vector<engine_call> finished;
    engine.submit(call(1, 1, 2000), 0);
    engine.advance(10, finished);
    engine.submit(call(2, 1, 2500), 10);
    engine.advance(20, finished);
    EXPECT_EQ(finished[1].cachedTokens, 2100U);
    engine.submit(call(3, 2, 4000), 20);
    engine.advance(30, finished);
    engine.submit(call(4, 1, 3000), 30);
    engine.advance(40, finished);
    EXPECT_EQ(finished[3].cachedTokens, 0U);
    const auto events = engine.takeEvents();
    EXPECT_TRUE(std::ranges::any_of(events, [](const cache_event &each) { return !each.stored; }));
}

TEST(FakeEngine, QueueGoesByPriority)
{
    engine_shape shape;
    shape.slots = 1;
    fake_engine engine(shape);
    std::vector<engine_call> finished;
    engine.submit(call(1, 1, 100, 1), 0);
    engine.submit(call(2, 2, 100, 1), 0);
    engine.submit(call(3, 3, 100, 0), 0);
    engine.advance(100, finished);
    ASSERT_EQ(finished.size(), 3U);
    EXPECT_EQ(finished[1].id, 3U);
    EXPECT_EQ(engine.load().running, 0U);
}

// Guards against figures that cannot be repeated, and against a schedule faster than the stated lower bound.
TEST(Simulation, SameSeedGivesTheSameResultAndNothingBeatsTheIdeal)
{
    run_plan plan;
    plan.fleet = wanza();
    plan.load = 0.5;
    plan.arrivalsEnd = 30;
    plan.seed = 3;
    const run_result first = simulate(plan);
    const run_result second = simulate(plan);
    ASSERT_EQ(first.programs.size(), second.programs.size());
    ASSERT_FALSE(first.programs.empty());
    for (std::size_t i = 0; i < first.programs.size(); ++i) {
        EXPECT_EQ(first.programs[i].latency, second.programs[i].latency);
        EXPECT_TRUE(std::isfinite(first.programs[i].latency));
        EXPECT_GE(first.programs[i].latency, first.programs[i].ideal);
    }
}

} // namespace jackdawpick::bench
