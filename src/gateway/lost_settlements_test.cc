// Programs whose turns or refusals were not settled before the processes that knew of them died.
//
// A turn reserves 60 tokens and uses 30.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

class lost_settlements : public ::testing::TestWithParam<int>
{
protected:
    lost_settlements()
    {
        world.warmUp();
    }

    void startAll()
    {
        for (int i = 0; i < GetParam(); ++i) {
            if (!world.isRunning(i)) {
                world.start(i);
            }
        }
        world.warmUp();
    }

    void killAll()
    {
        for (int i = 0; i < GetParam(); ++i) {
            world.kill(i);
        }
    }

    // Runs until the response ends, so that its settlement, which waits to be written with others, is lost in a crash.
    void runUntilEnd(const caller_response &response)
    {
        while (!response.ended()) {
            world.runFor(1ms);
        }
    }

    void setEndpoints(endpoint_behaviour behaviour)
    {
        for (int i = 0; i < engineEndpoints; ++i) {
            world.endpointBehaviours[fmt::format("engine-{}", i)] = behaviour;
        }
    }

    void setStoreUnavailable(bool unavailable)
    {
        for (int i = 0; i < GetParam(); ++i) {
            world.storeBehaviours[i].unavailable = unavailable;
        }
    }

    // The status of the response to the turn, after a second.
    std::uint16_t statusOf(int daemon, const caller_request &request)
    {
        return world.sendAndWait(daemon % GetParam(), request).status;
    }

    static constexpr int engineEndpoints = 2;
    static constexpr int turnTopics = 80;
    gateway_world world{{.daemons = GetParam(), .engineEndpoints = engineEndpoints, .turnTopics = turnTopics}};
};

} // namespace

// Guards against a 402 because of requests that were refused, and whose reservations no process released before the
// store went away and all daemons were killed.
TEST_P(lost_settlements, RefusedRequestsLeaveNothingReserved)
{
    constexpr int programs = 20;
    setEndpoints(endpoint_behaviour::Rejects);
    for (int i = 0; i < programs; ++i) {
        auto &refused = world.send(i % GetParam(), modelTurn(fmt::format("p{}", i), fmt::format("a{}", i), 100));
        runUntilEnd(refused);
        ASSERT_EQ(refused.status, 503);
    }
    world.runFor(100ms);
    setStoreUnavailable(true);
    world.runFor(3s);
    killAll();
    setStoreUnavailable(false);
    setEndpoints(endpoint_behaviour::Responds);
    startAll();
    for (int i = 0; i < programs; ++i) {
        EXPECT_EQ(statusOf(i, modelTurn(fmt::format("p{}", i), fmt::format("b{}", i), 100)), 200) << i;
    }
}

// Guards against a 402 because of the last turn of a sub-agent, which the parent's next turn does not continue.
TEST_P(lost_settlements, TheTurnOfASubAgentCountsWhatItUsed)
{
    runUntilEnd(world.send(0, modelTurn("p", "parent", 125)));
    world.runFor(1s);
    runUntilEnd(world.send(0, modelTurn("p", "child", 125)));
    killAll();
    startAll();
    EXPECT_EQ(statusOf(1, modelTurn("p", "next", 125, "parent")), 200); // 30 + 30 + 60 fit.
    world.runFor(1s);
    EXPECT_EQ(statusOf(1, modelTurn("p", "last", 125, "next")), 402); // 90 are spent.
}

// Guards against a 402 that stays because it was written, although what it rested on was settled afterwards.
TEST_P(lost_settlements, SiblingsThatGoOnFromALostTurnAreBothServed)
{
    runUntilEnd(world.send(0, modelTurn("p", "a", 155)));
    killAll();
    startAll();
    auto &first = world.send(0, modelTurn("p", "b", 155, "a"));
    auto &second = world.send(1 % GetParam(), modelTurn("p", "c", 155, "a"));
    world.runFor(1s);
    EXPECT_EQ(first.status, 200); // 30 + 60 + 60 fit.
    EXPECT_EQ(second.status, 200);
}

// Guards against a reservation that stays because the report of its release was on a link that closed.
TEST_P(lost_settlements, AReleaseOnAClosingLinkIsNotLost)
{
    setEndpoints(endpoint_behaviour::Rejects);
    runUntilEnd(world.send(0, modelTurn("p", "a", 100)));
    for (int i = 1; i < GetParam(); ++i) {
        world.kill(i);
    }
    setEndpoints(endpoint_behaviour::Responds);
    startAll();
    EXPECT_EQ(statusOf(0, modelTurn("p", "b", 100)), 200);
}

// Guards against a denial, which ends a program for good, while it is not known what its turns have used.
TEST_P(lost_settlements, WhatCannotBeLookedUpIsNotDenied)
{
    runUntilEnd(world.send(0, modelTurn("p", "a", 100)));
    killAll();
    startAll();
    for (int topic = 0; topic < turnTopics; ++topic) {
        world.unavailableTopics.insert(fmt::format("turns-{}", topic));
    }
    const auto &response = world.sendAndWait(1 % GetParam(), modelTurn("p", "b", 100));
    EXPECT_EQ(response.refusal, result_code::BudgetUnavailable);
    world.unavailableTopics.clear();
    world.runFor(2s);
    EXPECT_EQ(statusOf(1, modelTurn("p", "c", 100)), 200); // 30 + 60 fit.
}

// Guards against turns that are forgotten with their settlements: what broke off counts whole.
TEST_P(lost_settlements, ABrokenTurnCountsWhole)
{
    const auto &broken = world.send(0, modelTurn("p", "a", 110));
    while (broken.body.empty()) {
        world.runFor(1ms);
    }
    killAll();
    startAll();
    EXPECT_EQ(statusOf(1, modelTurn("p", "b", 110)), 402);
    EXPECT_NE(world.lastLogLineOf("budget_decided").find("unsettled=a:60:"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Sizes, lost_settlements, ::testing::Values(1, 3, 9, 80));

} // namespace jackdawpick::gateway::testing
