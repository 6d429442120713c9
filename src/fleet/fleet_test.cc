#include "fleet/fleet.h"

#include <gtest/gtest.h>
#include <set>

namespace jackdawpick::fleet
{

namespace
{

using namespace std::chrono_literals;

class fleet_test : public ::testing::Test
{
protected:
    fleet_test()
    {
        pool.announce({.id = "a", .service = "llm", .address = "1:1", .zone = "z1", .slots = 2}, clock.now());
        pool.announce({.id = "b", .service = "llm", .address = "1:2", .zone = "z1", .slots = 2}, clock.now());
        pool.announce({.id = "c", .service = "shop", .address = "1:3", .zone = "z1", .slots = 2}, clock.now());
    }

    std::string chosen(const placement_request &request, double noise = 0)
    {
        const auto where = pool.choose(request, noise, clock.now());
        return where.has_value() ? where->id : "";
    }

    manual_clock clock;
    endpoint_pool pool;
    const placement_request model{.service = "llm", .zone = "z1", .outputTokens = 250};
};

} // namespace

// Guards against requests that reach an endpoint of another service.
TEST_F(fleet_test, OnlyEndpointsOfTheServiceAreChosen)
{
    EXPECT_EQ(chosen({.service = "shop", .zone = "z1"}), "c");
    EXPECT_EQ(chosen({.service = "none", .zone = "z1"}), "");
}

// Guards against new work on endpoints that are draining, leaving or gone.
TEST_F(fleet_test, LeavingEndpointsGetNothing)
{
    pool.announce({.id = "a", .service = "llm", .address = "1:1", .slots = 2, .draining = true}, clock.now());
    EXPECT_EQ(chosen(model), "b");
    pool.markLeaving("b");
    EXPECT_EQ(chosen(model), "");
    pool.announce({.id = "d", .service = "llm", .address = "1:4", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "d");
    pool.withdraw("d", false, clock.now());
    EXPECT_EQ(chosen(model), "");
}

// Guards against refusing everything because the entries of living endpoints lapsed while the store was away.
TEST_F(fleet_test, LapsedEntriesStayForTheGrace)
{
    pool.keepOnly({}, true, clock.now());
    EXPECT_NE(chosen(model), "");
    clock.advance(endpoint_pool::lapseGrace);
    EXPECT_EQ(chosen(model), "");
    pool.announce({.id = "a", .service = "llm", .address = "1:1", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "a");
}

// Guards against daemons that all fill the same endpoint because they see their own requests only.
TEST_F(fleet_test, LoadsOfPeersCount)
{
    pool.setPeerLoads("peer", {{"a", 2}}, clock.now());
    EXPECT_EQ(chosen(model), "b");
    pool.setPeerLoads("peer", {{"b", 2}}, clock.now());
    EXPECT_EQ(chosen(model), "a");
    clock.advance(3s); // The report is too old.
    pool.onDispatched("a", model, clock.now());
    EXPECT_EQ(chosen(model), "b");
}

// Guards against prompts that are read again although an equally loaded engine has them cached.
TEST_F(fleet_test, CachedPromptPartsAttract)
{
    placement_request prompt = model;
    prompt.prompt = {{"shared", 12600}, {"own", 400}};
    pool.onDispatched("b", prompt, clock.now());
    pool.onFinished("b", finish::Cancelled, 0ms, clock.now());
    EXPECT_EQ(chosen(prompt), "b");
}

// Guards against an endpoint that gets request after request although it cannot be reached.
TEST_F(fleet_test, UnreachableEndpointsArePaused)
{
    pool.onDispatched("a", model, clock.now());
    pool.onFinished("a", finish::Unreachable, 0ms, clock.now());
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(chosen(model, 0.1 * i), "b");
    }
    placement_request other = model;
    other.excluded = {"b"};
    EXPECT_EQ(chosen(other), "a"); // Better than nothing.
}

// Guards against more connections than an endpoint accepts from all daemons.
TEST_F(fleet_test, ConnectionsAreSharedAmongDaemons)
{
    pool.setConnectionLimit("shop", 10, 4); // Two for each daemon.
    const placement_request shop{.service = "shop", .zone = "z1"};
    pool.onDispatched("c", shop, clock.now());
    EXPECT_EQ(chosen(shop), "c");
    pool.onDispatched("c", shop, clock.now());
    EXPECT_EQ(chosen(shop), "");
    pool.onFinished("c", finish::Answered, 10ms, clock.now());
    EXPECT_EQ(chosen(shop), "c");
}

// Guards against requests for one object that are spread over all endpoints.
TEST_F(fleet_test, AffinityPrefersOneEndpointWhileItIsNotBusier)
{
    placement_request request = model;
    request.affinity = "object-1";
    std::set<std::string> used;
    for (int i = 0; i < 10; ++i) {
        used.insert(chosen(request, 0.1 * i));
    }
    EXPECT_EQ(used.size(), 1U);
    pool.setPeerLoads("peer", {{*used.begin(), 4}}, clock.now());
    EXPECT_NE(chosen(request), *used.begin());
}

} // namespace jackdawpick::fleet
