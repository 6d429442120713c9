// The histories of chains of turns: what is written, read back and deleted.

#include "gateway/testing/turn_chains.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

// Guards against records that hold the text of the whole chain: at 350 turns a second the store was full in 38 s.
TEST(Turns, BytesWrittenGrowLinearlyWithTheChain)
{
    constexpr std::size_t inputBytes = 4000;
    constexpr std::size_t overheadBytes = 600; // Output, ids, and locations of 23 ancestors of 16 bytes.
    for (const int turns : {6, 12, 24}) {
        gateway_world world({.daemons = 2, .eventInterval = 2ms});
        world.warmUp();
        const auto history = runChain(world, turns, inputBytes, 2);
        EXPECT_LE(world.appendedBytes, static_cast<std::size_t>(turns) * (inputBytes + overheadBytes)) << turns;
        ASSERT_EQ(world.sendAndWait(0, longTurn("p", "last", fmt::format("t{}", turns - 1), inputBytes)).status, 200);
        EXPECT_EQ(world.runs.back().body.substr(0, history.size()), history);
    }
}

// Guards against chains that end because their text exceeds the largest record of the store.
TEST(Turns, ChainMayExceedTheLargestRecord)
{
    constexpr std::size_t inputBytes = 30000;
    constexpr int turns = 12;
    static_assert(turns * inputBytes > gateway_world::maxRecordBytes);
    gateway_world world({.daemons = 2, .eventInterval = 2ms});
    world.warmUp();
    const auto history = runChain(world, turns, inputBytes, 2);
    restartAll(world, 2);
    const auto next = longTurn("q", "next", fmt::format("t{}", turns - 1), inputBytes);
    EXPECT_EQ(world.sendAndWait(1, next).status, 200);
    EXPECT_EQ(world.runs.back().body, history + next.body);
}

// Guards against reading the records of a chain one after the other, or more of the partitions than these records.
TEST(Turns, ChainIsReadInParallel)
{
    constexpr int turns = 11;
    constexpr std::size_t inputBytes = 4000;
    constexpr auto storeDelay = 60ms;
    gateway_world world({.daemons = 1, .eventInterval = 2ms});
    world.warmUp();
    const auto history = runChain(world, turns, inputBytes, 1);
    world.storeBehaviours[0].delay = storeDelay;
    restartAll(world, 1);
    const auto before = world.readBytes;
    const auto began = world.now();
    ASSERT_EQ(world.sendAndWait(0, longTurn("q", "next", fmt::format("t{}", turns - 1), inputBytes)).status, 200);
    // Two calls for the budget, one read of the partition and one of all records at once.
    EXPECT_LE(world.runs.back().at - began, 4 * storeDelay + 20ms);
    EXPECT_EQ(world.runs.back().body.substr(0, history.size()), history);
    EXPECT_LE(world.readBytes - before, 2 * history.size());
}

// Guards against a wrong prompt, or a 404 for a turn that exists, if a record of its chain is missing or is not what it
// is expected to be.
TEST(Turns, IncompleteChainIsUnavailable)
{
    for (const bool replaced : {false, true}) {
        gateway_world world({.daemons = 1, .eventInterval = 2ms, .parts = 1, .turnTopics = 1});
        world.warmUp();
        runChain(world, 3, 1000, 1);
        if (replaced) {
            world.replaceRecord({"turns-0", 0}, 1, 0);
        } else {
            world.deleteRecordsBefore({"turns-0", 0}, 1);
        }
        restartAll(world, 1);
        const auto &response = world.sendAndWait(0, longTurn("q", "next", "t2", 1000));
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(response.refusal, result_code::HistoryUnavailable);
        EXPECT_EQ(world.runsOf("next"), 0);
    }
}

// Guards against a turn that is refused because the store counts the size of a reply differently and cuts a record off.
TEST(Turns, RecordsThatAreCutOffAreReadWhole)
{
    gateway_world world({.daemons = 1, .eventInterval = 2ms});
    world.warmUp();
    const auto history = runChain(world, 4, 20000, 1);
    restartAll(world, 1);
    world.readOverheadBytes = 5000;
    EXPECT_EQ(world.sendAndWait(0, longTurn("q", "next", "t3", 1000)).status, 200);
    EXPECT_EQ(world.runs.back().body.substr(0, history.size()), history);
}

