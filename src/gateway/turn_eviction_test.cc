// Turns whose locations were evicted for lack of room.

#include "gateway/testing/turn_chains.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

namespace
{

// Runs turns that begin conversations.
void runTurns(gateway_world &world, const std::string &prefix, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto attempt = fmt::format("{}{}", prefix, i);
        ASSERT_EQ(world.sendAndWait(0, longTurn(prefix, attempt, "", 500)).status, 200) << attempt;
    }
}

} // namespace

// Guards against a turn that its daemon answers with 404 because its location has been evicted: the partition was read
// before, so nothing in it is delivered again.
TEST(TurnEviction, EvictedTurnIsFoundAgain)
{
    gateway_world world({.daemons = 1, .eventInterval = 2ms, .turnCacheBytes = 4000, .turnChainBytes = 6000});
    world.warmUp();
    const auto history = runChain(world, 3, 500, 1);
    // The daemon reads the partitions of the chain before it forgets them.
    ASSERT_EQ(world.sendAndWait(0, longTurn("p", "unknown", "none", 500)).status, 404);
    restartAll(world, 1);
    for (int turn = 0; turn < 3; ++turn) {
        const auto attempt = fmt::format("from-{}", turn);
        ASSERT_EQ(world.sendAndWait(0, longTurn("q", attempt, fmt::format("t{}", turn), 500)).status, 200);
    }
    runTurns(world, "other-", 30);
    for (int turn = 0; turn < 3; ++turn) {
        const auto attempt = fmt::format("again-{}", turn);
        ASSERT_EQ(world.sendAndWait(0, longTurn("q", attempt, fmt::format("t{}", turn), 500)).status, 200) << turn;
        const auto &body = world.runs.back().body;
        EXPECT_EQ(body.substr(0, body.size() - 500), history.substr(0, body.size() - 500)) << turn;
    }
}

// Guards against a turn that counts as unknown because its partition holds more turns than there is room for: what is
// not certain is no 404.
TEST(TurnEviction, TurnThatMayHaveBeenForgottenIsNotUnknown)
{
    gateway_world world({.daemons = 1,
                         .eventInterval = 2ms,
                         .parts = 1,
                         .turnTopics = 1,
                         .turnCacheBytes = 4000,
                         .turnChainBytes = 6000});
    world.warmUp();
    runTurns(world, "turn-", 40);
    restartAll(world, 1);
    const auto &response = world.sendAndWait(0, longTurn("q", "next", "turn-0", 500));
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(world.runsOf("next"), 0);
    const auto &latest = world.sendAndWait(0, longTurn("q", "last", "turn-39", 500));
    EXPECT_EQ(latest.status, 200);
}

} // namespace jackdawpick::gateway::testing
