#include "limits/limits.h"

#include <gtest/gtest.h>

namespace jackdawpick::limits
{

namespace
{

using namespace std::chrono_literals;

// Permits taken by a caller that asks each millisecond.
int permitsTakenIn(permit_issuer &issuer, manual_clock &clock, std::chrono::milliseconds time, double reserve = 0)
{
    int taken = 0;
    for (auto i = 0ms; i < time; i += 1ms) {
        clock.advance(1ms);
        taken += issuer.take("e", reserve, clock.now()).granted ? 1 : 0;
    }
    return taken;
}

} // namespace

// Guards against a limit that only the daemon knows whose response stated it.
TEST(limit_table, ReportOfAPeerSetsTheLimit)
{
    manual_clock clock;
    limit_table own;
    limit_table peer;
    EXPECT_TRUE(peer.onStated("e", 4, clock.now()));
    for (const auto &report : peer.ownReports(clock.now())) {
        EXPECT_TRUE(own.onReport(report, clock.now()));
    }
    EXPECT_EQ(own.rateOf("e"), 4);
    EXPECT_TRUE(own.ownReports(clock.now()).empty());
}

// Guards against a limit that stays in force after the endpoint has stopped stating it.
TEST(limit_table, LaterResponseWithoutALimitEndsIt)
{
    manual_clock clock;
    limit_table limits;
    limits.onStated("e", 4, clock.now());
    clock.advance(10ms);
    EXPECT_TRUE(limits.onNotStated("e", clock.now(), clock.now()));
    EXPECT_EQ(limits.rateOf("e"), std::nullopt);
}

// Guards against a limit that is ended by a response which the endpoint sent before it stated the limit.
TEST(limit_table, EarlierRequestDoesNotEndTheLimit)
{
    manual_clock clock;
    limit_table limits;
    const auto dispatchedAt = clock.now();
    clock.advance(10ms);
    limits.onStated("e", 4, clock.now());
    EXPECT_FALSE(limits.onNotStated("e", dispatchedAt, clock.now()));
    EXPECT_EQ(limits.rateOf("e"), 4);
}

// Guards against an outdated report that restores a limit which has ended.
TEST(limit_table, OlderReportDoesNotRestoreTheLimit)
{
    manual_clock clock;
    limit_table limits;
    limits.onStated("e", 4, clock.now());
    clock.advance(100ms);
    limits.onNotStated("e", clock.now(), clock.now());
    EXPECT_FALSE(limits.onReport({.endpoint = "e", .rate = 4, .age = 50ms}, clock.now()));
    clock.advance(10ms);
    EXPECT_TRUE(limits.onReport({.endpoint = "e", .rate = 5, .age = 0ms}, clock.now()));
    EXPECT_EQ(limits.rateOf("e"), 5);
}

// Guards against limits of endpoints that are gone and stay in memory.
TEST(limit_table, OldStatementsAreForgotten)
{
    manual_clock clock;
    limit_table limits;
    limits.onStated("e", 4, clock.now());
    clock.advance(limit_table::statementLifetime);
    EXPECT_EQ(limits.evictExpired(clock.now()), std::vector<std::string>{"e"});
    EXPECT_TRUE(limits.inForce().empty());
}

// Guards against more requests in any 4 s than the platform allows: one and a half times the limit, and 5.
TEST(permit_issuer, NeverExceedsTheAllowedRequestsInFourSeconds)
{
    for (const double rate : {0.0, 0.1, 0.7, 2.6, 4.0, 7.5, 50.0}) {
        manual_clock clock;
        permit_issuer issuer;
        issuer.issueFor({{"e", rate}}, clock.now());
        clock.advance(60s); // The bucket is full.
        EXPECT_LE(permitsTakenIn(issuer, clock, 4s), 1.5 * rate * 4 + 5) << rate;
    }
}

// Guards against a limit that is wasted: in the long run as many requests are sent as the endpoint takes.
TEST(permit_issuer, IssuesTheWholeLimit)
{
    manual_clock clock;
    permit_issuer issuer;
    issuer.issueFor({{"e", 4}}, clock.now());
    EXPECT_NEAR(permitsTakenIn(issuer, clock, 30s), 120, 2);
}

// Guards against permits that two daemons issue for the same time while one takes over from the other.
TEST(permit_issuer, BeginsWithoutPermits)
{
    manual_clock clock;
    permit_issuer issuer;
    issuer.issueFor({{"e", 4}}, clock.now());
    EXPECT_FALSE(issuer.take("e", 0, clock.now()).granted);
    clock.advance(10s);
    issuer.issueFor({}, clock.now());
    EXPECT_FALSE(issuer.take("e", 0, clock.now()).granted);
    issuer.issueFor({{"e", 4}}, clock.now());
    EXPECT_FALSE(issuer.take("e", 0, clock.now()).granted);
}

// Guards against a change of the limit that refills the bucket.
TEST(permit_issuer, ChangedLimitKeepsTheBucket)
{
    manual_clock clock;
    permit_issuer issuer;
    issuer.issueFor({{"e", 4}}, clock.now());
    clock.advance(250ms);
    issuer.issueFor({{"e", 2}}, clock.now());
    EXPECT_TRUE(issuer.take("e", 0, clock.now()).granted);
    const auto denied = issuer.take("e", 0, clock.now());
    EXPECT_FALSE(denied.granted);
    EXPECT_EQ(denied.retryAfter, 500ms);
}

// Guards against first turns that take the permits of programs under way.
TEST(permit_issuer, ReserveLeavesPermitsToMoreUrgentRequests)
{
    manual_clock clock;
    permit_issuer issuer;
    issuer.issueFor({{"e", 4}}, clock.now());
    clock.advance(500ms); // Two permits.
    EXPECT_FALSE(issuer.take("e", 1.5, clock.now()).granted);
    EXPECT_TRUE(issuer.take("e", 0, clock.now()).granted);
    EXPECT_TRUE(issuer.take("e", 0, clock.now()).granted);
}

} // namespace jackdawpick::limits