// Guards against a turn that is refused because one of the reads of its chain got no reply.
TEST(Turns, LostReadsOfAChainAreRepeated)
{
    constexpr int turns = 8;
    int served = 0;
    constexpr int rounds = 10;
    for (unsigned seed = 1; seed <= rounds; ++seed) {
        gateway_world world({.daemons = 1, .seed = seed, .eventInterval = 2ms});
        world.warmUp();
        runChain(world, turns, 1000, 1);
        restartAll(world, 1);
        EXPECT_TRUE(world.sendAndWait(0, modelTurn("q", "first")).complete); // Reads the budgets of the partition.
        world.storeBehaviours[0].replyLossRate = 0.2;
        const auto &response = world.send(0, longTurn("q", "next", fmt::format("t{}", turns - 1), 1000));
        world.runFor(3s);
        served += response.status == 200 ? 1 : 0;
        EXPECT_NE(response.status, 404);
    }
    EXPECT_GE(served, rounds - 1);
}

// Guards against a chain whose first turns are deleted while a later one is retained: a turn is kept with its chain.
TEST(Turns, LongChainStaysReadableWhenItsFirstTurnsAreDeleted)
{
    for (const std::size_t inputBytes : {500U, 30000U}) { // The second chain needs several records for its history.
        constexpr int turns = 14;
        gateway_world world({.daemons = 2, .eventInterval = 2ms, .parts = 1, .turnTopics = 1});
        world.warmUp();
        std::string history;
        std::vector<std::size_t> ends; // Of the partition, after each turn.
        for (int i = 0; i < turns; ++i) {
            const auto request =
                longTurn("p", fmt::format("t{}", i), i == 0 ? "" : fmt::format("t{}", i - 1), inputBytes);
            ASSERT_TRUE(world.sendAndWait(i % 2, request).complete) << i;
            history += request.body + eventTextOf(request.attempt);
            ends.push_back(world.recordCount("turns"));
            world.runFor(4s);
        }
        // What was written more than a sixth of the retention before the last turn.
        world.deleteRecordsBefore({"turns-0", 0}, ends.at(turns - 4));
        restartAll(world, 2);
        const auto next = longTurn("q", "next", fmt::format("t{}", turns - 1), inputBytes);
        EXPECT_EQ(world.sendAndWait(0, next).status, 200);
        EXPECT_EQ(world.runs.back().body, history + next.body);
        EXPECT_LT(world.appendedBytes, 6 * history.size());
    }
}

// Guards against a turn that is lost because the history before it could not be written again for a while: the response
// waits, and the turn can be continued until its retention has passed.
TEST(Turns, HistoryThatCouldNotBeWrittenAtOnceIsKept)
{
    constexpr auto retention = 60s;
    gateway_world world({.daemons = 1, .eventInterval = 2ms});
    world.warmUp();
    const auto history = runChain(world, 8, 30000, 1);
    world.runFor(20s);
    for (int i = 0; i < 80; ++i) {
        world.unavailableTopics.insert(fmt::format("turns-{}", i));
    }
    const auto request = longTurn("p", "t8", "t7", 30000);
    const auto &response = world.send(0, request);
    world.runFor(1100ms);
    EXPECT_FALSE(response.ended());
    world.unavailableTopics.clear();
    world.runFor(2s);
    EXPECT_TRUE(response.complete);
    world.runFor(retention - 6s);
    restartAll(world, 1);
    const auto next = longTurn("q", "next", "t8", 1000);
    EXPECT_EQ(world.sendAndWait(0, next).status, 200);
    EXPECT_TRUE(world.runs.back().body == history + request.body + eventTextOf("t8") + next.body);
}

