#include "soak/soak_world.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

soak_report runSeed(std::uint64_t seed, const soak_options &options)
{
    return soak_world(seed, options).run();
}

// Seeds until the check notices; a mechanism whose loss no history shows has no check.
bool noticed(sabotage broken)
{
    soak_options options;
    options.broken = broken;
    constexpr std::uint64_t seedsToTry = 40;
    for (std::uint64_t seed = 1; seed <= seedsToTry; ++seed) {
        if (!runSeed(seed, options).faults.empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST(Soak, CalmHistoryHasNoRefusals)
{
    const auto report = runSeed(1, {.faults = false});
    EXPECT_EQ(report.faults, std::vector<std::string>{});
    EXPECT_EQ(report.turns, 48U);
}

// Guards against lost, mixed, doubled or reordered calls under crashes, freezes, outages, drains and cut links.
TEST(Soak, RandomHistoriesKeepWhatMustHold)
{
    // The sanitizers slow a history down to several seconds; scripts/soak runs the long series.
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        ASSERT_EQ(runSeed(seed, {}).faults, std::vector<std::string>{});
    }
}

// Guards against faults that these seeds found: a frozen owner that refuses a turn its successor has passed (220,
// 1504), a forwarded call on a silent link (403), and a turn that begins before the one before it is durable (4510).
TEST(Soak, SeedsThatFoundFaultsStayClean)
{
    for (const std::uint64_t seed : {220U, 403U, 1504U, 4510U}) {
        ASSERT_EQ(runSeed(seed, {}).faults, std::vector<std::string>{});
    }
}

// Guards against checks that cannot fail.
TEST(Soak, ChecksNoticeBrokenMechanisms)
{
    for (const auto broken : {sabotage::DropReleases, sabotage::CrossAnswers, sabotage::RepeatDispatch,
                              sabotage::HideSeals, sabotage::DropReceipts}) {
        EXPECT_TRUE(noticed(broken)) << nameOf(broken);
    }
}

} // namespace jackdawpick
