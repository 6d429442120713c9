#include "platform/log_model.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;

TEST(LogModel, OffsetsStartAtOneForEachStreamAndReadsAreBounded)
{
    manual_clock clock;
    log_model log({.pageBytes = 10}, seed);
    EXPECT_EQ(log.append("a", "one", clock.now()).offset, 1U);
    EXPECT_EQ(log.append("a", "two-two", clock.now()).offset, 2U);
    EXPECT_EQ(log.append("a", "three", clock.now()).offset, 3U);
    EXPECT_EQ(log.append("b", "x", clock.now()).offset, 1U);
    const auto byBytes = log.read("a", 1, 100, clock.now());
    EXPECT_EQ(byBytes.records.size(), 2U);
    EXPECT_EQ(byBytes.end, 4U);
    const auto byLimit = log.read("a", 2, 1, clock.now());
    EXPECT_EQ(byLimit.records.at(0).payload, "two-two");
    EXPECT_EQ(byLimit.records.size(), 1U);
    EXPECT_TRUE(log.read("a", 9, 100, clock.now()).records.empty());
    EXPECT_EQ(log.read("none", 1, 100, clock.now()).end, 1U);
}

// Guards against a limit per stream: the rate holds for all streams together.
TEST(LogModel, RateLimitCoversAllStreams)
{
    manual_clock clock;
    log_model log({.appendsPerSecond = 100}, seed);
    int appended = 0;
    for (int i = 0; i < 1000; ++i) {
        appended += log.append(i % 2 == 0 ? "a" : "b", "x", clock.now()).status == log_status::Ok ? 1 : 0;
        clock.advance(1ms);
    }
    EXPECT_NEAR(appended, 110, 2);
    (void)log.append("a", "x", clock.now()); // Takes what is left at this instant.
    const auto refused = log.append("b", "x", clock.now());
    ASSERT_EQ(refused.status, log_status::RateLimited);
    clock.advance(refused.retryAfter);
    EXPECT_EQ(log.append("a", "x", clock.now()).status, log_status::Ok);
}

TEST(LogModel, RetentionDropsOldRecordsAndKeepsOffsets)
{
    manual_clock clock;
    log_model log({.retention = 1min}, seed);
    (void)log.append("a", "old", clock.now());
    clock.advance(40s);
    (void)log.append("a", "new", clock.now());
    clock.advance(30s);
    const auto page = log.read("a", 1, 10, clock.now());
    EXPECT_EQ(page.first, 2U);
    EXPECT_EQ(page.records.at(0).payload, "new");
    clock.advance(1min);
    EXPECT_EQ(log.read("a", 1, 10, clock.now()).first, 3U);
    EXPECT_EQ(log.append("a", "x", clock.now()).offset, 3U);
}

// Guards against a lost answer that also loses the record: only then can a writer resend without reading first.
TEST(LogModel, FaultsOutageLostAnswerAndSlowness)
{
    manual_clock clock;
    log_model log({.latency = 1ms}, seed);
    log.faults().assign("outage");
    EXPECT_EQ(log.append("a", "x", clock.now()).status, log_status::Unavailable);
    EXPECT_EQ(log.read("a", 1, 10, clock.now()).status, log_status::Unavailable);
    log.faults().assign("outage=0");
    log.faults().assign("lost_answer=1");
    EXPECT_EQ(log.append("a", "y", clock.now()).status, log_status::NoAnswer);
    log.faults().assign("slow_ms=250");
    const auto page = log.read("a", 1, 10, clock.now());
    EXPECT_EQ(page.records.at(0).payload, "y");
    EXPECT_EQ(page.delay, 251ms);
}

} // namespace jackdawpick::standins
