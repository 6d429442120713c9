// Crowds of turns whose texts would fill the memory of a small host.

#include "gateway/testing/turn_chains.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t longBytes = 1000000;
constexpr std::size_t maxTextBytes = 6000000;
constexpr int crowd = 40;

// A world in which a part of a crowd fits into the memory.
class crowded_world : public gateway_world
{
public:
    explicit crowded_world(int daemons = 1)
        : gateway_world({.daemons = daemons, .engineEndpoints = 8, .eventInterval = 50ms, .maxTextBytes = maxTextBytes})
    {
        warmUp();
    }

    // Runs and returns the most bytes that the daemon held meanwhile.
    std::size_t runAndMeasure(std::chrono::milliseconds time, int daemon = 0)
    {
        std::size_t most = 0;
        for (auto passed = 0ms; passed < time; passed += 1ms) {
            runFor(1ms);
            most = std::max(most, core(daemon).textBytes());
        }
        return most;
    }

    // Sends turns that continue `previous`, or begin conversations, within a few milliseconds.
    std::vector<const caller_response *> sendCrowd(const std::string &previous, std::size_t bytes, int daemon = 0)
    {
        std::vector<const caller_response *> responses;
        for (int i = 0; i < crowd; ++i) {
            const auto name = fmt::format("crowd-{}", i);
            responses.push_back(&send(daemon, longTurn("p-" + name, name, previous, bytes)));
        }
        return responses;
    }
};

// Each turn of a crowd was answered whole, or refused for lack of memory and not run. Returns how many were served.
int expectServedOrRefused(const gateway_world &world, const std::vector<const caller_response *> &responses)
{
    int served = 0;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        const auto name = fmt::format("crowd-{}", i);
        const bool isServed = responses[i]->complete && responses[i]->status == 200;
        served += isServed ? 1 : 0;
        EXPECT_EQ(world.runsOf(name), isServed ? 1 : 0) << name;
        if (!isServed) {
            EXPECT_EQ(responses[i]->refusal, result_code::MemoryFull) << name << " " << responses[i]->status;
            EXPECT_TRUE(responses[i]->retryAfter.has_value()) << name;
        }
    }
    return served;
}

} // namespace

// Guards against a crowd of small turns that continue a long one and hold a copy of it each: 40 of them filled a host.
TEST(TextMemory, TurnsThatContinueALongOneShareItsText)
{
    crowded_world world;
    const auto first = longTurn("p", "first", "", longBytes);
    ASSERT_EQ(world.sendAndWait(0, first).status, 200);
    const auto responses = world.sendCrowd("first", 20);
    EXPECT_LE(world.runAndMeasure(2000ms), 2 * longBytes);
    EXPECT_EQ(expectServedOrRefused(world, responses), crowd);
    EXPECT_EQ(world.runs.back().body.substr(0, longBytes), first.body);
}

// Guards against the same crowd once the records of the long turn are so old that each turn has to write its text
// again.
TEST(TextMemory, TurnsThatWriteALongHistoryAgainStayWithinTheMemory)
{
    crowded_world world;
    ASSERT_EQ(world.sendAndWait(0, longTurn("p", "first", "", longBytes)).status, 200);
    world.runFor(11s);
    const auto responses = world.sendCrowd("first", 20);
    const auto &payment = world.send(0, shopRequest("/pay/1", "payment"));
    EXPECT_LE(world.runAndMeasure(3000ms), maxTextBytes);
    const int served = expectServedOrRefused(world, responses);
    EXPECT_GE(served, 2);
    EXPECT_LT(served, crowd);
    EXPECT_EQ(payment.status, 200);
    // Who was refused is served afterwards, with its whole budget.
    EXPECT_EQ(world.sendAndWait(0, longTurn("p-crowd-39", "later", "first", 20)).status, 200);
}

// Guards against histories that are read for all of a crowd at once.
TEST(TextMemory, HistoriesThatAreReadStayWithinTheMemory)
{
    crowded_world world;
    ASSERT_EQ(world.sendAndWait(0, longTurn("p", "first", "", longBytes)).status, 200);
    restartAll(world, 1);
    const auto responses = world.sendCrowd("first", 20);
    EXPECT_LE(world.runAndMeasure(3000ms), maxTextBytes);
    const int served = expectServedOrRefused(world, responses);
    EXPECT_GE(served, 1);
}

// Guards against long turns that begin conversations all at once: what each will write counts when it is taken.
TEST(TextMemory, LongTurnsThatBeginConversationsStayWithinTheMemory)
{
    crowded_world world;
    const auto responses = world.sendCrowd("", longBytes);
    const auto &payment = world.send(0, shopRequest("/pay/1", "payment"));
    // All bodies are there at first; the connections that bring them have their own account.
    world.runFor(1ms);
    EXPECT_LE(world.runAndMeasure(3000ms), maxTextBytes);
    const int served = expectServedOrRefused(world, responses);
    EXPECT_GE(served, 1);
    EXPECT_LT(served, crowd);
    EXPECT_EQ(payment.status, 200);
}

// Guards against memory that is set aside and never given back: after the crowds the daemon takes what it took before.
TEST(TextMemory, IsFreeAgainAfterTheCrowd)
{
    crowded_world world;
    for (int round = 0; round < 3; ++round) {
        (void)world.sendCrowd("", longBytes);
        world.runFor(200ms);
        for (int i = 0; i < crowd; ++i) {
            world.disconnect(world.send(0, longTurn("left", fmt::format("left-{}-{}", round, i), "", 10000)));
        }
        world.runFor(3s);
    }
    for (int i = 0; i < 300; ++i) { // Evicts the texts of the crowd.
        ASSERT_EQ(world.sendAndWait(0, longTurn("q", fmt::format("q{}", i), "", 20000)).status, 200);
    }
    EXPECT_LE(world.core(0).textBytes(), 5U << 20U); // turnCacheBytes, and the slack of texts that fit into it.
}

// Guards against histories that fill the links between daemons: long ones are read from the store.
TEST(TextMemory, LongHistoriesAreNotAskedOfPeers)
{
    crowded_world world(2);
    const auto first = longTurn("p", "first", "", longBytes);
    ASSERT_EQ(world.sendAndWait(0, first).status, 200);
    const auto before = world.readBytes;
    EXPECT_EQ(world.sendAndWait(1, longTurn("p", "next", "first", 20)).status, 200);
    EXPECT_GE(world.readBytes - before, longBytes);
    EXPECT_EQ(world.runs.back().body.substr(0, longBytes), first.body);
}

} // namespace jackdawpick::gateway::testing
