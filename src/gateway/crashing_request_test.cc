// Requests that crash the endpoints that run them and come again at any daemon.

#include "gateway/testing/crashing_requests.h"

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

// Guards against knowledge of a crashing request that a rolling restart wipes out daemon by daemon.
TEST_P(crashing_requests, StayKnownThroughARollingRestart)
{
    crashThree();
    restart(0, GetParam());
    world.runFor(contactWindow);
    sendCrashing(12, 0, GetParam());
    EXPECT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against knowledge of a crashing request that a crash of all daemons at once wipes out.
TEST_P(crashing_requests, StayKnownWhenAllDaemonsAreKilledAtOnce)
{
    crashThree();
    world.runFor(contactWindow);
    for (int i = 0; i < GetParam(); ++i) {
        world.kill(i);
    }
    for (int i = 0; i < GetParam(); ++i) {
        world.start(i);
    }
    world.runFor(contactWindow);
    sendCrashing(12, 0, GetParam());
    EXPECT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against daemons that never learn of crashes that they could not be told of.
TEST_P(crashing_requests, BecomeKnownToDaemonsWithoutLinks)
{
    constexpr int isolated = 3;
    for (int i = 1; i <= isolated; ++i) {
        setLinksBlocked(i, true);
    }
    world.runFor(contactWindow);
    crashThree();
    world.runFor(contactWindow);
    sendCrashing(12, 1, isolated);
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against crashes each of which another isolated daemon has seen, so that none counts to three.
TEST_P(crashing_requests, AreCountedOverDaemonsWithoutLinks)
{
    constexpr int isolated = 4;
    for (int i = 1; i <= isolated; ++i) {
        setLinksBlocked(i, true);
    }
    world.runFor(contactWindow);
    sendCrashing(24, 1, isolated, 1500ms);
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against daemons whose store does not answer and that were told nothing while they had no links.
TEST_P(crashing_requests, BecomeKnownWhenLinksAreBackWithoutTheStore)
{
    world.kill(1);
    crashThree();
    world.storeBehaviours[1].unavailable = true;
    world.start(1);
    world.runFor(contactWindow);
    sendCrashing(8, 1);
    EXPECT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against crashes that nobody counts, since the daemon that waited for the relayed response was killed.
TEST_P(crashing_requests, AreCountedByTheDaemonThatRelaysThem)
{
    losePaths();
    crashAndKillDaemon(12);
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against requests that wait for a permit and are sent although their crashes have become known meanwhile.
TEST_P(crashing_requests, AreNotSentAfterWaitingForAPermit)
{
    for (int i = 0; i < 12; ++i) {
        world.endpointLimits[fmt::format("shop-{}", i)] = 1;
    }
    for (int i = 0; i < 120; ++i) { // Uses up the permits.
        world.send(i % GetParam(), shopRequest("/pay/x", fmt::format("load-{}", i)));
        world.runFor(10ms);
    }
    for (int i = 0; i < 40; ++i) {
        world.send(i % GetParam(), crashingRequest(i));
    }
    world.runFor(3s);
    ASSERT_GE(world.crashing->crashes.size(), crashesUntilKnown);
    // Requests under way at the third crash, and those sent before the daemons have told each other.
    const auto known = world.crashing->crashes.at(crashesUntilKnown - 1) + 20ms;
    EXPECT_EQ(std::ranges::count_if(world.runs, [&](const auto &run) { return run.body == "crash" && run.at > known; }),
              0);
}

// Guards against crashes that are not counted, since the endpoint falls silent and the caller leaves.
TEST_P(crashing_requests, AreCountedWhenEndpointsFallSilent)
{
    world.crashing->sign = crash_sign::Silent;
    world.crashing->downTime = 1500ms;
    for (int i = 0; i < 12; ++i) {
        const auto &response = world.send(i % GetParam(), crashingRequest(200 + i));
        world.runFor(1s);
        world.disconnect(response);
        world.runFor(2s);
    }
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against an endpoint that counts once although it was started again and has crashed again.
TEST_P(crashing_requests, AreCountedAtAnEndpointThatKeepsItsId)
{
    for (int i = 2; i < 12; ++i) {
        world.removeEndpoint(fmt::format("shop-{}", i));
    }
    world.crashing->keepsId = true;
    world.runFor(2s);
    for (int i = 0; i < 10; ++i) {
        sendCrashing(1, i);
        world.runFor(3s);
    }
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against failures of other requests that push a crashing one out of memory.
TEST_P(crashing_requests, StayKnownWhileManyOthersFail)
{
    crashThree();
    for (int i = 0; i < 12; ++i) {
        world.endpointBehaviours[fmt::format("shop-{}", i)] = endpoint_behaviour::LosesResponse;
    }
    for (int i = 0; i < 1500; ++i) {
        auto request = shopRequest("/pay/x", fmt::format("other-{}", i));
        request.body = request.attempt;
        world.send(i % GetParam(), request);
        world.runFor(2ms);
    }
    world.endpointBehaviours.clear();
    world.runFor(6s);
    sendCrashing(12, 0, GetParam());
    EXPECT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against an error of a sick endpoint that is taken for a proof that the request does no harm.
TEST_P(crashing_requests, StayKnownAfterAnErrorResponse)
{
    sendCrashing(2);
    for (int i = 0; i < 12; ++i) {
        world.endpointBehaviours[fmt::format("shop-{}", i)] = endpoint_behaviour::Errs;
    }
    auto request = crashingRequest(300);
    world.crashing->body = "none";
    world.sendAndWait(0, request);
    world.crashing->body = "crash";
    world.endpointBehaviours.clear();
    sendCrashing(12, 0, GetParam());
    EXPECT_LE(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against crashes that are counted apart, since a later attempt belongs to another program or session.
TEST_P(crashing_requests, AreRecognisedByTheirContent)
{
    for (int i = 0; i < 12; ++i) {
        auto request = crashingRequest(400 + i);
        request.program = fmt::format("program-{}", i);
        request.session = fmt::format("session-{}", i);
        world.send(i % GetParam(), request);
        world.runFor(400ms);
    }
    EXPECT_LE(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against sound requests that are refused since endpoints answered them with a failure.
TEST_P(crashing_requests, AreNotThoseThatEndpointsFail)
{
    for (int i = 0; i < 12; ++i) {
        world.endpointBehaviours[fmt::format("shop-{}", i)] = endpoint_behaviour::FailsUnmarked;
    }
    auto request = shopRequest("/read/x", "a");
    request.program = "sound";
    for (int i = 0; i < 4; ++i) {
        request.attempt = fmt::format("a{}", i);
        world.sendAndWait(i, request);
    }
    world.endpointBehaviours.clear();
    world.runFor(6s);
    request.attempt = "after";
    EXPECT_EQ(world.sendAndWait(0, request).status, 200);
}

INSTANTIATE_TEST_SUITE_P(Daemons, crashing_requests, ::testing::Values(9, 80));

namespace
{

void runOnlyAt(gateway_world &world, const std::string &endpoint, endpoint_behaviour behaviour)
{
    for (int i = 0; i < 3; ++i) {
        world.endpointBehaviours[fmt::format("shop-{}", i)] = endpoint_behaviour::Rejects;
    }
    world.endpointBehaviours[endpoint] = behaviour;
}

} // namespace

// Guards against failures from before a success that the store returns to daemons which have heard of the success.
TEST(SoundRequest, IsNotBlockedByFailuresFromBeforeItsSuccess)
{
    gateway_world world({.daemons = 9, .shopEndpoints = 3});
    world.warmUp();
    auto request = shopRequest("/pay/x", "a");
    request.body = "sound";
    const auto send = [&](const std::string &endpoint, endpoint_behaviour behaviour) {
        runOnlyAt(world, endpoint, behaviour);
        request.attempt += "a";
        const auto &response = world.send(0, request);
        world.runFor(100ms);
        return response.status;
    };
    send("shop-0", endpoint_behaviour::LosesResponse);
    send("shop-1", endpoint_behaviour::LosesResponse);
    ASSERT_GE(world.logLinesOf("crash_record_written"), 1);
    EXPECT_EQ(send("shop-2", endpoint_behaviour::Responds), 200);
    world.runFor(5s);
    send("shop-2", endpoint_behaviour::LosesResponse);
    EXPECT_EQ(send("shop-2", endpoint_behaviour::Responds), 200);
}

} // namespace jackdawpick::gateway::testing
