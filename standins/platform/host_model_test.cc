#include "platform/host_model.h"

#include <gtest/gtest.h>

namespace jackdawpick::standins
{

using namespace std::chrono_literals;

namespace
{

host_entry named(const std::string &name)
{
    host_entry host;
    host.name = name;
    return host;
}

} // namespace

// Guards against a list that is too fresh: daemons must learn of leaving hosts by other ways as well.
TEST(HostModel, ChangesShowAfterTheLag)
{
    manual_clock clock;
    host_model list({.lag = 2s});
    list.replace({named("e1"), named("e2")}, clock.now());
    EXPECT_TRUE(list.visible(clock.now() + 1999ms).empty());
    clock.advance(2s);
    EXPECT_EQ(list.visible(clock.now()).size(), 2U);
    EXPECT_TRUE(list.setLeaving("e1", true, clock.now()));
    EXPECT_FALSE(list.setLeaving("e9", true, clock.now()));
    clock.advance(1s);
    list.remove("e2", clock.now());
    list.put(named("e3"), clock.now());
    clock.advance(1s);
    const auto leaving = list.visible(clock.now());
    ASSERT_EQ(leaving.size(), 2U);
    EXPECT_TRUE(leaving.at(0).leaving);
    clock.advance(1s);
    EXPECT_EQ(list.visible(clock.now()).at(1).name, "e3");
}

TEST(HostModel, LagCanBeChanged)
{
    manual_clock clock;
    host_model list({.lag = 1s});
    list.replace({named("e1")}, clock.now());
    list.faults().assign("lag_ms=5000");
    EXPECT_TRUE(list.visible(clock.now() + 4s).empty());
    EXPECT_EQ(list.visible(clock.now() + 5s).size(), 1U);
}

} // namespace jackdawpick::standins
