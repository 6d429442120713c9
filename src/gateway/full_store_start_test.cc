// A store that has no room for records when all daemons start.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

// The only turn of its program, with an input of `bytes` bytes.
caller_request longTurn(const std::string &name, std::size_t bytes)
{
    auto request = modelTurn("p" + name, "t" + name);
    request.body = std::string(bytes, 'x');
    return request;
}

} // namespace

// Guards against a store that is full when all daemons start and stays so, since only appends lead to deletions.
TEST(FullStoreStart, AStoreThatIsFullWhenAllDaemonsStartGetsRoom)
{
    constexpr int daemons = 3;
    constexpr std::size_t inputBytes = 17000;
    constexpr auto kept = 75s; // The retention, the age at which chains are written again, and a margin.
    gateway_world world({.daemons = daemons, .eventInterval = 2ms, .turnTopics = 4, .storeBytes = 400'000});
    world.warmUp();
    for (int i = 0; world.logLinesOf("store_full") == 0; ++i) {
        ASSERT_LT(i, 100);
        const auto name = fmt::format("{}", i);
        (void)world.sendAndWait(i % daemons, longTurn(name, inputBytes));
    }
    for (int i = 0; i < daemons; ++i) {
        world.kill(i);
    }
    for (int i = 0; i < daemons; ++i) {
        world.start(i);
    }
    world.warmUp();
    bool answered = false;
    const auto until =
        world.now() + kept + 30s + 15s; // All partitions are considered, and deleted by the first in rank.
    for (int i = 0; world.now() < until && !answered; ++i) {
        const auto name = fmt::format("late-{}", i);
        const auto &response = world.sendAndWait(i % daemons, longTurn(name, inputBytes));
        answered = response.status == 200 && response.complete;
        world.runFor(4s);
    }
    EXPECT_TRUE(answered);
}

} // namespace jackdawpick::gateway::testing
