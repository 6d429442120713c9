#include "gateway/internal/named_daemons.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace jackdawpick::gateway::internal
{

namespace
{

constexpr int zoneCount = 5;

// Names begin with their zone, as hosts are often named.
std::vector<listed_daemon> daemonsOf(int count)
{
    std::vector<listed_daemon> daemons;
    for (int i = 0; i < count; ++i) {
        const auto zone = fmt::format("z{}", i % zoneCount);
        const auto name = fmt::format("{}-{}", zone, i);
        daemons.push_back({.name = name, .zone = zone, .callerAddress = name});
    }
    return daemons;
}

std::set<std::string> namesOf(const std::vector<listed_daemon> &daemons)
{
    std::set<std::string> names;
    std::ranges::transform(daemons, std::inserter(names, names.end()), &listed_daemon::name);
    return names;
}

} // namespace

// Guards against small deployments of which a host gets no callers.
TEST(NamedDaemons, AreAllOfFew)
{
    EXPECT_EQ(selectNamed(daemonsOf(9), "z1"), daemonsOf(9));
    EXPECT_EQ(selectNamed(daemonsOf(64), "z1"), daemonsOf(64));
}

// Guards against callers of all zones that use the hosts of the zones whose names come first, and nobody the others.
TEST(NamedDaemons, LieInTheZoneOfTheCaller)
{
    std::set<std::string> all;
    for (int zone = 0; zone < zoneCount; ++zone) {
        const auto name = fmt::format("z{}", zone);
        const auto named = selectNamed(daemonsOf(195), name);
        EXPECT_EQ(named.size(), 12U);
        EXPECT_TRUE(std::ranges::all_of(named, [&](const auto &daemon) { return daemon.zone == name; }));
        all.merge(namesOf(named));
    }
    EXPECT_EQ(all.size(), 60U);
    const auto elsewhere = selectNamed(daemonsOf(195), "unknown");
    EXPECT_EQ(elsewhere.size(), 12U);
}

// Guards against callers that all move to other hosts when one dies or comes, and against a list that depends on the
// daemon that is asked.
TEST(NamedDaemons, ChangeOnlyWhereADaemonComesOrGoes)
{
    auto daemons = daemonsOf(195);
    const auto before = namesOf(selectNamed(daemons, "z2"));
    std::ranges::reverse(daemons);
    EXPECT_EQ(namesOf(selectNamed(daemons, "z2")), before);
    std::erase_if(daemons, [&](const auto &daemon) { return daemon.name == *before.begin(); });
    auto after = namesOf(selectNamed(daemons, "z2"));
    std::erase_if(after, [&](const auto &name) { return before.contains(name); });
    EXPECT_EQ(after.size(), 1U);
}

// Guards against callers that are left with few hosts, or none, when their zone fails.
TEST(NamedDaemons, LieInOtherZonesIfTheirsHasTooFew)
{
    auto daemons = daemonsOf(195);
    std::erase_if(daemons, [left = 3](const auto &daemon) mutable { return daemon.zone == "z0" && left-- <= 0; });
    const auto named = selectNamed(daemons, "z0");
    EXPECT_EQ(named.size(), 12U);
    EXPECT_EQ(std::ranges::count(named, "z0", &listed_daemon::zone), 3);
}

// Guards against callers that are sent to hosts which have lost their paths to the endpoints, while others can serve
// them.
TEST(NamedDaemons, ReachTheEndpointsUnlessMostDoNot)
{
    auto daemons = daemonsOf(9);
    daemons[0].reachesEndpoints = false;
    EXPECT_EQ(selectNamed(daemons, "z0").size(), 8U);
    std::ranges::for_each(daemons, [](auto &daemon) { daemon.reachesEndpoints = daemon.name == "z1-1"; });
    EXPECT_EQ(selectNamed(daemons, "z0").size(), 9U);
}

} // namespace jackdawpick::gateway::internal
