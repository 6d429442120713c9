#include "model/model.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

// Guards against a minted id that another daemon would look for in another shard.
TEST(Model, MintedIdsFallIntoTheirShard)
{
    for (const shard_index shard : {0U, 17U, shardCount - 1}) {
        EXPECT_EQ(shardOf({"wanza", mintProgramId(shard, 0xabcdef, 3)}), shard);
    }
}

// Guards against ids that only look minted and name a shard that does not exist.
TEST(Model, IdsThatOnlyLookMintedAreHashed)
{
    for (const auto *id : {"s1024.x", "s17", "s.1", "s99999999999.1", "start"}) {
        EXPECT_LT(shardOf({"wanza", id}), shardCount) << id;
    }
}

// Guards against a sub-agent whose budget is carved out in a shard that another daemon owns.
TEST(Model, SubAgentsLiveInTheShardOfTheirParent)
{
    const program_key child{"wanza", "order-17~plan~detail"};
    EXPECT_EQ(shardOf(child), shardOf({"wanza", "order-17"}));
    EXPECT_EQ(parentOf(child), (program_key{"wanza", "order-17~plan"}));
    EXPECT_FALSE(parentOf({"wanza", "order-17"}).has_value());
}

// Guards against programs of two customers with the same id sharing state or a hash by construction.
TEST(Model, CustomerIsPartOfTheKey)
{
    const program_key one{"ab", "c"};
    const program_key two{"a", "bc"};
    EXPECT_NE(std::hash<program_key>{}(one), std::hash<program_key>{}(two));
}

// Guards against a history that moves text between messages yet keeps its digest.
TEST(Model, DigestSeparatesRolesAndMessages)
{
    const auto digestOfLast = [](const std::vector<message> &messages) {
        return digestHistory(messages).back().value;
    };
    EXPECT_NE(digestOfLast({{"user", "ab"}, {"user", "c"}}), digestOfLast({{"user", "a"}, {"user", "bc"}}));
    EXPECT_NE(digestOfLast({{"user", "a"}}), digestOfLast({{"assistant", "a"}}));
}

} // namespace jackdawpick
