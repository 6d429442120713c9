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
    void failEndpoints(crash_tracker &tracker, std::uint64_t request, int count, int first = 0, std::uint64_t born = 1)
    {
        for (int i = first; i < first + count; ++i) {
            tracker.onEndpointFailed({request}, {fmt::format("e{}", i), born}, clock.now());
        }
    }

    static bool isGone(const endpoint_incarnation & /*endpoint*/)
    {
        return false;
    }

    static bool isAlive(const endpoint_incarnation & /*endpoint*/)
    {
        return true;
    }

    manual_clock clock;
    crash_tracker local;
};

} // namespace

// Guards against a request that crashes one endpoint after another.
TEST_F(crashes_test, RequestIsBlockedAfterThreeEndpoints)
{
    failEndpoints(local, 7, 2);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    failEndpoints(local, 7, 2); // Repeated failures of the same endpoints point to the endpoints, not to the request.
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    failEndpoints(local, 7, 1, 2);
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
    EXPECT_FALSE(local.isBlocked({8}, clock.now()));
    failEndpoints(local, 8, 2);
    clock.advance(crash_tracker::retention);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    local.evictExpired(clock.now(), isGone);
    EXPECT_EQ(local.size(), 1U);
    clock.advance(crash_tracker::blockedRetention);
    local.evictExpired(clock.now(), isGone);
    EXPECT_EQ(local.size(), 0U);
}

// Guards against blocking a harmless request that ran on several endpoints that crashed for another reason.
TEST_F(crashes_test, CompletionClearsTheRequest)
{
    failEndpoints(local, 7, 2);
    EXPECT_TRUE(local.onCompleted({7}, clock.now()));
    failEndpoints(local, 7, 2, 2);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    EXPECT_FALSE(local.onCompleted({9}, clock.now()));
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
    EXPECT_TRUE(remote.isBlocked({7}, clock.now()));
    EXPECT_TRUE(local.takeReports().empty());
    local.onCompleted({7}, clock.now());
    for (const auto &report : local.takeReports()) {
        remote.onReport(report, clock.now());
    }
    EXPECT_FALSE(remote.isBlocked({7}, clock.now()));
}

// Guards against a request that crashes three more endpoints each time that its block ends, and against one that stays
// blocked for long after an outage of all its endpoints.
TEST_F(crashes_test, EachFurtherFailureDoublesTheBlock)
{
    failEndpoints(local, 7, 3);
    clock.advance(crash_tracker::retention);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    failEndpoints(local, 7, 1, 3);
    clock.advance(crash_tracker::retention);
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
    clock.advance(crash_tracker::retention);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    failEndpoints(local, 7, 20, 4);
    clock.advance(crash_tracker::blockedRetention - 1s);
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
}

// Guards against an endpoint that counts once although it has started and crashed again under its id.
TEST_F(crashes_test, EachStartOfAnEndpointCounts)
{
    failEndpoints(local, 7, 2);
    failEndpoints(local, 7, 1, 0, 2);
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
}

// Guards against memory use that grows with the number of failing requests.
TEST_F(crashes_test, NumberOfRequestsIsBounded)
{
    for (std::uint64_t request = 2; request < 2 * crash_tracker::maxRequests; ++request) {
        clock.advance(1ms);
        failEndpoints(local, request, 1);
    }
    EXPECT_EQ(local.size(), crash_tracker::maxRequests);
}

// Guards against a request that is forgotten, and crashes endpoints again, because many others have failed once.
TEST_F(crashes_test, BlockedRequestsAreEvictedLast)
{
    failEndpoints(local, 1, 3);
    for (std::uint64_t request = 2; request < 2 * crash_tracker::maxRequests; ++request) {
        clock.advance(1ms);
        failEndpoints(local, request, 1);
    }
    EXPECT_TRUE(local.isBlocked({1}, clock.now()));
    for (std::uint64_t request = 2; request < 2 * crash_tracker::maxRequests; ++request) {
        clock.advance(1ms);
        failEndpoints(local, request, 3);
    }
    EXPECT_EQ(local.size(), crash_tracker::maxRequests);
    EXPECT_FALSE(local.isBlocked({1}, clock.now()));
}

