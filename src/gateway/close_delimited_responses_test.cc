// Responses that have neither a length nor chunks and end with their connection, as a crash may end them too.

#include "gateway/testing/crashing_requests.h"

namespace jackdawpick::gateway::testing
{

using namespace std::chrono_literals;

namespace
{

class close_delimited_responses : public crashing_requests
{
protected:
    void setShopBehaviour(endpoint_behaviour behaviour)
    {
        for (int i = 0; i < 12; ++i) {
            world.endpointBehaviours[fmt::format("shop-{}", i)] = behaviour;
        }
    }

    void setEngineBehaviour(endpoint_behaviour behaviour)
    {
        for (int i = 0; i < 4; ++i) {
            world.endpointBehaviours[fmt::format("engine-{}", i)] = behaviour;
        }
    }

    // A request of another caller with the content of the crashing one. It crashes nothing.
    std::uint16_t sendOfAnotherCaller(int daemon)
    {
        auto request = crashingRequest(0);
        request.attempt = fmt::format("other-{}", ++m_others);
        request.program = "other";
        return world.sendAndWait(daemon, request).status;
    }

private:
    int m_others = 0;
};

} // namespace

// Guards against a crash that ends a response without a length and is taken for a success.
TEST_P(close_delimited_responses, CrashesBetweenEventsAreCounted)
{
    world.crashing->sign = crash_sign::EndBetweenEvents;
    sendCrashing(30, 0, GetParam());
    EXPECT_GE(world.crashing->crashes.size(), crashesUntilKnown);
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against a crash in the middle of an event that is taken for the end of a response.
TEST_P(close_delimited_responses, CrashesInsideEventsAreCounted)
{
    world.crashing->sign = crash_sign::EndInsideEvent;
    sendCrashing(12, 0, GetParam());
    EXPECT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
}

// Guards against a connection that ends in order and withdraws the crashes that are known.
TEST_P(close_delimited_responses, UnprovenEndClearsNoCrashes)
{
    sendCrashing(2);
    world.crashing->sign = crash_sign::EndBetweenEvents;
    sendCrashing(1, 1);
    world.crashing->sign = crash_sign::Lost;
    sendCrashing(20, 0, GetParam());
    // The endpoint that ended its connection in order is not known to have crashed when the last one is lost.
    EXPECT_LE(world.crashing->crashes.size(), crashesUntilKnown + 1);
}

// Guards against crashes that nobody counts, since a peer relays the response and the daemon of the caller is killed.
TEST_P(close_delimited_responses, RelayedCrashesAreCounted)
{
    losePaths();
    world.crashing->sign = crash_sign::EndBetweenEvents;
    crashAndKillDaemon(12);
    EXPECT_LE(runsAfterWindow(), allowedRetries);
}

// Guards against another caller whose success withdraws the crashes of a request with the same content.
TEST_P(close_delimited_responses, SuccessOfAnotherCallerClearsNoCrashes)
{
    world.crashing->attemptPrefix = "crash-";
    sendCrashing(2);
    EXPECT_EQ(sendOfAnotherCaller(1), 200);
    sendCrashing(2, 2);
    EXPECT_EQ(sendOfAnotherCaller(1), 200);
    sendCrashing(20, 0, GetParam());
    EXPECT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
    EXPECT_EQ(sendOfAnotherCaller(1), 200);
}

// Guards against a sound request that is never freed, since its responses always end with their connection.
TEST_P(close_delimited_responses, SoundRequestIsFreedWhenItsEndpointsLiveOn)
{
    world.crashing->body = "none";
    int number = 500;
    const auto send = [&](endpoint_behaviour behaviour) {
        setShopBehaviour(behaviour);
        return world.sendAndWait(0, crashingRequest(++number)).status;
    };
    send(endpoint_behaviour::LosesResponse);
    send(endpoint_behaviour::LosesResponse);
    EXPECT_EQ(send(endpoint_behaviour::EndsWithConnection), 200);
    world.runFor(15s);
    send(endpoint_behaviour::LosesResponse);
    send(endpoint_behaviour::LosesResponse);
    EXPECT_EQ(send(endpoint_behaviour::EndsWithConnection), 200);
    EXPECT_EQ(world.logLinesOf("request_blocked"), 0);
}

// Guards against a sound request that is refused, since its responses end with their connection again and again.
TEST_P(close_delimited_responses, SoundRequestIsNotBlockedByUnprovenEnds)
{
    world.crashing->body = "none";
    setShopBehaviour(endpoint_behaviour::EndsWithConnection);
    for (int i = 0; i < 30; ++i) {
        const auto &response = world.send(i % GetParam(), crashingRequest(i));
        world.runFor(300ms);
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.complete);
    }
}

// Guards against a stream that breaks off inside an event and reaches its caller as a whole one.
TEST_P(close_delimited_responses, StreamThatEndsInsideAnEventIsAborted)
{
    setEngineBehaviour(endpoint_behaviour::EndsInsideEvent);
    const auto &response = world.sendAndWait(0, modelTurn("program-1", "a"));
    EXPECT_TRUE(response.aborted);
    EXPECT_FALSE(response.complete);
    EXPECT_EQ(response.body, "id: 1\ndata: a-1\n\nid: 2\ndata: a-2\n\n");
}

// Guards against a turn that broke off and is kept as if it were whole.
TEST_P(close_delimited_responses, TurnThatEndsInsideAnEventIsNotStored)
{
    setEngineBehaviour(endpoint_behaviour::EndsInsideEvent);
    world.sendAndWait(0, modelTurn("program-1", "a"));
    setEngineBehaviour(endpoint_behaviour::Responds);
    EXPECT_EQ(world.sendAndWait(1, modelTurn("program-1", "b", 1000, "a")).status, 404);
    EXPECT_EQ(world.runsOf("b"), 0);
}

// Guards against the same for a turn that a peer relays.
TEST_P(close_delimited_responses, RelayedStreamThatEndsInsideAnEventIsAborted)
{
    losePaths();
    setEngineBehaviour(endpoint_behaviour::EndsInsideEvent);
    const auto &response = world.sendAndWait(0, modelTurn("program-1", "a"));
    ASSERT_EQ(world.runsOf("a"), 1);
    EXPECT_TRUE(response.aborted);
    setEngineBehaviour(endpoint_behaviour::Responds);
    EXPECT_EQ(world.sendAndWait(1, modelTurn("program-1", "b", 1000, "a")).status, 404);
}

// Guards against whole turns that are lost because their responses end with their connection.
TEST_P(close_delimited_responses, TurnThatEndsBetweenEventsIsStored)
{
    setEngineBehaviour(endpoint_behaviour::EndsWithConnection);
    const auto &response = world.sendAndWait(0, modelTurn("program-1", "a"));
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(world.sendAndWait(1, modelTurn("program-1", "b", 1000, "a")).status, 200);
    ASSERT_EQ(world.runsOf("b"), 1);
    EXPECT_EQ(world.runs.back().body, "in:a\n" + eventTextOf("a") + "in:b\n");
}

// Guards against a torn response to a request that another endpoint could have answered whole.
TEST_P(close_delimited_responses, LostPartOfAnIdempotentResponseIsNotForwarded)
{
    for (int i = 0; i < 11; ++i) {
        world.endpointBehaviours[fmt::format("shop-{}", i)] = endpoint_behaviour::Rejects;
    }
    world.endpointBehaviours["shop-0"] = endpoint_behaviour::LosesPartWithoutLength;
    for (int i = 0; i < 20; ++i) {
        const auto attempt = fmt::format("read-{}", i);
        const auto &response = world.sendAndWait(0, shopRequest("/read/x", attempt));
        EXPECT_FALSE(response.aborted) << attempt;
        if (response.status == 200) {
            EXPECT_EQ(response.body, "done:" + attempt);
        }
    }
    EXPECT_GE(world.logLinesOf("endpoint_failed"), 1);
}

INSTANTIATE_TEST_SUITE_P(Daemons, close_delimited_responses, ::testing::Values(9, 80));

} // namespace jackdawpick::gateway::testing
