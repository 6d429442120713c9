#include "quotas/quotas.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::quotas
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const quota_rule rule{};
const tenant_limit large{.ratePerSecond = 100, .burst = 100};
const tenant_limit small{.ratePerSecond = 0.5, .burst = 0.5};
const store::partition place{"quotas-0", 3};

// A partition of the log without delays.
class log_partition
{
public:
    store::reply execute(const store::call &call)
    {
        if (const auto *append = std::get_if<store::append_call>(&call)) {
            if (append->expectedEnd.value_or(records.size()) != records.size()) {
                return store::conflict{records.size()};
            }
            records.push_back({.offset = records.size(), .key = {}, .value = append->records.front().str()});
            return store::appended{records.back().offset};
        }
        const auto &read = std::get<store::read_call>(call);
        store::records_read result{.end = records.size(), .records = {}, .next = records.size()};
        for (auto i = read.from; i < records.size(); ++i) {
            result.records.push_back(records[i]);
        }
        return result;
    }

    std::vector<store::record> records;
};

struct daemon
{
    explicit daemon(const std::string &name, std::uint64_t incarnation = 1)
        : lease(place, {name, incarnation})
    {
    }

    // Makes calls until none is due.
    void run(log_partition &log, time_point now)
    {
        for (auto call = lease.poll(issuer, now); call.has_value(); call = lease.poll(issuer, now)) {
            const auto *read = std::get_if<store::read_call>(&*call);
            const bool waits = read != nullptr && read->wait > 0ms;
            lease.onReply(log.execute(*call), now);
            while (auto change = lease.takeChange()) {
                if (auto *taken = std::get_if<lease_taken>(&*change); taken != nullptr && taken->start.has_value()) {
                    issuer.begin(*taken->start, now);
                }
                changes.push_back(std::move(*change));
            }
            if (waits) {
                return;
            }
        }
    }

    void want(bool wanted, time_point now, std::uint32_t reach = 3)
    {
        lease.update({.wanted = wanted, .reach = reach}, now);
    }

    group_lease lease;
    permit_issuer issuer{rule};
    std::vector<lease_change> changes;
};

class group_leases : public ::testing::Test
{
protected:
    void step(milliseconds time)
    {
        clock.advance(time);
    }

    void runBoth(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += 10ms) {
            step(10ms);
            first.run(log, clock.now());
            second.run(log, clock.now());
            EXPECT_FALSE(first.lease.isHeld(clock.now()) && second.lease.isHeld(clock.now()));
        }
    }

    // The first daemon holds the lease.
    void take()
    {
        first.want(true, clock.now());
        runBoth(2000ms);
        ASSERT_TRUE(first.lease.isHeld(clock.now()));
    }

    manual_clock clock;
    log_partition log;
    daemon first{"a"};
    daemon second{"b", 2};
};

} // namespace

// Guards against shares that exceed the rule together.
TEST(ExcessShares, AddUpToNoMoreThanTheRuleTolerates)
{
    for (const auto &limit : {large, small, tenant_limit{1000, 0}, tenant_limit{90, 144}, tenant_limit{3, 40}}) {
        const auto shares = sharesOf(rule, limit);
        const double takeovers = 4;
        const double used = shares.capacity - limit.burst + takeovers * shares.takeoverLevel
            + limit.ratePerSecond * std::chrono::duration<double>(shares.lifetime).count() + shares.withoutIssuer;
        const double tolerated = rule.overrun * (limit.ratePerSecond * 5 + limit.burst) + rule.slack;
        EXPECT_LE(used, tolerated + 1e-6) << limit.ratePerSecond;
        EXPECT_GE(shares.capacity, limit.burst);
        EXPECT_GE(shares.takeoverLevel, 0);
        EXPECT_LE(shares.lifetime, maxPermitLifetime);
    }
}

