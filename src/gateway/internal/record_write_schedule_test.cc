#include "gateway/internal/record_write_schedule.h"

#include <gtest/gtest.h>

namespace jackdawpick::gateway::internal
{

using namespace std::chrono_literals;

namespace
{

constexpr unsigned seed = 7;

class record_write_schedule_test : public ::testing::Test
{
protected:
    record_write_schedule_test()
    {
        RecordProperty("seed", static_cast<int>(seed));
    }

    // Advances the clock in small steps and returns how often the records were written.
    std::size_t writesWithin(std::chrono::milliseconds time)
    {
        std::size_t writes = 0;
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            clock.advance(step);
            writes += schedule
                          .takeDue(
                              missing, [this](auto) { return rank; }, daemons, clock.now())
                          .size();
        }
        return writes;
    }

    static constexpr std::chrono::milliseconds step{100};
    manual_clock clock;
    record_write_schedule schedule{seed};
    std::set<record_write_schedule::record_id> missing{1};
    std::size_t rank = 0;
    std::size_t daemons = 3;
};

} // namespace

// Guards against records that reach the store late although the first daemon in rank knows of them.
TEST_F(record_write_schedule_test, TheFirstDaemonWritesAtOnce)
{
    EXPECT_EQ(writesWithin(100ms), 1U);
}

// Guards against daemons that all write at the same time because the first ones have not done so in time.
TEST_F(record_write_schedule_test, EachDaemonLeavesTheRecordToThoseBeforeIt)
{
    rank = 4;
    EXPECT_EQ(writesWithin(4 * record_write_schedule::delayPerRank), 0U);
    EXPECT_EQ(writesWithin(200ms), 1U);
}

// Guards against daemons that take themselves for the first when a start of all begins.
TEST_F(record_write_schedule_test, RanksAreLookedAtWhenAWriteIsDue)
{
    rank = 2;
    EXPECT_EQ(writesWithin(500ms), 0U);
    rank = 100;
    EXPECT_EQ(writesWithin(5s), 0U);
    rank = 0;
    EXPECT_EQ(writesWithin(record_write_schedule::rankCheckInterval), 1U);
}

// Guards against writing without end at the same interval.
TEST_F(record_write_schedule_test, WritesBecomeRarer)
{
    EXPECT_LE(writesWithin(60s), 7U);
    EXPECT_GE(writesWithin(600s), 10U);
}

// Guards against a record that comes and goes and is then written at each change.
TEST_F(record_write_schedule_test, AStoredRecordThatIsLostAgainIsNotWrittenMoreOften)
{
    std::size_t writes = 0;
    for (int i = 0; i < 60; ++i) {
        missing = {1};
        writes += writesWithin(500ms);
        missing.clear();
        writes += writesWithin(500ms);
    }
    EXPECT_LE(writes, 30U);
}

// Guards against many records that together take the writes that turns need.
TEST_F(record_write_schedule_test, ManyRecordsShareTheAllowanceOfAllDaemons)
{
    for (record_write_schedule::record_id i = 0; i < 1024; ++i) {
        missing.insert(i);
    }
    const auto share = record_write_schedule::sharedWritesPerSecond / static_cast<double>(daemons);
    EXPECT_LE(static_cast<double>(writesWithin(10s)), 10 * share + record_write_schedule::burst);
}

} // namespace jackdawpick::gateway::internal
