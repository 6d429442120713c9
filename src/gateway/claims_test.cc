// State that is held for other daemons, endpoints and callers is given back when they leave.

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

int statusCount(const std::vector<const caller_response *> &responses, int status)
{
    return static_cast<int>(std::ranges::count(responses, status, &caller_response::status));
}

} // namespace

// Guards against a program that is denied its budget because the daemon that decided on it stopped, in a regular
// shutdown, before it had written what the last turn used.
TEST(Claims, ShutdownWritesTheSettlementsItHolds)
{
    gateway_world world({.daemons = 2, .engineEndpoints = 4, .eventInterval = 960ms});
    world.warmUp();
    constexpr int programs = 12;
    constexpr std::uint32_t budget = 100; // The 30 tokens of one turn and the 60 that the next one reserves fit.
    std::vector<const caller_response *> first;
    first.reserve(programs);
    for (int i = 0; i < programs; ++i) {
        first.push_back(&world.send(0, modelTurn(fmt::format("p{}", i), fmt::format("a{}", i), budget)));
    }
    world.runFor(50ms);
    world.shutdown(1); // Decides on about half of the programs.
    world.runFor(6s);
    ASSERT_FALSE(world.isRunning(1));
    ASSERT_EQ(statusCount(first, 200), programs);
    std::vector<const caller_response *> second;
    second.reserve(programs);
    for (int i = 0; i < programs; ++i) {
        second.push_back(&world.send(0, modelTurn(fmt::format("p{}", i), fmt::format("b{}", i), budget)));
    }
    world.runFor(4s);
    EXPECT_EQ(statusCount(second, 402), 0);
    EXPECT_EQ(statusCount(second, 200), programs);
}

// Guards against a daemon that waits for ever to write its settlements, or spins meanwhile, while the store is down.
TEST(Claims, ShutdownEndsWithoutAStore)
{
    gateway_world world({.daemons = 1, .engineEndpoints = 1, .eventInterval = 200ms});
    world.warmUp();
    const auto &response = world.send(0, modelTurn("p", "a"));
    world.runFor(300ms);
    world.storeBehaviours[0].unavailable = true;
    world.disconnect(response);
    world.shutdown(0);
    world.runFor(6900ms);
    EXPECT_TRUE(world.isRunning(0));
    world.runFor(200ms);
    EXPECT_FALSE(world.isRunning(0));
}

// Guards against a program that is denied its budget because the daemon that decided on it died under a turn: the
// daemon that ran the turn kept the settlement and never wrote it, since it did not decide on this partition itself.
TEST(Claims, SettlementIsWrittenIfTheDeciderDies)
{
    constexpr int programs = 24;
    constexpr std::uint32_t budget = 100; // The 30 tokens of one turn and the 60 that the next one reserves fit.
    for (const int decider : {1, 2}) {
        gateway_world world({.daemons = 3, .engineEndpoints = 10, .eventInterval = 300ms});
        world.warmUp();
        std::vector<const caller_response *> first;
        first.reserve(programs);
        for (int i = 0; i < programs; ++i) {
            first.push_back(&world.send(0, modelTurn(fmt::format("p{}", i), fmt::format("a{}", i), budget)));
        }
        world.runFor(300ms);
        world.kill(decider); // Has decided on a part of the programs.
        world.runFor(4s);
        ASSERT_EQ(statusCount(first, 200), programs);
        std::vector<const caller_response *> second;
        second.reserve(programs);
        for (int i = 0; i < programs; ++i) {
            second.push_back(&world.send(3 - decider, modelTurn(fmt::format("p{}", i), fmt::format("b{}", i), budget)));
        }
        world.runFor(3s);
        EXPECT_EQ(statusCount(second, 402), 0);
        EXPECT_EQ(statusCount(second, 200), programs);
    }
}

// Guards against a daemon that keeps to the share of connections that it had when its peers were alive: it refused
// requests although the endpoint accepted more connections.
TEST(Claims, ConnectionsOfDeadDaemonsAreUsedByTheLastOne)
{
    gateway_world world({.daemons = 2, .shopEndpoints = 1});
    world.warmUp();
    auto limited = initialConfiguration();
    limited.version = 2;
    limited.services[1].maxConnections = 5; // Two connections for each of two daemons, four for a single one.
    world.publish(limited);
    world.runFor(3s);
    world.kill(1);
    world.runFor(3s);
    std::vector<const caller_response *> responses;
    responses.reserve(4);
    for (int i = 0; i < 4; ++i) {
        responses.push_back(&world.send(0, shopRequest("/pay/1", fmt::format("a{}", i))));
    }
    world.runFor(1s);
    EXPECT_EQ(statusCount(responses, 200), 4);
}

} // namespace jackdawpick::gateway::testing