// Guards against rules without tolerance that leave no permit at all.
TEST(ExcessShares, LeaveAPermitWithoutTolerance)
{
    const auto shares = sharesOf({.window = 5000ms, .overrun = 0, .slack = 0}, small);
    EXPECT_EQ(shares.capacity, 1);
    EXPECT_EQ(shares.withoutIssuer, 0U);
}

// Guards against buckets that issue more than the rate after the burst, and against retry times that are too short.
TEST(PermitIssuer, IssuesTheBurstAndThenTheRate)
{
    manual_clock clock;
    permit_issuer issuer(rule);
    issuer.begin({.levels = {}, .levelsAt = {}, .idleSince = clock.now() - 1h, .trusted = true}, clock.now());
    const auto capacity = sharesOf(rule, large).capacity;
    int granted = 0;
    permit_grant last;
    do {
        last = issuer.take("t", large, {}, clock.now());
        granted += static_cast<int>(last.granted);
    } while (last.granted > 0);
    EXPECT_EQ(granted, static_cast<int>(capacity));
    EXPECT_FALSE(last.provisional);
    EXPECT_GT(last.retryAfter, 0ms);
    EXPECT_GT(issuer.take("t", large, {}, clock.now()).retryAfter, last.retryAfter); // Retries are spread.
    granted = 0;
    for (int i = 0; i < 1000; ++i) {
        clock.advance(1ms);
        granted += static_cast<int>(issuer.take("t", large, {}, clock.now()).granted);
    }
    EXPECT_NEAR(granted, 100, 2);
}

// Guards against a bucket of a lowered limit that still holds the permits of the former one.
TEST(PermitIssuer, LoweredLimitCountsAtOnce)
{
    manual_clock clock;
    permit_issuer issuer(rule);
    issuer.begin({.levels = {}, .levelsAt = {}, .idleSince = clock.now() - 1h, .trusted = true}, clock.now());
    ASSERT_EQ(issuer.take("t", large, {}, clock.now()).granted, 1U);
    const tenant_limit lowered{.ratePerSecond = 1, .burst = 1};
    EXPECT_LE(issuer.take("t", lowered, {}, clock.now()).level, sharesOf(rule, lowered).capacity - 1);
}

// Guards against permits for later requests that empty a bucket which others need.
TEST(PermitIssuer, IssuesExtraPermitsOnlyFromAHalfFullBucket)
{
    manual_clock clock;
    permit_issuer issuer(rule);
    issuer.begin({.levels = {}, .levelsAt = {}, .idleSince = clock.now() - 1h, .trusted = true}, clock.now());
    const auto half = sharesOf(rule, large).capacity / 2;
    EXPECT_EQ(issuer.take("t", large, {.count = 10}, clock.now()).granted, 1 + permit_issuer::maxExtraPermits);
    auto grant = issuer.take("t", large, {.count = 4}, clock.now());
    while (grant.level > half) {
        grant = issuer.take("t", large, {.count = 4}, clock.now());
    }
    EXPECT_EQ(issuer.take("t", large, {.count = 4}, clock.now()).granted, 1U);
}

// Guards against permits that a former issuer has spent and a new one issues again, and against denials that are final
// although it is not known what was spent.
TEST(PermitIssuer, BeginsLowWithoutKnowledgeOfTheFormerOne)
{
    manual_clock clock;
    permit_issuer issuer(rule);
    issuer.begin({.levels = {}, .levelsAt = {}, .idleSince = clock.now() - 100ms, .trusted = false}, clock.now());
    const double most = sharesOf(rule, large).takeoverLevel + 10;
    int granted = 0;
    permit_grant last;
    do {
        last = issuer.take("t", large, {}, clock.now());
        granted += static_cast<int>(last.granted);
    } while (last.granted > 0);
    EXPECT_LE(granted, most);
    EXPECT_TRUE(last.provisional);
    clock.advance(permit_issuer::provisionalTime);
    while (last.granted > 0 || last.provisional) {
        last = issuer.take("t", large, {}, clock.now());
    }
    EXPECT_EQ(last.granted, 0U);
}

