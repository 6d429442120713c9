#include "crashes/crashes.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::crashes
{

using namespace std::chrono_literals;

namespace
{

class crashes_test : public ::testing::Test
{
protected:
    void breakEndpoints(crash_memory &memory, std::uint64_t request, int count, int first = 0)
    {
        for (int i = first; i < first + count; ++i) {
            memory.onBroken(request, fmt::format("e{}", i), clock.now());
        }
    }

    manual_clock clock;
    crash_memory here;
};

} // namespace

// Guards against a request that takes down one endpoint after the other.
TEST_F(crashes_test, RequestIsBlockedAfterThreeEndpoints)
{
    breakEndpoints(here, 7, 2);
    EXPECT_FALSE(here.isBlocked(7, clock.now()));
    breakEndpoints(here, 7, 2); // The same endpoints again: their connections are bad, not the request.
    EXPECT_FALSE(here.isBlocked(7, clock.now()));
    breakEndpoints(here, 7, 1, 2);
    EXPECT_TRUE(here.isBlocked(7, clock.now()));
    EXPECT_FALSE(here.isBlocked(8, clock.now()));
    clock.advance(crash_memory::memory);
    EXPECT_FALSE(here.isBlocked(7, clock.now()));
    here.forgetExpired(clock.now());
    EXPECT_EQ(here.size(), 0U);
}

// Guards against refusing a harmless request that met several endpoints which crashed for another reason.
TEST_F(crashes_test, AnswerClearsTheRequest)
{
    breakEndpoints(here, 7, 2);
    EXPECT_TRUE(here.onAnswered(7));
    breakEndpoints(here, 7, 2, 2);
    EXPECT_FALSE(here.isBlocked(7, clock.now()));
    EXPECT_FALSE(here.onAnswered(9));
}

// Guards against a request that goes on at another daemon because each of them has seen a crash or two only.
TEST_F(crashes_test, DaemonsLearnFromEachOther)
{
    crash_memory there;
    breakEndpoints(here, 7, 2);
    breakEndpoints(there, 7, 1, 2);
    for (const auto &report : here.takeReports()) {
        there.onReport(report, clock.now());
    }
    EXPECT_TRUE(there.isBlocked(7, clock.now()));
    EXPECT_TRUE(here.takeReports().empty());
    here.onAnswered(7);
    for (const auto &report : here.takeReports()) {
        there.onReport(report, clock.now());
    }
    EXPECT_FALSE(there.isBlocked(7, clock.now()));
}

// Guards against memory that grows with the failures of a bad day.
TEST_F(crashes_test, KeepsABoundedNumberOfRequests)
{
    breakEndpoints(here, 1, 3);
    for (std::uint64_t request = 2; request < 2 * crash_memory::mostRequests; ++request) {
        clock.advance(1ms);
        breakEndpoints(here, request, 1);
    }
    EXPECT_EQ(here.size(), crash_memory::mostRequests);
    EXPECT_FALSE(here.isBlocked(1, clock.now()));
}

} // namespace jackdawpick::crashes
