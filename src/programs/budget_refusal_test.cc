#include "programs/testing/budget_partition_fixture.h"

namespace jackdawpick::programs
{

namespace
{

using namespace std::chrono_literals;
using testing::fake_daemon;

class budget_refusal_test : public testing::budget_partition_fixture
{
protected:
    // Serves reads and replies to appends with `failure`, for 300 ms, less than the requests wait.
    void runWithFailingAppends(fake_daemon &daemon, store::failure failure)
    {
        for (int i = 0; i < 30; ++i) {
            while (!daemon.calls.empty()) {
                const auto call = daemon.calls.front().call;
                const bool isAppend = std::holds_alternative<store::append_call>(call);
                reply(daemon, isAppend ? store::reply(failure) : log.execute(call));
            }
            clock.advance(10ms);
            daemon.budgets.tick(clock.now());
            daemon.collect();
        }
    }

    // Lets the deadline of all waiting requests pass.
    void expireWithFailingAppends(fake_daemon &daemon, store::failure failure)
    {
        for (int i = 0; i < 4; ++i) {
            runWithFailingAppends(daemon, failure);
        }
    }
};

} // namespace

// Guards against denials (402) because of reservations whose appends the store refused (incident inc1).
TEST_F(budget_refusal_test, RefusedAppendsTakeNothingOfTheBudget)
{
    reserve(one, "1", 576, 900);
    expireWithFailingAppends(one, store::failure::Refused);
    EXPECT_EQ(one.decisionOn("1"), budget_decision::Unavailable);
    reserve(one, "2", 576, 900);
    expireWithFailingAppends(one, store::failure::Refused);
    EXPECT_EQ(one.decisionOn("2"), budget_decision::Unavailable);
    run(one);
    reserve(one, "3", 576, 900);
    run(one);
    EXPECT_EQ(one.decisionOn("3"), budget_decision::Granted);
    EXPECT_EQ(one.budgets.usageOf("p").reserved, 576U);
}

// Guards against denials because of a reservation that is not written yet and may never be.
TEST_F(budget_refusal_test, UnwrittenReservationIsNoReasonForADenial)
{
    for (const auto failure : {store::failure::Refused, store::failure::NoReply}) {
        log = {};
        one = {};
        reserve(one, "0", 1, 900);
        run(one);
        reserve(one, "1", 576, 900);
        runWithFailingAppends(one, failure);
        reserve(one, "2", 576, 900);
        EXPECT_NE(one.decisionOn("2"), budget_decision::Denied);
        expireWithFailingAppends(one, failure);
        EXPECT_EQ(one.decisionOn("2"), budget_decision::Unavailable);
    }
}

// Guards against a lost append that is counted for good, although the partition has been read past its place.
TEST_F(budget_refusal_test, LostAppendIsForgottenOnceThePartitionHasGrown)
{
    reserve(one, "1", 576, 900);
    expireWithFailingAppends(one, store::failure::NoReply);
    EXPECT_EQ(one.decisionOn("1"), budget_decision::Unavailable);
    reserve(one, "2", 576, 900);
    run(one);
    EXPECT_EQ(one.decisionOn("2"), budget_decision::Granted);
    EXPECT_EQ(one.budgets.usageOf("p").reserved, 576U);
}

// Guards against an exceeded budget when a lost append is executed after its request has been given up.
TEST_F(budget_refusal_test, LateAppendStillCounts)
{
    reserve(one, "0", 1, 900);
    run(one);
    reserve(one, "1", 576, 900);
    ASSERT_EQ(one.calls.size(), 1U);
    const auto lateAppend = one.calls.front().call;
    expireWithFailingAppends(one, store::failure::NoReply);
    log.execute(lateAppend);
    reserve(one, "2", 576, 900);
    run(one);
    EXPECT_EQ(one.decisionOn("2"), budget_decision::Denied);
}

// Guards against reservations that stay in memory after their requests were settled unwritten.
TEST_F(budget_refusal_test, SettledRequestsAreAnswered)
{
    reserve(one, "0", 1, 900);
    run(one);
    reserve(one, "1", 100, 900);
    reserve(one, "2", 100, 900); // Waits for the append of the first one.
    settle(one, "2", 0);
    EXPECT_TRUE(one.hasResponse("2"));
    EXPECT_EQ(one.decisionOn("2"), budget_decision::Unavailable);
    clock.advance(budget_partition::batchingDelay);
    run(one);
    EXPECT_FALSE(one.budgets.hasUnwrittenRecords());
    EXPECT_EQ(one.budgets.usageOf("p").reserved, 101U);
}

// Guards against a reply of an unexpected kind that leaves records marked as in flight after they are removed.
TEST_F(budget_refusal_test, UnexpectedReplyToAnAppendEndsIt)
{
    reserve(one, "0", 1, 900);
    run(one);
    reserve(one, "1", 100, 900);
    ASSERT_EQ(one.calls.size(), 1U);
    reply(one, store::expired{0});
    clock.advance(2s); // Past the deadline of the request.
    one.budgets.tick(clock.now());
    one.collect();
    EXPECT_EQ(one.decisionOn("1"), budget_decision::Unavailable);
    settle(one, "1", 0);
    run(one);
    reserve(one, "2", 100, 900);
    run(one);
    EXPECT_EQ(one.decisionOn("2"), budget_decision::Granted);
}

// Guards against a daemon that ends when an append is answered whose reservation has expired meanwhile.
TEST_F(budget_refusal_test, ReservationThatExpiresDuringTheReadIsNotAppended)
{
    reserve(one, "1");
    clock.advance(2s); // Past the deadline, without a tick.
    run(one);
    EXPECT_TRUE(one.hasResponse("1"));
    EXPECT_EQ(one.decisionOn("1"), budget_decision::Unavailable);
    EXPECT_FALSE(one.budgets.hasUnwrittenRecords());
}

// Guards against a settlement that counts as written although no append contained it.
TEST_F(budget_refusal_test, SettlementDuringAnAppendIsWritten)
{
    reserve(one, "0");
    run(one);
    reserve(one, "1");
    ASSERT_EQ(one.calls.size(), 1U);
    const auto append = log.execute(one.calls.front().call);
    clock.advance(2s); // Past the deadline of the reservation in flight.
    one.budgets.tick(clock.now());
    settle(one, "0", 10);
    reply(one, append);
    clock.advance(budget_partition::batchingDelay);
    run(one);
    EXPECT_EQ(log.records.size(), 3U);
    EXPECT_FALSE(one.budgets.hasUnwrittenRecords());
}

// Guards against a settlement that takes the place of an expired reservation in the append that a late read started.
TEST_F(budget_refusal_test, SettlementAfterALateReadIsWritten)
{
    reserve(one, "1");
    clock.advance(2s);
    reply(one, log.execute(one.calls.front().call)); // The read.
    settle(one, "2", 10);
    clock.advance(budget_partition::batchingDelay);
    run(one);
    EXPECT_TRUE(std::ranges::any_of(log.records, [](const std::string &bytes) {
        const auto record = decodeRecord(bytes);
        return record.has_value() && std::holds_alternative<settlement>(*record);
    }));
}

} // namespace jackdawpick::programs
