#include "load/entry_list.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *body = R"({"entries": [{"daemon": "d1", "zone": "a", "address": "x:1"},
    {"daemon": "d2", "zone": "a", "address": "x:2"}, {"daemon": "d3", "zone": "b", "address": "x:3"}],
    "keep_seconds": 5})";

} // namespace

// Guards against callers that all use one daemon, or one that is far while near ones live.
TEST(EntryList, NearestZoneInTurnForItsTime)
{
    manual_clock clock;
    entry_list list({"x:9"});
    EXPECT_FALSE(list.choose("a", "", clock.now()));
    EXPECT_TRUE(list.update("a", body, clock.now()));
    EXPECT_EQ(list.choose("a", "", clock.now()), "x:1");
    EXPECT_EQ(list.choose("a", "", clock.now()), "x:2");
    EXPECT_EQ(list.choose("a", "x:1", clock.now()), "x:2") << "the address that just failed is avoided";
    EXPECT_FALSE(list.choose("a", "", clock.now() + 5s));
    EXPECT_EQ(list.sources("a"), (std::vector<std::string>{"x:1", "x:2", "x:3", "x:9"}));
    list.drop("a");
    EXPECT_FALSE(list.choose("a", "", clock.now()));
}

TEST(EntryList, RefusesAnswersWithoutAddresses)
{
    manual_clock clock;
    entry_list list({});
    for (const auto *text : {"", "[]", "{}", R"({"entries": []})", R"({"entries": ["x:1"]})"}) {
        EXPECT_FALSE(list.update("a", text, clock.now())) << text;
    }
}

} // namespace jackdawpick::standins