// Guards against failures from before a success that a daemon which has missed the success tells once more.
TEST_F(crashes_test, OldFailuresDoNotReturnAfterASuccess)
{
    failEndpoints(local, 7, 3);
    const auto before = local.allReports(clock.now());
    ASSERT_EQ(before.size(), 3U);
    clock.advance(1s);
    local.onCompleted({7}, clock.now());
    clock.advance(1s);
    for (auto report : before) {
        report.age = 2s;
        local.onReport(report, clock.now());
    }
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
}

// Guards against crashes of endpoints that fall silent, which show no end of a connection.
TEST_F(crashes_test, UnknownOutcomeCountsOnceTheEndpointIsGone)
{
    failEndpoints(local, 7, 2);
    local.onOutcomeUnknown({7}, {"silent", 1}, clock.now());
    local.onOutcomeUnknown({8}, {"other", 1}, clock.now());
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    EXPECT_EQ(local.onEndpointGone("silent", gone_evidence::Listing, clock.now()), std::vector<std::uint64_t>{7});
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
    EXPECT_EQ(local.suspectedEndpoints(), std::set<std::string>{"other"});
    clock.advance(crash_tracker::suspicionTime);
    EXPECT_TRUE(local.onEndpointGone("other", gone_evidence::Listing, clock.now()).empty());
}

// Guards against a crash that ends a response in order and withdraws the failures that are known.
TEST_F(crashes_test, UnprovenEndIsNoSuccessWhileItsEndpointMayBeGone)
{
    failEndpoints(local, 7, 2);
    local.onUnprovenEnd({7}, {"ended", 1}, clock.now());
    EXPECT_EQ(local.onEndpointGone("ended", gone_evidence::Listing, clock.now()), std::vector<std::uint64_t>{7});
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
}

// Guards against a sound request whose responses always end with their connection and that is never freed.
TEST_F(crashes_test, UnprovenEndIsASuccessIfItsEndpointLivesOn)
{
    failEndpoints(local, 7, 2);
    clock.advance(1ms);
    local.onUnprovenEnd({7}, {"ended", 1}, clock.now());
    (void)local.takeReports();
    clock.advance(crash_tracker::suspicionTime);
    failEndpoints(local, 7, 1, 2);
    local.evictExpired(clock.now(), isAlive);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    failEndpoints(local, 7, 1, 3);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    failEndpoints(local, 7, 1, 4); // Later than the response: these three count.
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
}

// Guards against daemons that each see one end and never ask whether the endpoints of the others are alive.
TEST_F(crashes_test, ReportedEndIsVerifiedOnceWhenTheRequestComesAgain)
{
    crash_tracker remote;
    local.onUnprovenEnd({7}, {"ended", 1}, clock.now());
    for (const auto &end : local.takeUnprovenEnds(clock.now())) {
        remote.onUnprovenReport(end, clock.now());
    }
    EXPECT_TRUE(remote.takeUnverified(8).empty());
    EXPECT_EQ(remote.takeUnverified(7), (std::vector<endpoint_incarnation>{{"ended", 1}}));
    EXPECT_TRUE(remote.takeUnverified(7).empty());
    EXPECT_FALSE(remote.onEndpointGone("ended", gone_evidence::Connection, clock.now()).empty());
    EXPECT_EQ(remote.takeReports().size(), 1U);
}

// Guards against as many reports of one failure as there are daemons that read the listing.
TEST_F(crashes_test, ListingMakesOnlyTheDaemonThatSawTheEndReport)
{
    crash_tracker remote;
    remote.onUnprovenReport({.request = {7}, .endpoint = {"ended", 1}}, clock.now());
    EXPECT_FALSE(remote.onEndpointGone("ended", gone_evidence::Listing, clock.now()).empty());
    EXPECT_TRUE(remote.takeReports().empty());
}

