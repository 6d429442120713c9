// Histories that are written again in several records while the store fails.

#include "gateway/testing/turn_chains.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr int turns = 8;
constexpr std::size_t inputBytes = 30000; // The history of all turns takes two records.
constexpr std::size_t records = 3; // Of the turn after them: its history and the turn.
constexpr auto retention = 60s; // Of the route.
constexpr auto turnWriteTimeout = 1800ms;
constexpr auto restartTime = 5s; // At most, until the daemons are ready.

world_options oneDaemon()
{
    return {.daemons = 1, .eventInterval = 2ms};
}

// Runs the turns "t0" to "t7" and returns their history, after this time.
std::string runChainAndWait(gateway_world &world, std::chrono::milliseconds time)
{
    world.warmUp();
    auto history = runChain(world, turns, inputBytes, 1);
    world.runFor(time);
    return history;
}

// Its records lie in three topics, which the chain does not use and their fallback partitions do not lie in.
caller_request nextTurn()
{
    return longTurn("p", "v8", "t7", inputBytes);
}

// The topics to which nextTurn() is written, observed in a world without faults.
std::set<std::string> topicsOfNextTurn(std::chrono::milliseconds age)
{
    gateway_world world(oneDaemon());
    runChainAndWait(world, age);
    const auto before = world.topics();
    EXPECT_TRUE(world.sendAndWait(0, nextTurn()).complete);
    const auto after = world.topics();
    std::set<std::string> added;
    std::ranges::set_difference(after, before, std::inserter(added, added.end()));
    EXPECT_EQ(added.size(), records);
    return added;
}

// Continues nextTurn() near the end of its retention, at a daemon that knows it from the store alone.
void expectKept(gateway_world &world, const std::string &history)
{
    world.runFor(retention - restartTime);
    restartAll(world, 1);
    const auto last = longTurn("q", "last", "v8", 1000);
    const auto &response = world.sendAndWait(0, last);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(world.runsOf("last"), 1);
    EXPECT_TRUE(world.runs.back().body == history + nextTurn().body + eventTextOf("v8") + last.body);
}

} // namespace

// Guards against a turn that is answered and later lost because the primary partitions of its history are silent: the
// turn then depended on old records, which are deleted before its retention ends.
TEST(SegmentWrites, GoToTheirFallbackPartitions)
{
    constexpr auto age = 40s;
    gateway_world world(oneDaemon());
    const auto history = runChainAndWait(world, age);
    world.unavailableTopics = topicsOfNextTurn(age);
    const auto &response = world.send(0, nextTurn());
    world.runFor(turnWriteTimeout + 200ms);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(world.logLinesOf("segment_not_written"), 0);
    world.unavailableTopics.clear();
    expectKept(world, history);
}

} // namespace jackdawpick::gateway::testing
