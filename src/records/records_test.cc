#include "records/records.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace jackdawpick
{

namespace
{

std::string text()
{
    return *rc::gen::arbitrary<std::string>();
}

template<typename T> T number()
{
    return *rc::gen::arbitrary<T>();
}

shard_index shard()
{
    return *rc::gen::inRange<shard_index>(0, shardCount);
}

program_key key()
{
    return {text(), text()};
}

std::optional<program_key> maybeKey()
{
    return number<bool>() ? std::optional(key()) : std::nullopt;
}

execution outcome()
{
    return *rc::gen::element(execution::Ran, execution::NotRun, execution::Unknown);
}

template<typename F> auto several(F make)
{
    std::vector<decltype(make())> values(*rc::gen::inRange<std::size_t>(0, 4));
    std::generate(values.begin(), values.end(), make);
    return values;
}

daemon_identity identity()
{
    return {text(), number<std::uint64_t>()};
}

std::vector<shard_fence> fences()
{
    return several([] { return shard_fence{shard(), number<fence>()}; });
}

program_state state()
{
    program_state s;
    s.key = key();
    s.parent = maybeKey();
    s.rank = number<rank_index>();
    s.settledTurn = number<std::uint32_t>();
    s.attempt = number<std::uint32_t>();
    s.history = {number<digest>(), number<token_count>()};
    s.messageCount = number<std::uint32_t>();
    s.budget = number<token_count>();
    s.spent = number<token_count>();
    s.carved = number<token_count>();
    s.reservedAhead = number<token_count>();
    s.attainedService = number<token_count>();
    s.cacheHolders = several(text);
    s.lastTurnOffset = number<log_offset>();
    s.lastTurnJournal = text();
    s.lastContentDigest = number<digest>();
    s.lastOutcome = outcome();
    s.lastAnswer = text();
    s.closed = number<bool>();
    return s;
}

call_settled settled()
{
    call_settled r;
    r.key = key();
    r.turn = number<std::uint32_t>();
    r.attempt = number<std::uint32_t>();
    r.outcome = outcome();
    r.contentDigest = number<digest>();
    r.tokensSpent = number<token_count>();
    r.reservedAhead = number<token_count>();
    r.history = {number<digest>(), number<token_count>()};
    r.messageCount = number<std::uint32_t>();
    r.newMessages = several([] { return message{text(), text()}; });
    r.answer = text();
    r.cacheHolders = several(text);
    r.previousTurnOffset = number<log_offset>();
    r.previousTurnJournal = text();
    return r;
}

log_record recordOfType(std::size_t index)
{
    const auto u64 = [] {
        return number<std::uint64_t>();
    };
    const auto u32 = [] {
        return number<std::uint32_t>();
    };
    switch (index) {
    case 0:
        return program_opened{key(), maybeKey(), number<rank_index>(), u64()};
    case 1:
        return call_reserved{key(), u32(), u32(), text(), u64(), u64(), number<bool>()};
    case 2:
        return settled();
    case 3:
        return budget_carved{key(), key(), u64()};
    case 4:
        return budget_returned{key(), key(), u64(), u64()};
    case 5:
        return program_closed{key(), *rc::gen::element(close_reason::Requested, close_reason::ParentClosed)};
    case 6:
        return cache_released{key(), text()};
    case 7:
        return program_snapshot{state()};
    case 8:
        return shard_opened{shard(), u64()};
    case 9:
        return shards_sealed{fences(), identity()};
    case 10:
        return shard_claimed{fences(), identity(), text(), text(), text(), text(), u64()};
    case 11:
        return shard_released{fences(), identity()};
    case 12:
        return configuration_published{u64(), text(), text(), u64()};
    default:
        return configuration_renewed{u64(), text()};
    }
}

record_batch batch()
{
    record_batch result{.writer = identity(), .firstSequence = number<std::uint64_t>(), .records = {}};
    result.records =
        several([] { return recordOfType(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<log_record>)); });
    return result;
}

} // namespace

// Guards against a record type that is dropped or decoded wrongly; random batches may not contain every type.
RC_GTEST_PROP(Records, EachTypeSurvivesEncoding, ())
{
    for (std::size_t index = 0; index < std::variant_size_v<log_record>; ++index) {
        const record_batch original{.writer = identity(), .firstSequence = 1, .records = {recordOfType(index)}};
        RC_ASSERT(original.records.front().index() == index);
        RC_ASSERT(decodeBatch(encodeBatch(original)) == original);
    }
}

RC_GTEST_PROP(Records, BatchSurvivesEncoding, ())
{
    const record_batch original = batch();
    RC_ASSERT(decodeBatch(encodeBatch(original)) == original);
}

// Guards against reads outside the buffer. A mutated batch that can be decoded must survive another round trip.
RC_GTEST_PROP(Records, MutatedBytesNeverCrashTheDecoder, ())
{
    const std::string original = encodeBatch(batch());
    std::mt19937_64 random(number<std::uint64_t>());
    for (int round = 0; round < 50; ++round) {
        // Starts at an odd address, as in the middle of a larger message.
        std::string payload = "x" + original;
        for (std::uint64_t change = random() % 8; change > 0; --change) {
            payload[1 + random() % original.size()] = static_cast<char>(random());
        }
        payload.resize(1 + original.size() - random() % 3 * (random() % original.size()) / 2);
        const auto decoded = decodeBatch(std::string_view(payload).substr(1));
        // RC_ASSERT decomposes the expression, which would evaluate both sides of ||.
        const bool stable = !decoded || decodeBatch(encodeBatch(*decoded)) == decoded;
        RC_ASSERT(stable);
    }
}

RC_GTEST_PROP(Records, RandomBytesNeverCrashTheDecoder, (const std::string &payload))
{
    RC_ASSERT(!decodeBatch(payload));
}

// Guards against shard numbers outside the bounds of the shard table.
TEST(Records, ShardOutOfRangeMakesTheBatchInvalid)
{
    EXPECT_FALSE(decodeBatch(encodeBatch({{}, 1, {shard_opened{shardCount, 1}}})));
    EXPECT_FALSE(decodeBatch(encodeBatch({{}, 1, {shards_sealed{{{shardCount, 1}}, {}}}})));
}

// The estimate bounds buffers. If it were far below the encoded size, they would grow beyond their bound.
RC_GTEST_PROP(Records, EstimateIsNearTheEncodedSize, ())
{
    const record_batch original = batch();
    std::size_t estimate = 0;
    for (const auto &record : original.records) {
        estimate += estimateSize(record);
    }
    const std::size_t encoded = encodeBatch(original).size();
    RC_ASSERT(encoded <= 2 * estimate + 512);
}

} // namespace jackdawpick
