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
[endpoints]
heartbeat_interval_ms = 2500
[shutdown]
limit_ms = 6000
)";

bool hasErrorFor(const parsed_gateway_settings &parsed, std::string_view key)
{
    return std::ranges::any_of(parsed.errors, [key](const settings_error &problem) { return problem.key == key; });
}

} // namespace

// Guards against values that are stored in the wrong field or not at all.
TEST(GatewaySettings, ValidTextIsRead)
{
    const auto parsed = parseGatewaySettings(valid, "f");
    ASSERT_TRUE(parsed.errors.empty()) << toString(parsed.errors.front());
    EXPECT_EQ(parsed.value.name, "front-1");
    EXPECT_EQ(parsed.value.peers, "10.0.0.1:83");
    EXPECT_EQ(parsed.value.shutdownTimeout, std::chrono::milliseconds(6000));
    EXPECT_EQ(parsed.value.endpointHeartbeat, std::chrono::milliseconds(2500));
    EXPECT_TRUE(isGatewaySettings(valid));
    EXPECT_FALSE(isGatewaySettings("[daemon]\nname = \"x\"\n"));
}

// Guards against accepting incomplete settings and against reporting only the first error.
TEST(GatewaySettings, AllErrorsAreReported)
{
    const auto parsed = parseGatewaySettings("[daemon]\nname = 3\nlog_level = \"loud\"\nunknown = 1\n"
                                             "[listen]\ncallers = \"nowhere\"\n[store]\nturn_topics = 91\n",
                                             "f");
    for (const auto *key : {"daemon.name", "daemon.zone", "daemon.log_level", "daemon.unknown", "listen.callers",
                            "listen.peers", "store.address", "store.turn_topics"}) {
        EXPECT_TRUE(hasErrorFor(parsed, key)) << key;
    }
    EXPECT_EQ(toString(parsed.errors.front()).substr(0, 2), "f:");
}

// Guards against a crash on text that is not valid TOML.
TEST(GatewaySettings, GarbageIsAnError)
{
    EXPECT_FALSE(parseGatewaySettings("a.b=value\n==", "f").errors.empty());
}

} // namespace jackdawpick
