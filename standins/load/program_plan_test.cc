#include "load/program_plan.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;

load_options options()
{
    load_options result;
    result.seed = 20261204;
    result.programs = 2000;
    result.model = "tide-7b";
    result.ranks = {{.name = "urgent", .programsPerSecond = 10}, {.name = "routine", .programsPerSecond = 10}};
    result.services = {"payments", "bookings"};
    result.minTurns = 2;
    result.maxTurns = 60;
    return result;
}

} // namespace

// Guards against runs with one seed that cannot be compared.
TEST(ProgramPlan, SameSeedSamePlan)
{
    const auto first = planPrograms(options());
    const auto second = planPrograms(options());
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(first[index].arrival, second[index].arrival);
        EXPECT_EQ(first[index].calls.size(), second[index].calls.size());
    }
    auto other = options();
    other.seed = 1;
    EXPECT_NE(planPrograms(other).front().name, first.front().name);
}

TEST(ProgramPlan, ShapesAreWithinTheOptions)
{
    const auto plans = planPrograms(options());
    EXPECT_TRUE(std::ranges::is_sorted(plans, {}, &program_plan::arrival));
    std::size_t longest = 0;
    std::size_t withChildren = 0;
    for (const auto &plan : plans) {
        longest = std::max(longest, plan.calls.size());
        withChildren += plan.children.empty() ? 0 : 1;
        EXPECT_GE(plan.calls.size(), 2U);
        EXPECT_LE(plan.calls.size(), 60U);
        EXPECT_TRUE(plan.calls.front().service.empty());
        EXPECT_TRUE(plan.calls.back().service.empty());
        EXPECT_LE(plan.calls.back().pauseBefore, 5s);
    }
    EXPECT_GT(longest, 40U) << "the tail of the chain lengths is missing";
    EXPECT_NEAR(static_cast<double>(withChildren), 300, 60);
}

TEST(ProgramPlan, FloodMultipliesOneRankForItsTime)
{
    auto flooded = options();
    flooded.floods = {{.rank = "routine", .start = 10s, .end = 20s, .factor = 5}};
    std::map<std::string, int> inFlood;
    for (const auto &plan : planPrograms(flooded)) {
        inFlood[plan.rank] += plan.arrival >= 10s && plan.arrival < 20s ? 1 : 0;
    }
    EXPECT_NEAR(inFlood["urgent"], 100, 35);
    EXPECT_NEAR(inFlood["routine"], 500, 80);
}

} // namespace jackdawpick::standins