// Guards against levels that are lost, or counted twice, when a lease is released.
TEST(PermitIssuer, ContinuesFromStatedLevels)
{
    manual_clock clock;
    permit_issuer former(rule);
    former.begin({.levels = {{"u", 2}}, .levelsAt = clock.now(), .idleSince = clock.now() - 1h, .trusted = true},
                 clock.now());
    while (former.take("t", large, {}, clock.now()).granted > 0) { }
    const auto levels = former.levels(clock.now());
    ASSERT_EQ(levels.size(), 2U);
    permit_issuer next(rule);
    next.begin({.levels = levels,
                .levelsAt = clock.now(),
                .idleSince = clock.now() - former.idleTime(clock.now()),
                .trusted = true},
               clock.now());
    EXPECT_EQ(next.take("t", large, {}, clock.now()).granted, 0U);
    EXPECT_LE(next.take("u", large, {}, clock.now()).level, 1);
    EXPECT_EQ(next.take("v", large, {}, clock.now()).level, sharesOf(rule, large).capacity - 1);
    permit_issuer doubting(rule);
    doubting.begin({.levels = levels,
                    .levelsAt = clock.now(),
                    .idleSince = clock.now() - former.idleTime(clock.now()),
                    .trusted = false},
                   clock.now());
    EXPECT_LE(doubting.take("v", large, {}, clock.now()).level, sharesOf(rule, large).takeoverLevel);
}

// Guards against a pressure that does not tell a usual load from a flood.
TEST(PermitIssuer, PressureIsTheRateOfRequestsByTheLimit)
{
    manual_clock clock;
    permit_issuer issuer(rule);
    issuer.begin({.levels = {}, .levelsAt = {}, .idleSince = clock.now() - 1h, .trusted = true}, clock.now());
    permit_grant grant;
    for (int i = 0; i < 600; ++i) {
        clock.advance(17ms); // 59 a second.
        grant = issuer.take("t", large, {}, clock.now());
    }
    EXPECT_NEAR(grant.pressure, 0.59, 0.05);
    for (int i = 0; i < 3000; ++i) {
        clock.advance(2ms);
        grant = issuer.take("t", large, {}, clock.now());
        (void)issuer.take("t", large, {.repeated = true}, clock.now());
    }
    EXPECT_NEAR(grant.pressure, 5, 0.5);
}

// Guards against records that are changed by encoding, and against a crash on corrupt ones.
TEST(LeaseRecord, RoundTrip)
{
    const lease_record record{.kind = lease_kind::Release,
                              .daemon = "a",
                              .incarnation = 7,
                              .serial = 9,
                              .reach = 79,
                              .idle = 1300ms,
                              .levels = {{"t", 0.25}, {"u", -1}}};
    const auto bytes = encodeLeaseRecord(record);
    EXPECT_EQ(decodeLeaseRecord(bytes), record);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        auto corrupt = bytes;
        corrupt[i] = static_cast<char>(~corrupt[i]);
        (void)decodeLeaseRecord(corrupt);
        (void)decodeLeaseRecord(std::string_view(bytes).substr(0, i));
    }
}

// Guards against a lease that is taken although the store may have lost the record of the one in force.
TEST_F(group_leases, AnEmptyPartitionIsNotFree)
{
    first.want(true, clock.now());
    first.run(log, clock.now());
    step(group_lease::validity);
    first.run(log, clock.now());
    EXPECT_FALSE(first.lease.isHeld(clock.now()));
    step(group_lease::margin);
    first.run(log, clock.now());
    EXPECT_TRUE(first.lease.isHeld(clock.now()));
}

