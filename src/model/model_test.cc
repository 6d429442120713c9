#include "model/model.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

// Guards against a generated program id that other daemons map to a shard other than the intended one.
TEST(Model, GeneratedIdsMapToTheirShard)
{
    for (const shard_index shard : {0U, 17U, shardCount - 1}) {
        EXPECT_EQ(shardOf({"wanza", generateProgramId(shard, 0xabcdef, 3)}), shard);
    }
}

// Guards against ids that resemble generated ones but name a shard that does not exist.
TEST(Model, MalformedGeneratedIdsAreHashed)
{
    for (const auto *id : {"s1024.x", "s17", "s.1", "s99999999999.1", "start"}) {
        EXPECT_LT(shardOf({"wanza", id}), shardCount) << id;
    }
}

// Guards against a sub-agent that is placed in a shard of another daemon than the one that holds its parent's budget.
TEST(Model, SubAgentsBelongToTheShardOfTheirParent)
{
    const program_key child{"wanza", "order-17~plan~detail"};
    EXPECT_EQ(shardOf(child), shardOf({"wanza", "order-17"}));
    EXPECT_EQ(parentOf(child), (program_key{"wanza", "order-17~plan"}));
    EXPECT_FALSE(parentOf({"wanza", "order-17"}).has_value());
}

// Guards against keys whose customer and program concatenate to the same text and therefore collide.
TEST(Model, CustomerIsPartOfTheKey)
{
    const program_key one{"ab", "c"};
    const program_key two{"a", "bc"};
    EXPECT_NE(std::hash<program_key>{}(one), std::hash<program_key>{}(two));
}

// Guards against equal digests for histories that split the same text differently into messages or roles.
TEST(Model, DigestSeparatesRolesAndMessages)
{
    const auto digestOfLast = [](const std::vector<message> &messages) {
        return digestHistory(messages).back().value;
    };
    EXPECT_NE(digestOfLast({{"user", "ab"}, {"user", "c"}}), digestOfLast({{"user", "a"}, {"user", "bc"}}));
    EXPECT_NE(digestOfLast({{"user", "a"}}), digestOfLast({{"assistant", "a"}}));
}

} // namespace jackdawpick
