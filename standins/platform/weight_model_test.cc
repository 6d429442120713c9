#include "platform/weight_model.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

using namespace std::chrono_literals;

TEST(WeightModel, LoadsAreRateLimited)
{
    manual_clock clock;
    weight_model store({.loadsPerMinute = 60, .burst = 2});
    EXPECT_EQ(store.load("tide-7b", clock.now()).status, 200);
    EXPECT_EQ(store.load("tide-7b", clock.now()).status, 200);
    const auto refused = store.load("tide-7b", clock.now());
    EXPECT_EQ(refused.status, 429);
    clock.advance(refused.retryAfter - 1ms);
    EXPECT_EQ(store.load("tide-7b", clock.now()).status, 429);
    clock.advance(1ms);
    EXPECT_EQ(store.load("tide-7b", clock.now()).status, 200);
    EXPECT_EQ(store.served().at("tide-7b"), 3U);
}

// Guards against an outage that uses up the rate: the first load after it must succeed.
TEST(WeightModel, OutageServesNothing)
{
    manual_clock clock;
    weight_model store({.burst = 1});
    store.faults().assign("outage");
    EXPECT_EQ(store.load("tide-7b", clock.now()).status, 503);
    store.faults().assign("outage=0");
    EXPECT_EQ(store.load("tide-7b", clock.now()).status, 200);
}

} // namespace jackdawpick::standins
