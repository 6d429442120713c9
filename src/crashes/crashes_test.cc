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
    void failEndpoints(crash_tracker &tracker, std::uint64_t request, int count, int first = 0)
    {
        for (int i = first; i < first + count; ++i) {
            tracker.onEndpointFailed(request, fmt::format("e{}", i), clock.now());
        }
    }

    manual_clock clock;
    crash_tracker local;
};

} // namespace

// Guards against a request that crashes one endpoint after another.
TEST_F(crashes_test, RequestIsBlockedAfterThreeEndpoints)
{
    failEndpoints(local, 7, 2);
    EXPECT_FALSE(local.isBlocked(7, clock.now()));
    failEndpoints(local, 7, 2); // Repeated failures of the same endpoints point to the endpoints, not to the request.
    EXPECT_FALSE(local.isBlocked(7, clock.now()));
    failEndpoints(local, 7, 1, 2);
    EXPECT_TRUE(local.isBlocked(7, clock.now()));
    EXPECT_FALSE(local.isBlocked(8, clock.now()));
    clock.advance(crash_tracker::retention);
    EXPECT_FALSE(local.isBlocked(7, clock.now()));
    local.evictExpired(clock.now());
    EXPECT_EQ(local.size(), 0U);
}

// Guards against blocking a harmless request that ran on several endpoints that crashed for another reason.
TEST_F(crashes_test, CompletionClearsTheRequest)
{
    failEndpoints(local, 7, 2);
    EXPECT_TRUE(local.onCompleted(7));
    failEndpoints(local, 7, 2, 2);
    EXPECT_FALSE(local.isBlocked(7, clock.now()));
    EXPECT_FALSE(local.onCompleted(9));
}

// Guards against a request that stays unblocked because each daemon has seen only one or two of the crashes.
TEST_F(crashes_test, DaemonsShareReports)
{
    crash_tracker remote;
    failEndpoints(local, 7, 2);
    failEndpoints(remote, 7, 1, 2);
    for (const auto &report : local.takeReports()) {
        remote.onReport(report, clock.now());
    }
    EXPECT_TRUE(remote.isBlocked(7, clock.now()));
    EXPECT_TRUE(local.takeReports().empty());
    local.onCompleted(7);
    for (const auto &report : local.takeReports()) {
        remote.onReport(report, clock.now());
    }
    EXPECT_FALSE(remote.isBlocked(7, clock.now()));
}

// Guards against memory use that grows with the number of failing requests.
TEST_F(crashes_test, NumberOfRequestsIsBounded)
{
    failEndpoints(local, 1, 3);
    for (std::uint64_t request = 2; request < 2 * crash_tracker::maxRequests; ++request) {
        clock.advance(1ms);
        failEndpoints(local, request, 1);
    }
    EXPECT_EQ(local.size(), crash_tracker::maxRequests);
    EXPECT_FALSE(local.isBlocked(1, clock.now()));
}

} // namespace jackdawpick::crashes
