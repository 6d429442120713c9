#include "gateway_settings/gateway_settings.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

const std::string valid = R"([daemon]
name = "front-1"
zone = "a"
[listen]
callers = "10.0.0.1:80"
directory = "10.0.0.1:81"
readiness = "10.0.0.1:82"
peers = "10.0.0.1:83"
[store]
address = "10.0.0.9:90"
[shutdown]
limit_ms = 6000
)";

bool names(const parsed_gateway_settings &parsed, std::string_view key)
{
    return std::ranges::any_of(parsed.errors, [key](const settings_error &problem) { return problem.key == key; });
}

} // namespace

// Guards against values that do not arrive where they are used.
TEST(GatewaySettings, ValidTextIsRead)
{
    const auto parsed = parseGatewaySettings(valid, "f");
    ASSERT_TRUE(parsed.errors.empty()) << toString(parsed.errors.front());
    EXPECT_EQ(parsed.value.name, "front-1");
    EXPECT_EQ(parsed.value.peers, "10.0.0.1:83");
    EXPECT_EQ(parsed.value.shutdownLimit, std::chrono::milliseconds(6000));
    EXPECT_TRUE(isGatewaySettings(valid));
    EXPECT_FALSE(isGatewaySettings("[daemon]\nname = \"x\"\n"));
}

// Guards against a daemon that starts with half of its settings, or names only the first error.
TEST(GatewaySettings, AllErrorsAreNamed)
{
    const auto parsed = parseGatewaySettings("[daemon]\nname = 3\nlog_level = \"loud\"\nunknown = 1\n"
                                             "[listen]\ncallers = \"nowhere\"\n[store]\nturn_topics = 91\n",
                                             "f");
    for (const auto *key : {"daemon.name", "daemon.zone", "daemon.log_level", "daemon.unknown", "listen.callers",
                            "listen.peers", "store.address", "store.turn_topics"}) {
        EXPECT_TRUE(names(parsed, key)) << key;
    }
    EXPECT_EQ(toString(parsed.errors.front()).substr(0, 2), "f:");
}

// Guards against a crash on text that is no TOML.
TEST(GatewaySettings, GarbageIsAnError)
{
    EXPECT_FALSE(parseGatewaySettings("a.b=value\n==", "f").errors.empty());
}

} // namespace jackdawpick
