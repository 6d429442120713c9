#include "cache/cache.h"

#include <gtest/gtest.h>
#include <random>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

class cache_test : public ::testing::Test
{
protected:
    manual_clock clock;
    cache_directory caches{{}};
    program_key key{.customer = "wanza", .program = "a/b"};

    void events(const std::vector<cache_event> &list)
    {
        caches.onEvents("e1", list, clock.now());
    }
};

} // namespace

// Guards against a delayed eviction event that removes a prefix which a newer call has stored again.
TEST_F(cache_test, EvictionOlderThanTheLastCallIsIgnored)
{
    caches.onServed(key, "e1", 1000, clock.now());
    events({{1, false, toString(key), 800}});
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 1000U);
    events({{2, true, toString(key), 1000}});
    events({{3, false, toString(key), 400}});
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 600U);
    events({{3, false, toString(key), 400}}); // Duplicate.
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 600U);
}

// Guards against ignoring evictions for ever when the event that confirms the last call was lost.
TEST_F(cache_test, EvictionIsAppliedAfterTheMaximumEventDelay)
{
    caches.onServed(key, "e1", 1000, clock.now());
    clock.advance(3s);
    events({{5, false, toString(key), 1000}});
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 0U);
}

// Guards against relying on a prefix whose eviction event may have been lost.
TEST_F(cache_test, GapMakesEntriesUncertainUntilConfirmed)
{
    caches.onServed(key, "e1", 1000, clock.now());
    events({{1, true, toString(key), 1000}, {4, true, "wanza/other", 5}});
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 500U);
    events({{5, true, toString(key), 1000}});
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 1000U);
}

TEST_F(cache_test, ReplacedEndpointHoldsNothingAndNeedsNoRelease)
{
    caches.onServed(key, "e1", 1000, clock.now());
    caches.onServed(key, "e2", 500, clock.now());
    caches.onEndpointRemoved("e1");
    EXPECT_EQ(caches.cachedTokens(key, "e1"), 0U);
    EXPECT_EQ(caches.holders(key), std::vector<std::string>{"e2"});
    caches.releaseProgram(key, {}, clock.now());
    ASSERT_EQ(caches.pendingReleases().size(), 1U);
    caches.onEndpointRemoved("e2");
    EXPECT_TRUE(caches.pendingReleases().empty());
    EXPECT_FALSE(caches.nextDeadline());
}

// Guards against a busy loop: at the limit of releases in flight, nextDeadline() must not return a time in the past.
TEST_F(cache_test, DueReleasesWaitWhileTheLimitInFlightIsReached)
{
    cache_directory bounded({.maxReleasesInFlight = 1});
    bounded.releaseProgram(key, {"e1", "e2"}, clock.now());
    EXPECT_EQ(bounded.takeDueReleases(clock.now()).size(), 1U);
    EXPECT_TRUE(bounded.takeDueReleases(clock.now()).empty());
    EXPECT_GT(bounded.nextDeadline(), clock.now());
}

// Guards against cache memory of ended programs that is never freed: under random refusals and lost answers every
// release is retried until it is acknowledged.
TEST_F(cache_test, ReleasesAreRetriedUntilAcknowledged)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        cache_directory directory({});
        std::size_t acknowledged = 0;
        for (int i = 0; i < 50; ++i) {
            directory.releaseProgram({"c", std::to_string(i)}, {"e1", "e2", "e3"}, clock.now());
        }
        for (int step = 0; step < 10000 && !directory.pendingReleases().empty(); ++step) {
            const auto next = directory.nextDeadline();
            ASSERT_TRUE(next);
            clock.advanceTo(*next);
            for (const cache_release &release : directory.takeDueReleases(clock.now())) {
                const auto outcome = random() % 3; // Acknowledged, refused, no answer at all.
                if (outcome < 2 && directory.onReleased(release, outcome == 0, clock.now())) {
                    ++acknowledged;
                }
            }
        }
        EXPECT_EQ(acknowledged, 150U);
        EXPECT_FALSE(directory.nextDeadline());
    }
}

} // namespace jackdawpick
