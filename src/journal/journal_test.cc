#include "journal/journal.h"
#include "testing/fake_log.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jackdawpick
{

using namespace std::chrono_literals;

namespace
{

program_closed recordNumber(std::uint64_t number)
{
    return {{"customer", std::to_string(number)}, close_reason::Requested};
}

std::uint64_t numberOf(const log_record &record)
{
    return std::stoull(std::get<program_closed>(record).key.program);
}

const append_request *appendIn(const std::vector<log_request> &requests)
{
    for (const auto &request : requests) {
        if (const auto *append = std::get_if<append_request>(&request)) {
            return append;
        }
    }
    return nullptr;
}

const read_request *readIn(const std::vector<log_request> &requests)
{
    for (const auto &request : requests) {
        if (const auto *read = std::get_if<read_request>(&request)) {
            return read;
        }
    }
    return nullptr;
}

struct stream_fixture : testing::Test
{
    manual_clock clock;
    daemon_identity self{"a", 1};
    log_stream stream{"s", self, {}};
};

} // namespace

using LogStream = stream_fixture;

// Guards against one append per record, which would exceed the log's rate limit.
TEST_F(LogStream, RecordsSubmittedTogetherShareOneAppend)
{
    for (std::uint64_t i = 1; i <= 3; ++i) {
        EXPECT_EQ(stream.submit(recordNumber(i), clock.now()), i);
    }
    const auto requests = stream.poll(clock.now());
    ASSERT_NE(appendIn(requests), nullptr);
    EXPECT_EQ(decodeBatch(appendIn(requests)->payload)->records.size(), 3);
    stream.submit(recordNumber(4), clock.now());
    clock.advance(500ms);
    EXPECT_EQ(appendIn(stream.poll(clock.now())), nullptr) << "a second append while the first is in flight";
}

// Guards against a resend with records added or renumbered: readers deduplicate by sequence number and would lose the
// added records.
TEST_F(LogStream, ResendHasTheSameContentAndFollowsARead)
{
    stream.submit(recordNumber(1), clock.now());
    const std::string first = appendIn(stream.poll(clock.now()))->payload;
    stream.submit(recordNumber(2), clock.now());
    stream.onAppend({"s", std::nullopt}, clock.now());
    clock.advance(1s);
    auto requests = stream.poll(clock.now());
    EXPECT_EQ(appendIn(requests), nullptr) << "resent without reading";
    ASSERT_NE(readIn(requests), nullptr);
    EXPECT_TRUE(stream.onRead({.stream = "s", .ok = true, .records = {}}, clock.now()).empty());
    requests = stream.poll(clock.now());
    ASSERT_NE(appendIn(requests), nullptr);
    EXPECT_EQ(appendIn(requests)->payload, first);
}

// Guards against a second copy in the log when only the response was lost.
TEST_F(LogStream, BatchWithLostResponseIsConfirmedByReading)
{
    stream.submit(recordNumber(1), clock.now());
    const std::string payload = appendIn(stream.poll(clock.now()))->payload;
    clock.advance(1s);
    ASSERT_NE(readIn(stream.poll(clock.now())), nullptr);
    EXPECT_FALSE(stream.healthy());
    const auto records =
        stream.onRead({.stream = "s", .ok = true, .records = {{1, payload}}, .first = 1, .end = 2}, clock.now());
    ASSERT_EQ(records.size(), 1);
    EXPECT_TRUE(records.front().own);
    EXPECT_TRUE(stream.healthy());
    EXPECT_EQ(stream.unconfirmedRecords(), 0);
    clock.advance(10s);
    EXPECT_TRUE(stream.poll(clock.now()).empty());
}

// Guards against a late response to an earlier append letting the next batch overtake one that is not in the stream.
TEST_F(LogStream, ResponseAloneDoesNotConfirmABatch)
{
    stream.submit(recordNumber(1), clock.now());
    ASSERT_NE(appendIn(stream.poll(clock.now())), nullptr);
    stream.submit(recordNumber(2), clock.now());
    stream.onAppend({"s", 7}, clock.now());
    clock.advance(1s);
    const auto requests = stream.poll(clock.now());
    EXPECT_EQ(appendIn(requests), nullptr);
    EXPECT_NE(readIn(requests), nullptr);
    EXPECT_EQ(stream.unconfirmedRecords(), 2);
}

// Guards against overloading a log that is down: the retry delay doubles up to its bound, and unhealthySince() keeps
// the time of the first failure.
TEST_F(LogStream, FailedReadsBackOffExponentially)
{
    stream.requestRead();
    std::vector<std::int64_t> gaps;
    time_point last = clock.now();
    for (int i = 0; i < 7; ++i) {
        ASSERT_NE(readIn(stream.poll(clock.now())), nullptr);
        gaps.push_back(millisecondsBetween(last, clock.now()).count());
        last = clock.now();
        EXPECT_TRUE(stream.onRead({.stream = "s", .ok = false, .records = {}}, clock.now()).empty());
        clock.advanceTo(*stream.nextDeadline());
    }
    EXPECT_EQ(gaps, (std::vector<std::int64_t>{0, 200, 400, 800, 1600, 2000, 2000}));
    EXPECT_EQ(stream.unhealthySince(), time_point(1h));
}

TEST_F(LogStream, BufferBoundIsReportedAndRecordsBeyondItAreKept)
{
    stream = log_stream("s", self, {.maxBufferedBytes = 1000});
    while (!stream.full()) {
        stream.submit(recordNumber(1), clock.now());
    }
    const auto before = stream.unconfirmedRecords();
    stream.submit(recordNumber(2), clock.now());
    EXPECT_EQ(stream.unconfirmedRecords(), before + 1);
}

// Guards against continuing silently after records expired unread. The first read of a trimmed stream misses none.
TEST_F(LogStream, ExpiredRecordsAreReportedOnlyAfterAFirstRead)
{
    EXPECT_TRUE(stream.onRead({.stream = "s", .ok = true, .records = {}, .first = 5, .end = 5}, clock.now()).empty());
    EXPECT_FALSE(stream.missedRecords());
    EXPECT_TRUE(stream.onRead({.stream = "s", .ok = true, .records = {}, .first = 9, .end = 9}, clock.now()).empty());
    EXPECT_TRUE(stream.missedRecords());
    EXPECT_EQ(stream.readPosition(), 9);
}

// Guards against skipping records when a response belongs to a read from a later position.
TEST_F(LogStream, ResponseFromALaterPositionIsIgnored)
{
    stream.requestRead();
    const std::string payload = encodeBatch({{"b", 1}, 9, {recordNumber(9)}});
    ASSERT_NE(readIn(stream.poll(clock.now())), nullptr);
    EXPECT_TRUE(
        stream.onRead({.stream = "s", .ok = true, .records = {{9, payload}}, .first = 1, .end = 10}, clock.now())
            .empty());
    EXPECT_EQ(stream.readPosition(), 1);
}

// Several writers over one log with lost, delayed and refused requests and outages. Every reader must see each writer's
// records exactly once and in order, and must have seen all of them some time after the faults end.
TEST(LogStreamRandom, EachRecordArrivesOnceAndInOrderAtEveryReader)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        const fake_log_options faults{
            .loseRequest = 0.1, .loseAnswer = 0.15, .delay = 0.15, .lateBy = 4000ms, .appendsPerSecond = 40};
        fake_log log(seed, faults);
        manual_clock clock;
        std::mt19937_64 random(seed);
        constexpr std::size_t writers = 3;
        std::vector<log_stream> streams;
        std::vector<std::array<std::vector<std::uint64_t>, writers>> seen(writers);
        for (std::size_t i = 0; i < writers; ++i) {
            static_cast<void>(log.addClient());
            streams.emplace_back("s", daemon_identity{"w", i}, stream_options{.pollInterval = 300ms, .readLimit = 5});
        }
        std::uint64_t submitted = 0;
        const time_point end = clock.now() + 60s;
        for (; clock.now() < end; clock.advance(5ms)) {
            const bool faultFree = clock.now() + 25s > end;
            log.setOutage(!faultFree && (clock.now().time_since_epoch() / 1s) % 10 == 7);
            log.setOptions(faultFree ? fake_log_options{} : faults);
            for (std::size_t i = 0; i < writers; ++i) {
                const bool frozen =
                    !faultFree && (clock.now().time_since_epoch() / 1s) % 12 == static_cast<std::int64_t>(3 + i);
                if (frozen) {
                    continue;
                }
                if (!faultFree && random() % 20 == 0) {
                    streams[i].submit(recordNumber(++submitted * writers + i), clock.now());
                }
                for (const auto &answer : log.takeAnswers(i, clock.now())) {
                    if (const auto *read = std::get_if<read_result>(&answer)) {
                        for (const auto &record : streams[i].onRead(*read, clock.now())) {
                            const auto number = numberOf(record.record);
                            ASSERT_EQ(number % writers, record.writer.incarnation);
                            seen[i].at(number % writers).push_back(number);
                        }
                    } else {
                        streams[i].onAppend(std::get<append_result>(answer), clock.now());
                    }
                }
                for (const auto &request : streams[i].poll(clock.now())) {
                    log.send(i, request, clock.now());
                }
            }
        }
        for (std::size_t i = 0; i < writers; ++i) {
            std::size_t total = 0;
            for (const auto &numbers : seen[i]) {
                total += numbers.size();
                EXPECT_TRUE(std::ranges::is_sorted(numbers, std::ranges::less_equal{}));
            }
            EXPECT_EQ(total, submitted);
            EXPECT_EQ(streams[i].unconfirmedRecords(), 0);
            EXPECT_TRUE(streams[i].healthy());
        }
        ASSERT_FALSE(HasFailure());
    }
}

} // namespace jackdawpick