// Guards against a success of another caller that withdraws the failures of a request with the same content.
TEST_F(crashes_test, SuccessFreesItsOwnCallerOnly)
{
    for (int i = 0; i < 2; ++i) {
        local.onEndpointFailed({7, 1}, {fmt::format("e{}", i), 1}, clock.now());
    }
    clock.advance(1ms);
    local.onCompleted({7, 2}, clock.now());
    clock.advance(1ms);
    local.onEndpointFailed({7, 1}, {"e2", 1}, clock.now());
    EXPECT_TRUE(local.isBlocked({7, 1}, clock.now()));
    EXPECT_FALSE(local.isBlocked({7, 2}, clock.now()));
    EXPECT_FALSE(local.isBlocked({7, 3}, clock.now())); // One failure since a success.
}

// Guards against a block that ends with no line in the log, since its request is forgotten.
TEST_F(crashes_test, ForgottenBlockIsReported)
{
    failEndpoints(local, 7, 3);
    (void)local.takeChanges();
    clock.advance(crash_tracker::blockedRetention);
    local.evictExpired(clock.now(), isGone);
    EXPECT_EQ(local.takeChanges(), (std::vector<block_change>{{.content = 7, .blocked = false, .failures = 3}}));
}

// Guards against a record that an earlier build deletes after a crash that looked like a success.
TEST_F(crashes_test, DeletedRecordIsNoSuccess)
{
    failEndpoints(local, 7, 3);
    local.onStored(7, 3);
    local.onRecordDeleted(7, clock.now());
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
    EXPECT_EQ(local.unstored(), std::set<std::uint64_t>{7}); // Stored again, for daemons that start later.
    local.onStored(7, 3);
    clock.advance(crash_tracker::retention);
    local.onRecordDeleted(7, clock.now());
    EXPECT_TRUE(local.unstored().empty());
}

// Guards against a run that ends after its endpoint is known to be gone, and then counts for nothing.
TEST_F(crashes_test, EndOfARunCountsIfItsEndpointIsGoneAlready)
{
    failEndpoints(local, 7, 2);
    local.onSent({7}, {"silent", 1}, clock.now());
    EXPECT_TRUE(local.onEndpointGone("silent", gone_evidence::Listing, clock.now()).empty()); // It may still answer.
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    EXPECT_TRUE(local.onOutcomeUnknown({7}, {"silent", 1}, clock.now()));
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
}

// Guards against endpoints that leave the listing, still serve, and seem to have crashed.
TEST_F(crashes_test, AnswerOfAnEndpointThatIsNotListedIsASuccess)
{
    failEndpoints(local, 7, 2);
    clock.advance(1ms);
    local.onSent({7}, {"leaving", 1}, clock.now());
    local.onEndpointGone("leaving", gone_evidence::Listing, clock.now());
    local.onAnswered({7}, {"leaving", 1}, clock.now());
    failEndpoints(local, 7, 1, 2);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
}

// Guards against a success that clears a request although its endpoint does not survive it.
TEST_F(crashes_test, AnswerIsASuccessOnceItsEndpointIsKnownToLiveOn)
{
    for (const bool livesOn : {false, true}) {
        crash_tracker tracker;
        failEndpoints(tracker, 7, 2);
        clock.advance(1ms);
        tracker.onSent({7}, {"answers", 1}, clock.now());
        tracker.onAnswered({7}, {"answers", 1}, clock.now());
        clock.advance(1ms);
        if (livesOn) {
            tracker.onEndpointAlive({"answers", 1}, clock.now(), clock.now());
        }
        EXPECT_EQ(tracker.onEndpointGone("answers", gone_evidence::Listing, clock.now()).empty(), livesOn);
        EXPECT_EQ(tracker.isBlocked({7}, clock.now()), !livesOn);
    }
}

// Guards against sound requests that are accused when an endpoint is full and takes no connections.
TEST_F(crashes_test, AnswerIsNotDoubtedForAFailedConnection)
{
    local.onAnswered({7}, {"full", 1}, clock.now());
    EXPECT_TRUE(local.onEndpointGone("full", gone_evidence::Connection, clock.now()).empty());
    EXPECT_EQ(local.openRunCount(), 1U);
}

