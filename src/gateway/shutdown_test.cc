// The graceful shutdown: what is accepted is finished, and the process ends in time.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <utility>
#include <vector>

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

// Guards against a shutdown that aborts requests, and against a directory that lists a daemon that is shutting down.
TEST(Shutdown, FinishesRequestsAndLeavesTheDirectory)
{
    gateway_world world({.daemons = 3});
    world.warmUp();
    ASSERT_EQ(world.core(1).directory("z", world.now()).size(), 3U);
    auto &open = world.send(0, modelTurn("p", "a"));
    world.runFor(10ms);
    world.shutdown(0);
    EXPECT_FALSE(world.core(0).ready());
    world.runFor(50ms);
    EXPECT_EQ(world.core(1).directory("z", world.now()).size(), 2U);
    auto &late = world.send(0, modelTurn("p", "b")); // From a caller with an outdated list.
    world.runFor(10s);
    EXPECT_TRUE(open.complete);
    EXPECT_TRUE(late.complete);
    EXPECT_EQ(late.status, 200);
    EXPECT_FALSE(world.isRunning(0));
}

// Guards against a process that stops before the last bytes of its last response are written.
TEST(Shutdown, LeavesTimeForTheLastResponse)
{
    gateway_world world({.daemons = 1, .serviceTime = 300ms});
    world.warmUp();
    auto &open = world.send(0, shopRequest("/read/1", "early"));
    world.runFor(500ms);
    ASSERT_TRUE(open.complete);
    world.shutdown(0);
    world.runFor(2900ms);
    auto &last = world.send(0, shopRequest("/pay/1", "a"));
    while (!last.ended()) {
        world.runFor(1ms);
    }
    EXPECT_TRUE(last.complete);
    world.runFor(200ms);
    EXPECT_TRUE(world.isRunning(0));
    world.runFor(200ms);
    EXPECT_FALSE(world.isRunning(0));
}

// Guards against a daemon that accepts requests to the end of its shutdown and cuts them off there: callers whose lists
// of addresses are old kept coming, so that the process never ran out of work.
TEST(Shutdown, EndsWhileCallersKeepComing)
{
    constexpr auto acceptTime = 3000ms;
    gateway_world world({.daemons = 1, .serviceTime = 100ms});
    world.warmUp();
    world.shutdown(0);
    const auto began = world.now();
    std::vector<std::pair<std::string, const caller_response *>> sent;
    while (world.isRunning(0) && world.now() - began < 10s) {
        const auto attempt = fmt::format("a{}", sent.size());
        const bool early = world.now() - began < acceptTime;
        sent.emplace_back(attempt, &world.send(0, shopRequest("/pay/1", attempt)));
        world.runFor(10ms);
        EXPECT_TRUE(early || world.runsOf(attempt) == 0) << attempt;
    }
    EXPECT_LT(world.now() - began, 4s);
    for (const auto &[attempt, response] : sent) {
        const bool servedOrRefused = response->complete && (response->status == 200) == (world.runsOf(attempt) == 1);
        const bool met = !response->complete && world.runsOf(attempt) == 0; // Sent while the process ended.
        EXPECT_TRUE(servedOrRefused || met) << attempt;
        EXPECT_TRUE(response->status != 503 || response->refusal == result_code::Draining) << attempt;
    }
}

// Guards against a request that gets no answer because its endpoint is slower than the shutdown may take.
TEST(Shutdown, SlowRequestsGetAnAnswer)
{
    constexpr auto limit = 7000ms;
    gateway_world world({.daemons = 1});
    auto configuration = initialConfiguration();
    configuration.version = 2;
    configuration.routes.back().timeout = 20s;
    world.publish(configuration);
    world.warmUp();
    world.endpointBehaviours = {{"shop-0", endpoint_behaviour::Hangs}, {"shop-1", endpoint_behaviour::Hangs}};
    auto request = shopRequest("/pay/1", "a");
    request.deadline = 20s;
    const auto &response = world.send(0, request);
    world.runFor(10ms);
    world.shutdown(0);
    world.runFor(limit - 500ms);
    EXPECT_FALSE(response.ended());
    world.runFor(500ms);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.refusal, result_code::OutcomeUnknown);
    world.runFor(100ms);
    EXPECT_FALSE(world.isRunning(0));
}

} // namespace jackdawpick::gateway::testing
