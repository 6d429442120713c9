// What a daemon holds after hours.

#include "gateway/testing/turn_chains.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t textBytes = 20000;
constexpr std::size_t chainBytes = 60000;

// Runs programs of four turns, one turn each second.
void runPrograms(gateway_world &world, std::chrono::seconds time, const std::string &prefix)
{
    constexpr int turnsOfProgram = 4;
    std::string previous;
    for (int i = 0; i < time.count(); ++i) {
        const auto program = fmt::format("{}-program-{}", prefix, i / turnsOfProgram);
        const auto attempt = fmt::format("{}-{}", prefix, i);
        const auto &response =
            world.sendAndWait(0, longTurn(program, attempt, i % turnsOfProgram == 0 ? "" : previous, 2000));
        ASSERT_EQ(response.status, 200) << attempt;
        previous = attempt;
    }
}

std::map<std::string_view, held_state> heldBy(gateway_world &world)
{
    std::map<std::string_view, held_state> parts;
    for (const auto &part : world.core(0).status(world.now()).held) {
        parts.emplace(part.name, part);
    }
    return parts;
}

} // namespace

// Guards against state that grows with the hours: a daemon of a small host is killed once it fills the memory.
TEST(HeldState, StaysTheSameForHours)
{
    gateway_world world(
        {.daemons = 1, .eventInterval = 2ms, .turnCacheBytes = textBytes, .turnChainBytes = chainBytes});
    world.warmUp();
    runPrograms(world, 20min, "a");
    const auto early = heldBy(world);
    runPrograms(world, 60min, "b");
    for (const auto &[name, part] : heldBy(world)) {
        EXPECT_LE(part.entries, early.at(name).entries * 11 / 10 + 2) << name;
    }
    const auto late = heldBy(world);
    EXPECT_LE(late.at("turn_chains").bytes, chainBytes);
    EXPECT_LE(late.at("turn_texts").bytes, textBytes);
    EXPECT_GT(late.at("turn_texts").entries, 3U);
    EXPECT_GT(late.at("turn_chains").entries, 50U);
}

} // namespace jackdawpick::gateway::testing
