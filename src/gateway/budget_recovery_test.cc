#include "gateway/testing/gateway_world.h"

#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr int daemons = 3;

void restartAll(gateway_world &world)
{
    for (int i = 0; i < daemons; ++i) {
        world.kill(i);
    }
    for (int i = 0; i < daemons; ++i) {
        world.start(i);
    }
    world.warmUp();
}

// Runs until the response ends, so that its settlement, which waits to be written with others, is lost in a crash.
void runUntilEnd(gateway_world &world, const caller_response &response)
{
    while (!response.ended()) {
        world.runFor(1ms);
    }
}

} // namespace

// Guards against a 402 because of a turn that was answered just before all daemons crashed: its settlement was lost,
// and its whole reservation counted. A turn uses 30 of the 60 tokens that it reserves.
TEST(BudgetRecovery, SettlementLostInACrashIsRestoredFromTheTurn)
{
    gateway_world world({.daemons = daemons});
    world.warmUp();
    auto &first = world.send(0, modelTurn("p", "a", 100));
    runUntilEnd(world, first);
    restartAll(world);
    auto &second = world.send(1, modelTurn("p", "b", 100, "a"));
    world.runFor(1s);
    EXPECT_EQ(second.status, 200); // 30 + 60 fit.
    EXPECT_TRUE(second.complete);
    auto &third = world.send(2, modelTurn("p", "c", 100, "b"));
    world.runFor(1s);
    EXPECT_EQ(third.status, 402); // 60 are spent.
}

// Guards against a lost settlement that only counts once the budget is nearly spent.
TEST(BudgetRecovery, EachTurnSettlesTheOneBefore)
{
    gateway_world world({.daemons = daemons});
    world.warmUp();
    std::string previous;
    for (const std::string attempt : {"a", "b", "c"}) {
        auto &response = world.send(0, modelTurn("p", attempt, 160, previous));
        runUntilEnd(world, response);
        ASSERT_TRUE(response.complete) << attempt;
        restartAll(world);
        previous = attempt;
    }
    auto &last = world.send(1, modelTurn("p", "d", 160, previous)); // 90 + 60 fit.
    world.runFor(1s);
    EXPECT_EQ(last.status, 200);
}

// Guards against forgetting tokens of a response that broke off: without a turn, the whole reservation counts.
TEST(BudgetRecovery, BrokenResponseCountsWhole)
{
    gateway_world world({.daemons = daemons});
    world.warmUp();
    auto &first = world.send(0, modelTurn("p", "a", 150));
    runUntilEnd(world, first);
    world.runFor(1s);
    auto &broken = world.send(0, modelTurn("p", "b", 150, "a"));
    while (broken.body.empty()) {
        world.runFor(1ms);
    }
    restartAll(world);
    auto &next = world.send(1, modelTurn("p", "c", 150, "a"));
    world.runFor(1s);
    EXPECT_EQ(next.status, 200); // 30 + 60 + 60 fit.
    auto &last = world.send(1, modelTurn("p", "d", 150, "c"));
    world.runFor(1s);
    EXPECT_EQ(last.status, 402); // 30 + 60 + 30 are counted.
}

// Guards against charging a program for the turns of another one that it continues.
TEST(BudgetRecovery, TurnOfAnotherProgramIsNotCharged)
{
    gateway_world world({.daemons = daemons});
    world.warmUp();
    auto &first = world.send(0, modelTurn("p", "a", 100));
    runUntilEnd(world, first);
    restartAll(world);
    auto &second = world.send(1, modelTurn("q", "b", 100, "a"));
    world.runFor(1s);
    EXPECT_EQ(second.status, 200);
    auto &third = world.send(2, modelTurn("q", "c", 100, "b"));
    world.runFor(1s);
    EXPECT_EQ(third.status, 200); // 30 + 60 fit.
}

} // namespace jackdawpick::gateway::testing
