// What daemons report while the store has no room for records: it refuses appends and serves reads.

#include "gateway/testing/gateway_world.h"

#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr int daemonCount = 2;

class full_store_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        world.warmUp();
    }

    void setFull(bool full)
    {
        for (int i = 0; i < daemonCount; ++i) {
            world.storeBehaviours[i].full = full;
        }
    }

    std::size_t unwrittenReservations()
    {
        std::size_t count = 0;
        for (int i = 0; i < daemonCount; ++i) {
            count += world.core(i).status(world.now()).unwrittenReservations;
        }
        return count;
    }

    std::chrono::milliseconds oldestUnwritten()
    {
        std::chrono::milliseconds oldest{0};
        for (int i = 0; i < daemonCount; ++i) {
            oldest = std::max(oldest, world.core(i).status(world.now()).oldestUnwritten);
        }
        return oldest;
    }

    gateway_world world{world_options{.daemons = daemonCount}};
};

} // namespace

// Guards against store_lost and store_regained several times a second at each daemon while the store is reachable but
// full (inc1 of klitvagt-serve-grown), and against a full store without any sign of it.
TEST_F(full_store_test, IsReportedAsFullAndNotAsLost)
{
    setFull(true);
    for (int i = 0; i < 20; ++i) {
        (void)world.send(0, modelTurn("p" + std::to_string(i), "a" + std::to_string(i)));
        world.runFor(100ms);
    }
    EXPECT_EQ(world.logLinesOf("store_lost"), 0);
    EXPECT_GE(world.logLinesOf("store_full"), 1);
    EXPECT_LE(world.logLinesOf("store_full"), daemonCount);
    EXPECT_NE(world.lastLogLineOf("store_full").find("store_full call=append topic=programs-0 part="),
              std::string::npos);
    setFull(false);
    world.runFor(2s);
    for (int i = 0; i < 20; ++i) {
        (void)world.send(0, modelTurn("q" + std::to_string(i), "b" + std::to_string(i)));
        world.runFor(100ms);
    }
    EXPECT_EQ(world.logLinesOf("store_has_room"), world.logLinesOf("store_full"));
    EXPECT_FALSE(world.core(0).status(world.now()).storeFull);
    EXPECT_FALSE(world.core(1).status(world.now()).storeFull);
}

// Guards against reservations that wait for an append and are visible nowhere (inc1 of klitvagt-serve-grown).
TEST_F(full_store_test, WaitingReservationsAreCounted)
{
    EXPECT_EQ(unwrittenReservations(), 0U);
    setFull(true);
    (void)world.send(0, modelTurn("p", "a"));
    world.runFor(150ms);
    EXPECT_EQ(unwrittenReservations(), 1U);
    EXPECT_GT(oldestUnwritten(), 100ms);
    setFull(false);
    world.runFor(2s);
    EXPECT_EQ(unwrittenReservations(), 0U);
    EXPECT_EQ(oldestUnwritten(), 0ms);
}

// Guards against a decision whose log line does not tell written reservations from unwritten ones (inc1 of
// klitvagt-serve-grown).
TEST_F(full_store_test, RefusedReservationIsLoggedAsUnwritten)
{
    setFull(true);
    (void)world.send(0, modelTurn("p", "a"));
    world.runFor(3s);
    const auto line = world.lastLogLineOf("budget_decided");
    EXPECT_NE(line.find("answer=unavailable"), std::string::npos) << line;
    EXPECT_NE(line.find("reserved_written=0 reserved_unwritten="), std::string::npos) << line;
    EXPECT_NE(line.find("view_age_ms="), std::string::npos) << line;
}

// Guards against records that are counted under the wrong kind after their topics were renamed.
TEST_F(full_store_test, TopicsHaveTheKindOfTheirRecords)
{
    (void)world.sendAndWait(0, modelTurn("p", "a"));
    world.runFor(1s);
    std::set<std::string> kinds;
    for (const auto &topic : world.topics()) {
        kinds.emplace(recordKindOf({topic, 0}));
    }
    EXPECT_EQ(kinds, (std::set<std::string>{"budgets", "other", "turns"}));
}

} // namespace jackdawpick::gateway::testing
