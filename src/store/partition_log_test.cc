#include "store/partition_log.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace jackdawpick::store
{

namespace
{

using namespace std::chrono_literals;

const partition where{"programs-0", 3};

// Fake of one partition of the platform's log. Tests decide when a call is executed and whether it gets a reply.
struct fake_partition
{
    std::vector<std::string> records;
    std::uint64_t first = 0;

    reply execute(const call &call)
    {
        if (const auto *add = std::get_if<append_call>(&call)) {
            const auto offset = records.size();
            records.insert(records.end(), add->records.begin(), add->records.end());
            return appended{offset};
        }
        const auto &read = std::get<read_call>(call);
        if (read.from < first) {
            return expired{first};
        }
        records_read result{.end = records.size()};
        for (auto offset = read.from; offset < records.size(); ++offset) {
            result.records.push_back({.offset = offset, .key = {}, .value = records[offset]});
        }
        return result;
    }
};

class partition_log_test : public ::testing::Test
{
protected:
    void collect()
    {
        for (auto &output : log.takeOutputs()) {
            if (auto *started = std::get_if<start_call>(&output)) {
                calls.push_back(*started);
            } else if (auto *records = std::get_if<deliver_records>(&output)) {
                delivered.insert(delivered.end(), records->records.begin(), records->records.end());
            } else {
                results.push_back(std::get<ticket_result>(output));
            }
        }
    }

    void replyTo(std::size_t index)
    {
        const start_call next = calls.at(index);
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
        log.onReply(next.id, store.execute(next.what), clock.now());
        collect();
    }

    void replyToAll()
    {
        collect();
        while (!calls.empty()) {
            replyTo(0);
        }
    }

    [[nodiscard]] bool done(ticket_id ticket) const
    {
        return std::ranges::any_of(results,
                                   [&](const ticket_result &entry) { return entry.ticket == ticket && entry.done; });
    }

    manual_clock clock;
    partition_log log;
    fake_partition store;
    std::vector<start_call> calls;
    std::vector<record> delivered;
    std::vector<ticket_result> results;
};

} // namespace

// Guards against making one call per record while an append is in progress.
TEST_F(partition_log_test, AppendsAreGrouped)
{
    const auto first = log.append(where, "a", clock.now() + 1s);
    const auto second = log.append(where, "b", clock.now() + 1s);
    const auto third = log.append(where, "c", clock.now() + 1s);
    collect();
    ASSERT_EQ(calls.size(), 1U);
    replyTo(0);
    EXPECT_TRUE(done(first));
    EXPECT_FALSE(done(second));
    ASSERT_EQ(calls.size(), 1U);
    replyTo(0);
    EXPECT_TRUE(done(second) && done(third));
    EXPECT_EQ(store.records, (std::vector<std::string>{"a", "b", "c"}));
}

// Guards against reporting a turn as unknown because a read that started before the catch-up stopped at the old end.
TEST_F(partition_log_test, CatchUpNeedsAReadThatStartedLater)
{
    log.catchUp(where, clock.now() + 1s);
    collect();
    const auto early = calls.at(0);
    const auto stale = store.execute(early.what);
    store.records.emplace_back("new");
    const auto ticket = log.catchUp(where, clock.now() + 1s);
    calls.clear();
    log.onReply(early.id, stale, clock.now());
    collect();
    EXPECT_FALSE(done(ticket));
    replyToAll();
    EXPECT_TRUE(done(ticket));
    ASSERT_EQ(delivered.size(), 1U);
}

// Guards against a record that is read once and never again, although whoever got it has forgotten it.
TEST_F(partition_log_test, RewoundRecordsAreDeliveredOnceMore)
{
    store.records = {"a", "b", "c", "d"};
    log.catchUp(where, clock.now() + 1s);
    replyToAll();
    ASSERT_EQ(delivered.size(), 4U);
    EXPECT_FALSE(log.isRewound(where));
    log.rewind(where, 2);
    log.rewind(where, 3); // Later than the one before.
    EXPECT_TRUE(log.isRewound(where));
    const auto ticket = log.catchUp(where, clock.now() + 1s);
    replyToAll();
    EXPECT_TRUE(done(ticket));
    EXPECT_FALSE(log.isRewound(where));
    ASSERT_EQ(delivered.size(), 6U);
    EXPECT_EQ(delivered.at(4).offset, 2U);
    EXPECT_EQ(delivered.at(5).offset, 3U);
}

// Guards against a rewind that is lost because a read from a later offset was under way.
TEST_F(partition_log_test, RewindDuringAReadHolds)
{
    store.records = {"a", "b"};
    log.catchUp(where, clock.now() + 1s);
    replyToAll();
    store.records.emplace_back("c");
    const auto ticket = log.catchUp(where, clock.now() + 1s);
    collect();
    log.rewind(where, 0);
    replyToAll();
    EXPECT_TRUE(done(ticket));
    EXPECT_FALSE(log.isRewound(where));
    ASSERT_EQ(delivered.size(), 5U);
    EXPECT_EQ(delivered.at(2).offset, 0U);
    EXPECT_EQ(delivered.at(4).offset, 2U);
}

// Guards against losing an append whose reply was lost.
TEST_F(partition_log_test, AppendWithoutReplyIsSentAgain)
{
    const auto ticket = log.append(where, "own", clock.now() + 1s);
    collect();
    log.onReply(calls.at(0).id, failure::NoReply, clock.now());
    calls.clear();
    clock.advance(partition_log::retryDelay);
    log.tick(clock.now());
    replyToAll();
    EXPECT_TRUE(done(ticket));
}

// Guards against failing an append at once because the store has no room at the moment.
TEST_F(partition_log_test, AppendToAFullStoreIsSentAgain)
{
    const auto ticket = log.append(where, "own", clock.now() + 1s);
    collect();
    log.onReply(calls.at(0).id, failure::Full, clock.now());
    calls.clear();
    collect();
    EXPECT_TRUE(results.empty());
    clock.advance(partition_log::retryDelay);
    log.tick(clock.now());
    replyToAll();
    EXPECT_TRUE(done(ticket));
}

// Guards against waiting beyond the deadline for a store that stays unavailable.
TEST_F(partition_log_test, DeadlineEndsAppendsAndReads)
{
    const auto added = log.append(where, "own", clock.now() + 100ms);
    const auto read = log.catchUp(where, clock.now() + 100ms);
    collect();
    for (const auto &open : std::exchange(calls, {})) {
        log.onReply(open.id, failure::Refused, clock.now());
    }
    clock.advance(100ms);
    log.tick(clock.now());
    collect();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_TRUE(std::ranges::none_of(results, &ticket_result::done));
    EXPECT_FALSE(done(added));
    EXPECT_FALSE(done(read));
}

// Guards against a partition that can no longer be read once its oldest records have expired.
TEST_F(partition_log_test, ReadContinuesAfterExpiredRecords)
{
    store.records = {"a", "b", "c"};
    store.first = 2;
    const auto ticket = log.catchUp(where, clock.now() + 1s);
    replyToAll();
    EXPECT_TRUE(done(ticket));
    ASSERT_EQ(delivered.size(), 1U);
    EXPECT_EQ(delivered[0].offset, 2U);
}

// Guards against duplicate, reordered or missing records, with replies in random order and lost calls.
TEST_F(partition_log_test, EachRecordIsDeliveredOnceInOrder)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(seed);
        log = {};
        store = {};
        calls.clear();
        delivered.clear();
        results.clear();
        std::mt19937 random(seed);
        std::size_t tickets = 0;
        for (int step = 0; step < 60; ++step) {
            const auto choice = random() % 6;
            if (choice == 0) {
                log.append(where, "own", clock.now() + 1h);
                ++tickets;
            } else if (choice == 1) {
                log.catchUp(where, clock.now() + 1h);
                ++tickets;
            } else if (choice == 2) {
                store.records.emplace_back("other");
            } else if (choice == 3 && !calls.empty()) {
                const auto lost = calls.at(random() % calls.size());
                std::erase_if(calls, [&](const start_call &entry) { return entry.id == lost.id; });
                if (random() % 2 == 0) {
                    store.execute(lost.what);
                }
                log.onReply(lost.id, failure::NoReply, clock.now());
            } else if (!calls.empty()) {
                replyTo(random() % calls.size());
            }
            clock.advance(20ms);
            log.tick(clock.now());
            collect();
        }
        while (results.size() < tickets) {
            clock.advance(50ms);
            log.tick(clock.now());
            replyToAll();
        }
        EXPECT_TRUE(std::ranges::all_of(results, &ticket_result::done));
        for (std::size_t i = 0; i < delivered.size(); ++i) {
            ASSERT_EQ(delivered[i].offset, i);
            ASSERT_EQ(delivered[i].value, store.records[i]);
        }
    }
}

} // namespace jackdawpick::store
