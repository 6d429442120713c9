#include "platform/service_model.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;

// Guards against a doubled call that hides behind a new request id.
TEST(ServiceModel, CountsByOperationOrRequestId)
{
    manual_clock clock;
    service_model service({}, seed);
    (void)service.call({.operation = "p/1", .requestId = "r1"}, clock.now());
    (void)service.call({.operation = "p/1", .requestId = "r2"}, clock.now());
    (void)service.call({.requestId = "r3"}, clock.now());
    (void)service.call({.operation = "p/2", .requestId = "r4", .idempotent = true}, clock.now());
    (void)service.call({.operation = "p/2", .requestId = "r4", .idempotent = true}, clock.now());
    EXPECT_EQ(service.counts().at("p/1").runs, 2U);
    EXPECT_EQ(service.counts().at("r3").runs, 1U);
    EXPECT_EQ(service.doubled(), 1U);
}

TEST(ServiceModel, LostAnswerHasAnEffectAndAHangHasNone)
{
    manual_clock clock;
    service_model service({}, seed);
    service.faults().assign("lost_answer=1");
    const auto lost = service.call({.operation = "a"}, clock.now());
    EXPECT_EQ(lost.status, 0);
    EXPECT_EQ(service.counts().at("a").runs, 1U);
    service.faults().assign("hang");
    EXPECT_EQ(service.call({.operation = "b"}, clock.now()).status, 0);
    service.faults().assign("hang=0");
    service.faults().assign("error_rate=1");
    EXPECT_EQ(service.call({.operation = "b"}, clock.now()).status, 500);
    EXPECT_FALSE(service.counts().contains("b"));
}

TEST(ServiceModel, LatencyIsDrawnAroundTheMedian)
{
    manual_clock clock;
    service_model service({.latency = 20ms, .spread = 0}, seed);
    EXPECT_EQ(service.call({.operation = "a"}, clock.now()).delay, 20ms);
    service.faults().assign("latency_ms=70");
    EXPECT_EQ(service.call({.operation = "b"}, clock.now()).delay, 70ms);
    EXPECT_NE(serviceResult("a", "pay"), serviceResult("b", "pay"));
}

TEST(ServiceModel, UnknownFaultsAndWrongValuesAreRefused)
{
    service_model service({}, seed);
    EXPECT_ANY_THROW(service.faults().assign("hnag"));
    EXPECT_ANY_THROW(service.faults().assign("hang=often"));
    EXPECT_ANY_THROW(service.faults().set("hang", "text"));
}

} // namespace jackdawpick::standins
