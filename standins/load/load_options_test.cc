#include "load/load_options.h"

#include "results/results.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

using namespace std::chrono_literals;

TEST(LoadOptions, ReadsAllSections)
{
    const auto options = parseLoadOptions(R"(
seed = 7
model = "tide-7b"
zones = ["a", "b"]
[[rank]]
name = "urgent"
programs_per_second = 2.5
[[flood]]
rank = "urgent"
start_ms = 1000
end_ms = 2000
factor = 5
[pause]
median_ms = 50
[services]
names = ["payments"]
non_idempotent_share = 1
)",
                                          "load.toml");
    EXPECT_EQ(options.seed, 7U);
    EXPECT_EQ(options.zones, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(options.ranks.at(0).programsPerSecond, 2.5);
    EXPECT_EQ(options.floods.at(0).end, 2s);
    EXPECT_EQ(options.pauseMedian, 50ms);
    EXPECT_EQ(options.nonIdempotentShare, 1);
}

// Guards against a misspelt key that silently keeps its default, and against reports of only the first error.
TEST(LoadOptions, ReportsAllErrorsAtOnce)
{
    try {
        (void)parseLoadOptions(
            "modle = \"x\"\nprograms = 0\n[[rank]]\nname = 3\n[chain]\nmin_turns = 9\nmax_turns = 3\n", "load.toml");
        FAIL();
    } catch (const error &problem) {
        const std::string text = problem.what();
        for (const auto *expected : {"modle: unknown key", "programs: expected", "rank[0].name: expected",
                                     "model: expected", "chain.max_turns: expected"}) {
            EXPECT_NE(text.find(expected), std::string::npos) << expected << " in\n" << text;
        }
    }
    EXPECT_THROW((void)parseLoadOptions("seed = = 1", "load.toml"), error);
}

} // namespace jackdawpick::standins
