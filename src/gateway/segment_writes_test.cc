// Histories and inputs that are written in several records, while the store fails: a turn that is answered whole can be
// continued until its retention has passed.

#include "gateway/testing/kept_turns.h"
#include "gateway/testing/turn_chains.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <set>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr int turns = 8;
constexpr std::size_t inputBytes = 30000; // The history of all turns takes two records.
constexpr int turnTopics = 80;
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

// The number of the topic of the record of nextTurn() itself.
int topicOfNextTurn(std::chrono::milliseconds age)
{
    gateway_world world(oneDaemon());
    runChainAndWait(world, age);
    EXPECT_TRUE(world.sendAndWait(0, nextTurn()).complete);
    std::vector<programs::turn_location> ancestors;
    const auto place = world.findTurn("v8", ancestors);
    EXPECT_TRUE(place.has_value());
    return place.has_value() ? place->topic : -1;
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

// Guards against a turn that is answered whole and cannot be continued 27 s later: the store refused everything for
// 1.2 s while the turn was written, and the turn then rested on records that were deleted before its retention ended.
TEST(SegmentWrites, OutlastAnOutageOfTheStore)
{
    constexpr auto age = 55s;
    constexpr auto outage = 1200ms;
    gateway_world world(oneDaemon());
    kept_turns kept(world, retention);
    const auto history = runChainAndWait(world, age);
    world.refusedTopicPrefix = "turns";
    const auto &response = world.send(0, nextTurn());
    world.runFor(outage);
    EXPECT_FALSE(response.ended());
    world.refusedTopicPrefix.reset();
    world.runFor(turnWriteTimeout);
    ASSERT_TRUE(response.complete);
    kept.noteEnd("v8", response);
    expectKept(world, history);
    EXPECT_EQ(kept.violations(), std::vector<std::string>());
}

// Guards against a turn that looks whole although its history could not be written again in time: nobody can continue
// it later.
TEST(SegmentWrites, TurnThatCannotBeKeptIsBrokenOff)
{
    constexpr auto age = 55s;
    gateway_world world(oneDaemon());
    runChainAndWait(world, age);
    world.refusedTopicPrefix = "turns";
    const auto &response = world.send(0, nextTurn());
    world.runFor(3s);
    EXPECT_EQ(world.runsOf("v8"), 1);
    EXPECT_TRUE(response.aborted);
    EXPECT_EQ(world.logLinesOf("segment_not_written"), 1);
    EXPECT_NE(world.lastLogLineOf("segment_not_written").find("oldest_record_life_ms"), std::string::npos);
    EXPECT_EQ(world.logLinesOf("turn_not_kept"), 1);
}

// Guards against responses that are broken off in an outage although their turns could rest on the records of their
// chains for the whole retention.
TEST(SegmentWrites, YoungChainsSurviveAnOutage)
{
    gateway_world world(oneDaemon());
    kept_turns kept(world, retention);
    const auto history = runChainAndWait(world, 10s); // Reaches back a little too far.
    const int topic = topicOfNextTurn(10s);
    for (int i = 0; i < turnTopics; ++i) {
        if (i != topic) {
            world.unavailableTopics.insert(fmt::format("turns-{}", i));
        }
    }
    const auto &response = world.send(0, nextTurn());
    world.runFor(1500ms);
    EXPECT_FALSE(response.ended());
    world.runFor(500ms);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(world.logLinesOf("segment_not_written"), 1);
    world.unavailableTopics.clear();
    kept.noteEnd("v8", response);
    expectKept(world, history);
    EXPECT_EQ(kept.violations(), std::vector<std::string>());
}

// Guards against a turn that is run although its own input exceeds the largest record of the store, so that its
// response is broken off at its end.
TEST(SegmentWrites, InputMayExceedTheLargestRecord)
{
    constexpr std::size_t longInputBytes = 600000;
    static_assert(longInputBytes > gateway_world::maxRecordBytes);
    for (const bool continuesChain : {false, true}) {
        gateway_world world(oneDaemon());
        kept_turns kept(world, retention);
        world.warmUp();
        const auto history = continuesChain ? runChain(world, 3, inputBytes, 1) : std::string();
        const auto turn = longTurn("p", "long", continuesChain ? "t2" : "", longInputBytes);
        const auto &response = world.sendAndWait(0, turn);
        ASSERT_TRUE(response.complete);
        kept.noteEnd("long", response);
        world.runFor(retention - restartTime);
        restartAll(world, 1);
        const auto last = longTurn("q", "last", "long", 1000);
        EXPECT_EQ(world.sendAndWait(0, last).status, 200);
        ASSERT_EQ(world.runsOf("last"), 1);
        EXPECT_TRUE(world.runs.back().body == history + turn.body + eventTextOf("long") + last.body);
        EXPECT_EQ(kept.violations(), std::vector<std::string>());
    }
}

// Guards against a whole response of a daemon that stood still between the write of the turn and its end: the records
// of the turn were written so long ago that they are deleted before its retention ends.
TEST(SegmentWrites, DaemonThatStoodStillBreaksOffTheTurn)
{
    gateway_world world({.daemons = 2, .eventInterval = 2ms});
    world.warmUp();
    world.storeBehaviours[0].delay = 60ms;
    const auto &response = world.send(0, modelTurn("p", "a"));
    while (world.recordCount("turns") == 0) {
        world.runFor(1ms);
    }
    ASSERT_FALSE(response.ended());
    world.freeze(0);
    world.runFor(20s);
    world.thaw(0);
    world.runFor(100ms);
    EXPECT_TRUE(response.aborted);
    EXPECT_EQ(world.logLinesOf("turn_not_kept"), 1);
}

namespace
{

// One seed of random chains under random faults; prints nothing.
class random_chain
{
public:
    explicit random_chain(unsigned seed)
        : m_random(seed)
        , m_daemons(pick(1, 3))
        , m_world({.daemons = m_daemons, .seed = seed, .eventInterval = milliseconds(pick(1, 300)), .turnTopics = 8})
        , m_kept(m_world, retention)
    {
    }

    std::vector<std::string> run()
    {
        m_world.warmUp();
        std::string previous;
        for (int i = 0; i < turnsPerSeed; ++i) {
            m_world.runFor(milliseconds(pick(0, 1) == 0 ? pick(0, 3000) : pick(0, 50000)));
            previous = runTurn(fmt::format("t{}", i), previous);
        }
        m_world.runFor(2 * retention);
        return m_kept.violations();
    }

    [[nodiscard]] int whole() const
    {
        return m_whole;
    }

private:
    using milliseconds = std::chrono::milliseconds;
    static constexpr int turnsPerSeed = 10;

    int pick(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(m_random);
    }

    // Returns the turn that the next one continues.
    std::string runTurn(const std::string &attempt, const std::string &previous)
    {
        constexpr std::array<std::size_t, 5> sizes{100, 5000, 60000, 90000, 300000};
        const int daemon = pick(0, m_daemons - 1);
        const auto request =
            longTurn("p", attempt, previous, sizes.at(static_cast<std::size_t>(pick(0, sizes.size() - 1))));
        const auto &response = m_world.send(daemon, request);
        m_world.runFor(milliseconds(pick(0, 1200)));
        const int fault = pick(0, 6);
        begin(fault, daemon);
        m_world.runFor(milliseconds(pick(0, 1) == 0 ? pick(50, 1500) : pick(500, 16000)));
        end(fault, daemon);
        m_world.runFor(milliseconds(4000));
        m_kept.noteEnd(attempt, response);
        const bool whole = response.complete && response.status == 200;
        m_whole += whole ? 1 : 0;
        return whole ? attempt : previous;
    }

    void begin(int fault, int daemon)
    {
        for (int i = 0; i < m_daemons; ++i) {
            auto &behaviour = m_world.storeBehaviours[i];
            behaviour.refuses = fault == 1;
            behaviour.unavailable = fault == 2;
            behaviour.replyLossRate = fault == 3 ? 0.6 : 0;
        }
        if (fault == 4) {
            for (int i = 0; i < 8; ++i) {
                if (pick(0, 3) != 0) {
                    m_world.unavailableTopics.insert(fmt::format("turns-{}", i));
                }
            }
        } else if (fault == 5) {
            m_world.freeze(daemon);
        } else if (fault == 6) {
            m_world.kill((daemon + 1) % m_daemons);
        }
    }

    void end(int fault, int daemon)
    {
        begin(0, daemon);
        m_world.unavailableTopics.clear();
        if (fault == 5) {
            m_world.thaw(daemon);
        } else if (fault == 6) {
            m_world.start((daemon + 1) % m_daemons);
        }
    }

    std::mt19937 m_random;
    int m_daemons;
    gateway_world m_world;
    kept_turns m_kept;
    int m_whole = 0;
};

} // namespace

// Guards against any order of ages, sizes, outages, silent partitions, pauses and deaths of daemons in which a record
// of a turn that was answered whole is deleted before its retention has passed.
TEST(SegmentWrites, WholeTurnsAreKeptUnderRandomFaults)
{
    constexpr unsigned seeds = 60;
    int whole = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        random_chain chain(seed);
        EXPECT_EQ(chain.run(), std::vector<std::string>()) << "seed " << seed;
        whole += chain.whole();
    }
    EXPECT_GE(whole, static_cast<int>(seeds) * 3); // Otherwise the faults leave nothing to check.
}

} // namespace jackdawpick::gateway::testing
