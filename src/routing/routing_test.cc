#include "routing/routing.h"

#include <gtest/gtest.h>

namespace jackdawpick::routing
{

namespace
{

configuration twoHosts()
{
    configuration source;
    source.routes = {{.name = "all", .host = "a", .pathPrefix = "/"},
                     {.name = "deep", .host = "a", .pathPrefix = "/x/y/"},
                     {.name = "shallow", .host = "a", .pathPrefix = "/x/"},
                     {.name = "other", .host = "b", .pathPrefix = "/x/"}};
    source.services = {{.name = "pool"}};
    return source;
}

} // namespace

// Guards against matching a shorter prefix because it was declared first.
TEST(Routing, LongestPrefixOfTheHostWins)
{
    const route_table table(twoHosts());
    EXPECT_EQ(table.find("a", "/x/y/z")->name, "deep");
    EXPECT_EQ(table.find("a", "/x/z")->name, "shallow");
    EXPECT_EQ(table.find("a", "/x")->name, "all");
    EXPECT_EQ(table.find("b", "/x/y/")->name, "other");
}

// Guards against matching a route of another host.
TEST(Routing, UnknownHostOrPathHasNoRoute)
{
    const route_table table(twoHosts());
    EXPECT_EQ(table.find("b", "/y/"), nullptr);
    EXPECT_EQ(table.find("c", "/x/"), nullptr);
    EXPECT_EQ(route_table().find("a", "/"), nullptr);
    EXPECT_EQ(table.findService("none"), nullptr);
    EXPECT_NE(table.findService("pool"), nullptr);
}

// Guards against selecting a service with weight 0, and against selecting none at the upper end of the range.
TEST(Routing, ServicesAreSelectedByWeight)
{
    const route split{.services = {{"a", 3}, {"none", 0}, {"b", 1}}};
    EXPECT_EQ(chooseService(split, 0), "a");
    EXPECT_EQ(chooseService(split, 0.74), "a");
    EXPECT_EQ(chooseService(split, 0.75), "b");
    EXPECT_EQ(chooseService(split, 0.999999), "b");
    EXPECT_EQ(chooseService(route{}, 0.5), "");
}

} // namespace jackdawpick::routing