// Guards against a store that fills up under sustained load, whatever the number of daemons, and also while they
// restart one after the other: at 350 turns a second the 400 MB of the platform were full in 38 s. Here the store has a
// hundredth of that.
TEST(Turns, SustainedLoadDoesNotFillTheStore)
{
    constexpr std::size_t storeBytes = 4'000'000;
    constexpr std::size_t inputBytes = 8000;
    constexpr std::size_t overheadBytes = 400;
    constexpr int turnsPerProgram = 5;
    constexpr int turns = 1200;
    constexpr int turnsPerRestart = 40;
    constexpr auto turnInterval = 250ms;
    // The retention, a sixth of it and 5 s; 10 s in which marks are merged, and 2 s for checks and calls.
    constexpr auto longestKeep = 60s + 10s + 5s + 10s + 2s;
    constexpr auto maxTurnBytes = (inputBytes + overheadBytes) * (longestKeep / turnInterval);
    static_assert(maxTurnBytes < storeBytes);
    struct load
    {
        int daemons;
        bool restarts; // Each daemon every 80 s, which is about as long as records are kept.
    };
    for (const auto &[daemons, restarts] : {load{1, false}, load{8, false}, load{8, true}}) {
        gateway_world world({.daemons = daemons, .eventInterval = 2ms, .turnTopics = 4, .storeBytes = storeBytes});
        world.warmUp();
        std::vector<caller_response *> responses;
        std::size_t mostStored = 0;
        for (int i = 0; i < turns; ++i) {
            const int restarted = i / turnsPerRestart % daemons;
            if (restarts && i % turnsPerRestart == 0) {
                world.runFor(1s); // The end of the turns under way.
                world.kill(restarted);
                world.start(restarted);
            }
            const auto program = i / turnsPerProgram;
            const auto previous = i % turnsPerProgram == 0 ? std::string() : fmt::format("t{}", i - 1);
            const int daemon = restarts ? (restarted + 1 + i % (daemons - 1)) % daemons : i % daemons;
            responses.push_back(&world.send(
                daemon, longTurn(fmt::format("p{}", program), fmt::format("t{}", i), previous, inputBytes)));
            world.runFor(turnInterval);
            mostStored = std::max(mostStored, world.storedBytes("turns"));
        }
        world.runFor(2s);
        const auto served = std::ranges::count(
            responses, true, [](const auto *response) { return response->complete && response->status == 200; });
        EXPECT_EQ(served, turns) << daemons << " daemons, restarts " << restarts;
        EXPECT_LE(mostStored, maxTurnBytes) << daemons << " daemons, restarts " << restarts;
        // Deletions are merged: at most one in 10 s for each of the 48 partitions, some twice around restarts.
        EXPECT_LE(world.storeCallCounts["trim"], (restarts ? 2 : 1) * 48 * (world.now() - time_point(1h)) / 10s)
            << daemons << " daemons, restarts " << restarts;
    }
}

// Guards against records that nobody deletes after all daemons have crashed at once.
TEST(Turns, OldOnesAreDeletedAfterACrashOfAllDaemons)
{
    gateway_world world({.daemons = 3, .eventInterval = 2ms, .parts = 1, .turnTopics = 4});
    world.warmUp();
    runChain(world, 40, 1000, 3);
    restartAll(world, 3);
    for (int i = 0; i < 120; ++i) { // 120 s.
        ASSERT_EQ(world.sendAndWait(i % 3, modelTurn("q", fmt::format("u{}", i), 1000000)).status, 200);
    }
    EXPECT_LE(world.recordCount("turns"), 88U); // Those of 87 s.
}

// Guards against a retention that is a constant: turns of a route with a longer one would be deleted too early.
TEST(Turns, AreKeptForTheLongestRetentionOfTheRoutes)
{
    gateway_world world({.daemons = 2, .eventInterval = 2ms, .parts = 1, .turnTopics = 1});
    auto configuration = initialConfiguration();
    configuration.version = 2;
    configuration.routes.front().retention = 150s;
    world.publish(configuration);
    world.warmUp();
    ASSERT_TRUE(world.sendAndWait(0, modelTurn("p", "a")).complete);
    for (int i = 0; i < 48; ++i) {
        ASSERT_TRUE(world.sendAndWait(i % 2, modelTurn("q", fmt::format("u{}", i), 1000000)).complete);
        world.runFor(2s);
    }
    world.kill(0);
    world.start(0);
    world.warmUp();
    ASSERT_EQ(world.sendAndWait(0, modelTurn("p", "b", 1000, "a")).status, 200); // 148 s after a.
    EXPECT_EQ(world.recordCount("turns"), 50U);
    world.runFor(200s);
    EXPECT_EQ(world.recordCount("turns"), 0U); // All are older than 150 s, a sixth of it, 5 s, and the 10 s of merging.
}

} // namespace jackdawpick::gateway::testing
