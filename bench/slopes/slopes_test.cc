#include "slopes/counting_allocator.h"
#include "slopes/reducer_driver.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

constexpr std::uint64_t seed = 20261204;

call_request firstCall(shard_index shard, std::uint32_t number)
{
    const std::vector<message> history{{"user", "When is high water?"}};
    call_request call{.program = {"wanza", fmt::format("s{}.program-{}", shard, number)},
                      .requestId = fmt::format("{}", number),
                      .rank = "urgent",
                      .path = "/v1/chat/completions"};
    call.body = std::make_shared<const std::string>(history.front().content);
    call.contentDigest = digestOf(call.requestId);
    call.kind = model_call{.model = "model", .history = digestHistory(history), .maxTokens = 64, .stream = true};
    call.messages = std::make_shared<const std::vector<message>>(history);
    return call;
}

// Guards against a count that drifts, which would show as memory of the daemon.
TEST(CountingAllocator, ReturnsToItsStart)
{
    const auto before = heapBytes();
    {
        const std::vector<std::string> texts(100, std::string(1000, 'a'));
        EXPECT_GE(heapBytes() - before, 100 * 1000);
    }
    EXPECT_EQ(heapBytes(), before);
}

// Guards against a measurement of something else than whole calls: each is answered in full and has one settle record.
TEST(ReducerDriver, CallsEndWithADurableAnswer)
{
    reducer_driver driver({.seed = seed, .listedDaemons = 340, .keepJournal = true});
    driver.start();
    const auto answer = driver.call(firstCall(driver.servedShards().front(), 1), 4);
    EXPECT_TRUE(answer.durable);
    EXPECT_EQ(answer.answer.size(), 4 * driver_options{}.answerPiece.size());
    std::size_t settled = 0;
    for (const auto &raw : driver.journal()) {
        const auto batch = decodeBatch(raw.payload);
        ASSERT_TRUE(batch);
        for (const auto &record : batch->records) {
            settled += std::holds_alternative<call_settled>(record) ? 1 : 0;
        }
    }
    EXPECT_EQ(settled, 1U);
}

// Guards against a run in which programs end by their leases while others are called: with the usual interval of 340
// daemons between appends, 2,000 calls one after the other take longer than a lease.
TEST(ReducerDriver, CallsOneAfterTheOtherOutlastNoLease)
{
    reducer_driver driver({.seed = seed, .listedDaemons = 340});
    driver.start();
    const auto shard = driver.servedShards().front();
    constexpr std::uint32_t programs = 2000;
    for (std::uint32_t i = 0; i < programs; ++i) {
        static_cast<void>(driver.call(firstCall(shard, i), 1));
    }
    EXPECT_EQ(driver.reducer().counters().programsOpened, programs);
    EXPECT_EQ(driver.reducer().counters().programsClosed, 0U);
}

} // namespace

} // namespace jackdawpick