// Guards against a lease that is taken while the former holder may still issue permits.
TEST_F(group_leases, IsTakenWhenThatOfASilentHolderHasRunOut)
{
    take();
    const auto validUntil = first.lease.validUntil();
    second.want(true, clock.now());
    while (!second.lease.isHeld(clock.now())) {
        step(10ms);
        second.run(log, clock.now());
    }
    EXPECT_GE(clock.now(), validUntil + group_lease::margin);
    EXPECT_LE(clock.now(), validUntil + group_lease::validity + 200ms);
    first.run(log, clock.now());
    EXPECT_FALSE(first.lease.isHeld(clock.now()));
}

// Guards against an outage of the quotas after the start of all daemons that is longer than needed.
TEST_F(group_leases, ThePartitionIsReadBeforeTheLeaseIsWanted)
{
    first.lease.update({.prepares = true}, clock.now());
    first.run(log, clock.now());
    step(group_lease::validity + group_lease::margin);
    EXPECT_FALSE(first.lease.isHeld(clock.now()));
    EXPECT_FALSE(first.lease.poll(first.issuer, clock.now()).has_value());
    first.want(true, clock.now());
    first.run(log, clock.now());
    EXPECT_TRUE(first.lease.isHeld(clock.now()));
}

// Guards against a takeover that waits longer than needed: the record was heard of in a reply of the holder.
TEST_F(group_leases, TheTimeSinceARecordWasHeardOfCounts)
{
    take();
    second.lease.onHeard(first.lease.heldRecord(), clock.now());
    const auto heardAt = clock.now();
    step(1000ms);
    second.want(true, clock.now());
    while (!second.lease.isHeld(clock.now())) {
        step(10ms);
        second.run(log, clock.now());
    }
    EXPECT_LE(clock.now(), heardAt + group_lease::validity + group_lease::margin + 10ms);
}

// Guards against a gap without an issuer, and levels that are not handed over, when the lease changes hands in order.
TEST_F(group_leases, IsHandedOverWithItsLevels)
{
    take();
    while (first.issuer.take("t", large, {}, clock.now()).granted > 0) { }
    first.want(false, clock.now());
    second.want(true, clock.now());
    runBoth(group_lease::handoverDelay + group_lease::releasePoll);
    ASSERT_TRUE(second.lease.isHeld(clock.now()));
    EXPECT_LT(second.issuer.take("t", large, {}, clock.now()).level, sharesOf(rule, large).takeoverLevel + 60);
}

// Guards against a stopping daemon that leaves a lease behind.
TEST_F(group_leases, IsReleasedAtOnceByAStoppingDaemon)
{
    take();
    first.lease.update({.wanted = false, .stopping = true}, clock.now());
    second.want(true, clock.now());
    runBoth(20ms);
    EXPECT_TRUE(second.lease.isHeld(clock.now()));
    EXPECT_TRUE(std::holds_alternative<lease_released>(first.changes.back()));
}

// Guards against a holder that is cut off from the other daemons, reaches the store and keeps the lease for good.
TEST_F(group_leases, IsLeftToADaemonThatHearsMoreOthers)
{
    take();
    first.want(true, clock.now(), 1);
    second.want(true, clock.now(), 2);
    runBoth(2 * group_lease::claimInterval);
    EXPECT_TRUE(second.lease.isHeld(clock.now()));
}

// Guards against a holder that gives way to a daemon which hears fewer others.
TEST_F(group_leases, IsKeptAgainstADaemonThatHearsFewerOthers)
{
    take();
    second.want(true, clock.now(), 1);
    runBoth(3 * group_lease::claimInterval);
    EXPECT_TRUE(first.lease.isHeld(clock.now()));
    EXPECT_EQ(first.changes.size(), 1U);
}

// Guards against a renewal that counts from the reply to it: the process may have stood still in between.
TEST_F(group_leases, IsValidFromTheStartOfTheAppend)
{
    take();
    auto renewal = first.lease.poll(first.issuer, clock.now());
    while (!renewal.has_value()) {
        step(10ms);
        renewal = first.lease.poll(first.issuer, clock.now());
    }
    const auto reply = log.execute(*renewal);
    step(group_lease::validity);
    first.lease.onReply(reply, clock.now());
    EXPECT_FALSE(first.lease.isHeld(clock.now()));
}

