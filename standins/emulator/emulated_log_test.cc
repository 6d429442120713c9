#include "emulator/emulated_log.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

// Guards against an emulator that accepts what the platform refuses: a conditional append to a partition that moved on.
TEST(EmulatedLog, ConditionIsChecked)
{
    emulated_log log;
    EXPECT_TRUE(log.append("t", 1, {"a", "b"}, 0).done);
    const auto refused = log.append("t", 1, {"c"}, 1);
    EXPECT_FALSE(refused.done);
    EXPECT_EQ(refused.end, 2U);
    const auto done = log.append("t", 1, {"c"}, 2);
    EXPECT_EQ(done.offset, 2U);
    EXPECT_EQ(log.read("t", 1, 1), (std::vector<std::string>{"b", "c"}));
    EXPECT_EQ(log.read("t", 2, 0), std::vector<std::string>{});
}

// Guards against removed keys that stay in the list, and records that survive their deletion.
TEST(EmulatedLog, KeysAndTrims)
{
    emulated_log log;
    log.put("keyed.x", "k", "1");
    log.put("keyed.x", "l", "2");
    log.put("keyed.x", "k", "3");
    log.put("keyed.x", "l", "");
    const auto entries = log.newest("keyed.x", 0);
    ASSERT_EQ(entries.size(), 1U);
    EXPECT_EQ(entries[0].value, "3");
    EXPECT_EQ(entries[0].offset, 2U);
    log.trim("keyed.x", 0, 3);
    EXPECT_EQ(log.read("keyed.x", 0, 2), std::nullopt);
    EXPECT_EQ(log.first("keyed.x", 0), 3U);
    EXPECT_EQ(splitKeyed(""), std::nullopt);
    EXPECT_EQ(splitKeyed("\x05"
                         "ab"),
              std::nullopt);
}

} // namespace jackdawpick::standins