// Guards against sound requests that are accused when an endpoint leaves as it had announced.
TEST_F(crashes_test, AnnouncedEndAccusesNobody)
{
    local.onOutcomeUnknown({7}, {"drained", 1}, clock.now());
    local.onEndpointLeft("drained");
    EXPECT_TRUE(local.onEndpointGone("drained", gone_evidence::Listing, clock.now()).empty());
}

// Guards against a run that nobody counts, since its sender dies before the endpoint is known to be gone, and against
// one that is counted although its sender lives and knows better.
TEST_F(crashes_test, BackupCountsOnceItsSenderHasDied)
{
    crash_tracker remote;
    local.onSent({7}, {"silent", 1}, clock.now());
    EXPECT_TRUE(local.takeBackups(clock.now()).empty());
    clock.advance(crash_tracker::backupDelay);
    const auto backups = local.takeBackups(clock.now());
    ASSERT_EQ(backups.size(), 1U);
    EXPECT_TRUE(local.takeBackups(clock.now()).empty());
    remote.onBackup(backups.front(), "sender", true, clock.now());
    EXPECT_TRUE(remote.onEndpointGone("silent", gone_evidence::Listing, clock.now()).empty());
    EXPECT_TRUE(remote.onSenderLost("other", clock.now()).empty());
    EXPECT_EQ(remote.onSenderLost("sender", clock.now()), std::vector<std::uint64_t>{7});
    EXPECT_EQ(remote.takeReports().size(), 1U);
}

// Guards against several crashes at once when a block ends.
TEST_F(crashes_test, OneRunAtATimeShowsWhetherABlockedRequestStillCrashesEndpoints)
{
    failEndpoints(local, 7, 3);
    clock.advance(crash_tracker::retention);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
    local.onSent({7}, {"next", 1}, clock.now());
    EXPECT_TRUE(local.isBlocked({7}, clock.now()));
    EXPECT_EQ(local.takeSuspectRuns(clock.now()).size(), 1U);
    local.onAnswered({7}, {"next", 1}, clock.now());
    clock.advance(local.survivalTime());
    local.settleRuns(clock.now(), isAlive);
    EXPECT_FALSE(local.isBlocked({7}, clock.now()));
}

// Guards against memory use that grows with the number of requests whose outcome is not known, and against losing some
// without saying so.
TEST_F(crashes_test, NumberOfSuspicionsIsBounded)
{
    for (std::size_t i = 0; i < crash_tracker::maxSuspicions + 3; ++i) {
        local.onOutcomeUnknown({i}, {"e", 1}, clock.now());
    }
    EXPECT_EQ(local.takeDroppedSuspicions(), 3U);
    EXPECT_EQ(local.takeDroppedSuspicions(), 0U);
}

// Guards against a request that is written to the store for a single failure, or again and again.
TEST_F(crashes_test, RequestsAreStoredFromTheSecondFailureOn)
{
    failEndpoints(local, 7, 1);
    EXPECT_TRUE(local.unstored().empty());
    failEndpoints(local, 7, 2);
    EXPECT_EQ(local.unstored(), std::set<std::uint64_t>{7});
    local.onStored(7, 2);
    EXPECT_TRUE(local.unstored().empty());
    failEndpoints(local, 7, 3);
    EXPECT_EQ(local.unstored(), std::set<std::uint64_t>{7});
    local.onStored(7, 3);
    failEndpoints(local, 7, 5);
    EXPECT_TRUE(local.unstored().empty());
}

// Guards against a change of belief that no log line shows, or that is shown twice.
TEST_F(crashes_test, ChangesAreReportedOnce)
{
    failEndpoints(local, 7, 3);
    EXPECT_EQ(local.takeChanges(), (std::vector<block_change>{{.content = 7, .blocked = true, .failures = 3}}));
    failEndpoints(local, 7, 4);
    EXPECT_TRUE(local.takeChanges().empty());
    local.onCompleted({7}, clock.now());
    EXPECT_EQ(local.takeChanges(), (std::vector<block_change>{{.content = 7, .blocked = false, .failures = 0}}));
}

} // namespace jackdawpick::crashes