// Guards against an append without a reply that ends the lease although it was executed.
TEST_F(group_leases, IsRenewedByAnAppendWithoutAReply)
{
    take();
    for (int i = 0; i < 300; ++i) {
        step(10ms);
        if (auto call = first.lease.poll(first.issuer, clock.now()); call.has_value()) {
            auto reply = log.execute(*call);
            const bool isAppend = std::holds_alternative<store::append_call>(*call);
            first.lease.onReply(isAppend ? store::reply(store::failure::NoReply) : reply, clock.now());
        }
        EXPECT_TRUE(first.lease.isHeld(clock.now())) << i;
    }
}

// Guards against a store that has lost its records and lets a second daemon issue permits at once.
TEST_F(group_leases, LostRecordsAreNoRelease)
{
    take();
    second.want(true, clock.now());
    runBoth(100ms);
    log.records.clear();
    runBoth(3000ms); // Expects that no more than one holds the lease.
    EXPECT_TRUE(first.lease.isHeld(clock.now()) || second.lease.isHeld(clock.now()));
}

// Guards against a partition that grows without bound.
TEST_F(group_leases, OldRecordsAreDeleted)
{
    take();
    bool trimmed = false;
    for (int i = 0; i < 3000 && !trimmed; ++i) {
        step(10ms);
        first.run(log, clock.now());
        trimmed = first.lease.takeTrim().has_value();
    }
    EXPECT_TRUE(trimmed);
}

// Guards against permits that are used after their lifetime.
TEST(PermitStock, PermitsExpire)
{
    manual_clock clock;
    permit_stock stock(rule);
    stock.add("t", 2, {clock.now() + 300ms}, clock.now());
    EXPECT_TRUE(stock.take("t", false, clock.now()).has_value());
    EXPECT_FALSE(stock.take("u", false, clock.now()).has_value());
    clock.advance(300ms);
    EXPECT_FALSE(stock.take("t", false, clock.now()).has_value());
    EXPECT_EQ(stock.requestFor("t", large).used, 1U);
}

// Guards against extra permits that expire unused: they would be missing at other daemons.
TEST(PermitStock, AsksForWhatIsProbablyUsed)
{
    manual_clock clock;
    permit_stock stock(rule);
    (void)stock.take("t", false, clock.now());
    EXPECT_EQ(stock.requestFor("t", large).count, 1U);
    for (int i = 0; i < 200; ++i) {
        clock.advance(20ms);
        (void)stock.take("t", false, clock.now());
    }
    EXPECT_EQ(stock.requestFor("t", large).count, 1 + permit_issuer::maxExtraPermits);
}

// Guards against daemons that together admit more without permits than their share, and against shares below one that
// admit nothing.
TEST(PermitStock, AdmissionsWithoutPermitsKeepTheirShare)
{
    for (const int daemons : {1, 3, 79}) {
        manual_clock clock;
        std::size_t admitted = 0;
        for (int self = 0; self < daemons; ++self) {
            std::vector<std::string> others;
            for (int i = 0; i < daemons; ++i) {
                if (i != self) {
                    others.push_back(fmt::format("d{}", i));
                }
            }
            permit_stock stock(rule);
            while (stock.admitWithoutPermit("t", large, others, fmt::format("d{}", self), clock.now())) {
                ++admitted;
            }
            clock.advance(rule.window + 1ms);
            const bool again = stock.admitWithoutPermit("t", large, others, fmt::format("d{}", self), clock.now());
            EXPECT_TRUE(again || daemons > 35);
        }
        EXPECT_EQ(admitted, sharesOf(rule, large).withoutIssuer) << daemons;
    }
}

} // namespace jackdawpick::quotas
