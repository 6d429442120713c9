// Endpoints that state in their responses that they are leaving, while the store may say nothing of it.

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// The platform's bound: no request that arrives this long after the statement was passed on may reach the endpoint.
constexpr milliseconds drainTimeout{2000};

class leaving_endpoints : public ::testing::TestWithParam<int>
{
protected:
    leaving_endpoints()
    {
        world.warmUp();
    }

    void loseStore()
    {
        for (int i = 0; i < GetParam(); ++i) {
            world.storeBehaviours[i].unavailable = true;
        }
    }

    // Sends requests to all daemons in turn.
    void load(milliseconds time)
    {
        for (const auto end = world.now() + time; world.now() < end; world.runFor(8ms)) {
            ++m_sent;
            world.send(m_sent % GetParam(), shopRequest("/pay/x", fmt::format("a{}", m_sent)));
        }
    }

    // The endpoint states from now on that it is leaving; returns when a daemon has certainly passed that on.
    void leave(const std::string &endpoint)
    {
        world.leavingEndpoints.insert(endpoint);
        load(500ms);
    }

    [[nodiscard]] std::ptrdiff_t runsAt(const std::string &endpoint, time_point since) const
    {
        return std::ranges::count_if(world.runs,
                                     [&](const auto &run) { return run.endpoint == endpoint && run.at > since; });
    }

    gateway_world world{{.daemons = GetParam(), .shopEndpoints = 4}};

private:
    int m_sent = 0;
};

} // namespace

// Guards against requests to an endpoint that has said that it leaves, while the store is away.
TEST_P(leaving_endpoints, GetNoRequestsWhileTheStoreIsAway)
{
    loseStore();
    load(1s);
    ASSERT_GT(runsAt("shop-0", {}), 0);
    leave("shop-0");
    // Told by the first response to all daemons, not learned by each of them with a request of its own.
    const auto told = world.now();
    load(6s);
    EXPECT_EQ(runsAt("shop-0", told + drainTimeout), 0);
    EXPECT_LE(runsAt("shop-0", told), 1);
}

// Guards against an endpoint that is believed to stay because only its refusals say that it leaves.
TEST_P(leaving_endpoints, AreKnownFromTheirRefusals)
{
    loseStore();
    world.endpointBehaviours["shop-0"] = endpoint_behaviour::Rejects;
    leave("shop-0");
    const int rejections = world.logLinesOf("endpoint_rejected");
    ASSERT_GT(rejections, 0);
    load(4s);
    EXPECT_LE(world.logLinesOf("endpoint_rejected"), rejections + 1);
}

// Guards against requests that reach a leaving endpoint through a peer.
TEST_P(leaving_endpoints, GetNoRelayedRequests)
{
    loseStore();
    world.endpointPaths[0] = path_behaviour::Hangs;
    load(3s);
    ASSERT_GT(world.logLinesOf("request_relayed"), 0);
    leave("shop-0");
    const auto told = world.now();
    load(6s);
    EXPECT_EQ(runsAt("shop-0", told + drainTimeout), 0);
}

// Guards against a relaying peer that has no link to the others but was told by the endpoint itself.
TEST_P(leaving_endpoints, AreKnownToADaemonWithoutLinks)
{
    loseStore();
    for (int other = 0; other < GetParam(); ++other) {
        world.blockedLinks.insert({0, other});
        world.blockedLinks.insert({other, 0});
    }
    world.leavingEndpoints.insert("shop-0");
    const auto left = world.now();
    for (int i = 0; i < 200; ++i) {
        world.send(0, shopRequest("/pay/x", fmt::format("b{}", i)));
        world.runFor(20ms);
    }
    EXPECT_EQ(runsAt("shop-0", left + 500ms + drainTimeout), 0);
}

// Guards against a daemon that forgets the statement when the entry expires in an outage and is listed again.
TEST_P(leaving_endpoints, AreNotUsedAgainWhenTheirEntryIsBack)
{
    leave("shop-0");
    world.removeEndpoint("shop-0");
    world.runFor(2s);
    world.registerEndpoint({.id = "shop-0", .service = "shop", .address = "s0", .zone = "z", .slots = 4});
    world.runFor(2s);
    const auto back = world.now();
    load(4s);
    EXPECT_EQ(runsAt("shop-0", back), 0);
}

// Guards against an endpoint that is shut out although it has started again under its id.
TEST_P(leaving_endpoints, AreUsedAgainAfterARestart)
{
    leave("shop-0");
    world.leavingEndpoints.clear();
    world.registerEndpoint({.id = "shop-0", .service = "shop", .address = "s0", .zone = "z", .slots = 4, .born = 7});
    world.runFor(2s);
    const auto restarted = world.now();
    load(4s);
    EXPECT_GT(runsAt("shop-0", restarted), 0);
}

// Guards against a statement of an endpoint that has the address now, taken for one of the endpoint that was meant.
TEST_P(leaving_endpoints, SpeakOnlyForThemselves)
{
    world.endpointBehaviours["shop-0"] = endpoint_behaviour::IsAnother;
    leave("shop-0");
    world.endpointBehaviours.clear();
    world.leavingEndpoints.clear();
    world.removeEndpoint("shop-0");
    world.runFor(2s);
    world.registerEndpoint({.id = "shop-0", .service = "shop", .address = "s9", .zone = "z", .slots = 4});
    world.runFor(2s);
    const auto back = world.now();
    load(4s);
    EXPECT_GT(runsAt("shop-0", back), 0);
}

// Guards against a restarted daemon that has to hear it from the endpoint once more.
TEST_P(leaving_endpoints, AreKnownToARestartedDaemon)
{
    leave("shop-0");
    world.runFor(2s);
    world.kill(1);
    world.start(1);
    world.runFor(3s);
    const auto restarted = world.now();
    load(4s);
    EXPECT_EQ(runsAt("shop-0", restarted), 0);
}

// Guards against requests that wait for their deadline when all endpoints of a service are leaving.
TEST_P(leaving_endpoints, OfAWholeServiceLeadToImmediateRefusals)
{
    for (int i = 0; i < 4; ++i) {
        world.leavingEndpoints.insert(fmt::format("shop-{}", i));
    }
    load(4s);
    world.runFor(1s);
    const auto sent = world.now();
    const auto &response = world.send(0, shopRequest("/pay/x", "last"));
    world.runFor(100ms);
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.retryAfter.has_value());
    EXPECT_LT(response.endedAt - sent, 50ms);
    EXPECT_EQ(world.runsOf("last"), 0);
}

INSTANTIATE_TEST_SUITE_P(Daemons, leaving_endpoints, ::testing::Values(9, 80));

} // namespace jackdawpick::gateway::testing
