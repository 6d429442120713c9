#include "ledger_replay/ledger_replay.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

const daemon_identity owner{"a", 1};
const daemon_identity other{"b", 2};
const program_key key{"c", "s3.p"};

struct shard_replay_fixture : testing::Test
{
    shard_replay shard{3};
    log_offset offset = 0;

    void write(const daemon_identity &writer, log_record record)
    {
        ++offset;
        shard.apply({offset, writer, offset, false, std::move(record)}, owner, "journal");
    }
    void seal(const daemon_identity &by, fence token)
    {
        write(by, shards_sealed{{{3, token}}, by});
    }
    void settle(std::uint32_t turn, execution outcome = execution::Ran)
    {
        call_settled record;
        record.key = key;
        record.turn = turn;
        record.outcome = outcome;
        record.tokensSpent = 10;
        write(owner, record);
    }
    void open(fence token)
    {
        seal(owner, token);
        write(owner, program_opened{key, std::nullopt, 0, 100});
        write(owner, shard_opened{3, token});
    }
};

} // namespace

using ShardReplay = shard_replay_fixture;

// Guards against restoring records that a stalled owner wrote after the seal.
TEST_F(ShardReplay, RecordsAfterTheSealAreVoid)
{
    open(5);
    settle(1);
    seal(other, 9);
    settle(2);
    const auto programs = shard.takeEpoch(5);
    ASSERT_TRUE(programs);
    EXPECT_EQ(programs->at(0).state.settledTurn, 1);
    EXPECT_EQ(programs->at(0).state.lastTurnOffset, 4);
    EXPECT_FALSE(shard.takeEpoch(9));
}

// Guards against a seal delayed in the network ending an epoch that began after it was sent.
TEST_F(ShardReplay, LateSealOfAnEarlierClaimIsIgnored)
{
    open(12);
    seal(other, 9);
    settle(1);
    seal(other, 15);
    EXPECT_EQ(shard.takeEpoch(12)->at(0).state.settledTurn, 1);
}

// Guards against mixing two epochs when a daemon owns the shard a second time.
TEST_F(ShardReplay, SecondEpochStartsFromItsOwnSnapshots)
{
    open(5);
    settle(1);
    seal(other, 9);
    settle(2);
    open(12);
    settle(1);
    settle(2);
    settle(3);
    seal(other, 20);
    EXPECT_EQ(shard.takeEpoch(5)->at(0).state.settledTurn, 1);
    EXPECT_EQ(shard.takeEpoch(12)->at(0).state.settledTurn, 3);
}

// Guards against treating a takeover that crashed before shard_opened as complete.
TEST_F(ShardReplay, EpochWithoutOpeningIsNotFound)
{
    seal(owner, 5);
    write(owner, program_opened{key, std::nullopt, 0, 100});
    seal(other, 9);
    EXPECT_FALSE(shard.takeEpoch(5));
}

// Guards against losing a call that may have run, and against treating one that did not run as settled.
TEST_F(ShardReplay, UnsettledReservationAndAttemptsAreRestored)
{
    open(5);
    call_reserved reservation;
    reservation.key = key;
    reservation.turn = 1;
    write(owner, reservation);
    settle(1, execution::NotRun);
    reservation.attempt = 1;
    write(owner, reservation);
    seal(other, 9);
    const auto program = shard.takeEpoch(5)->at(0);
    EXPECT_EQ(program.unsettledReservation, reservation);
    EXPECT_EQ(program.state.settledTurn, 0);
    EXPECT_EQ(program.state.attempt, 1);
    EXPECT_EQ(program.state.spent, 10);
}

} // namespace jackdawpick
