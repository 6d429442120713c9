#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

void setStoreUnavailable(gateway_world &world, int daemons, bool unavailable)
{
    for (int i = 0; i < daemons; ++i) {
        world.storeBehaviours[i].unavailable = unavailable;
    }
}

} // namespace

// Guards against a history that reaches the engine incomplete, in the wrong order or from another branch.
TEST(Turns, HistoryIsRebuiltOnAnyDaemon)
{
    gateway_world world({.daemons = 3});
    world.warmUp();
    auto &first = world.send(0, modelTurn("p", "a"));
    world.runFor(1s);
    ASSERT_TRUE(first.complete);
    EXPECT_EQ(first.status, 200);
    auto &second = world.send(1, modelTurn("p", "b", 1000, "a"));
    auto &branch = world.send(2, modelTurn("p", "c", 1000, "a"));
    world.runFor(1s);
    ASSERT_TRUE(second.complete && branch.complete);
    auto &third = world.send(2, modelTurn("other", "d", 1000, "b"));
    world.runFor(1s);
    ASSERT_TRUE(third.complete);
    const auto chain = "in:a\n" + eventTextOf("a") + "in:b\n";
    ASSERT_EQ(world.runs.size(), 4U);
    EXPECT_EQ(world.runs.back().body, chain + eventTextOf("b") + "in:d\n");
    const auto ofBranch = std::ranges::find(world.runs, "c", &endpoint_run::attempt);
    EXPECT_EQ(ofBranch->body, "in:a\n" + eventTextOf("a") + "in:c\n");
}

// Guards against a turn that is lost because all daemons crash right after the end of its response.
TEST(Turns, SurviveACrashOfAllDaemons)
{
    gateway_world world({.daemons = 2});
    world.warmUp();
    auto &first = world.send(0, modelTurn("p", "a"));
    while (!first.ended()) {
        world.runFor(1ms);
    }
    ASSERT_TRUE(first.complete);
    world.kill(0);
    world.kill(1);
    world.start(0);
    world.start(1);
    world.warmUp();
    auto &second = world.send(1, modelTurn("p", "b", 1000, "a"));
    world.runFor(1s);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(world.runs.back().body, "in:a\n" + eventTextOf("a") + "in:b\n");
}

// Guards against a 404 for a turn that may exist, because the store could not be read.
TEST(Turns, UnknownTurnIsReportedOnlyAfterARead)
{
    gateway_world world({.daemons = 1});
    world.warmUp();
    auto &unknown = world.send(0, modelTurn("p", "b", 1000, "never"));
    world.runFor(1s);
    EXPECT_EQ(unknown.status, 404);
    setStoreUnavailable(world, 1, true);
    auto &uncertain = world.send(0, modelTurn("p", "c", 1000, "never"));
    world.runFor(3s);
    EXPECT_EQ(uncertain.status, 503);
    EXPECT_EQ(world.runsOf("b") + world.runsOf("c"), 0);
}

// Guards against ending a response before its turn is in the store: a crash would then lose the turn.
TEST(Turns, EndOfResponseWaitsForTheStore)
{
    gateway_world world({.daemons = 1});
    world.warmUp();
    auto &response = world.send(0, modelTurn("p", "a"));
    world.runFor(40ms);
    setStoreUnavailable(world, 1, true);
    world.runFor(500ms);
    EXPECT_FALSE(response.ended());
    EXPECT_NE(response.body.find("a-3"), std::string::npos); // Events are forwarded without waiting for the store.
    setStoreUnavailable(world, 1, false);
    world.runFor(1300ms);
    EXPECT_TRUE(response.complete);
}

// Guards against aborted responses while some topics of the store are unavailable, and against losing their turns.
TEST(Turns, AreWrittenToTheFallbackPartition)
{
    gateway_world world({.daemons = 2});
    world.warmUp();
    auto &probe = world.send(0, modelTurn("p", "a")); // Shows the topic of turn a.
    world.runFor(1s);
    ASSERT_TRUE(probe.complete);
    for (const auto &topic : world.topics()) {
        if (topic.starts_with("turns")) {
            world.unavailableTopics.insert(topic);
        }
    }
    auto &again = world.send(0, modelTurn("p", "a"));
    world.runFor(1500ms);
    ASSERT_TRUE(again.complete);
    world.kill(0);
    world.kill(1);
    world.start(0);
    world.start(1);
    world.warmUp();
    auto &next = world.send(1, modelTurn("q", "b", 1000, "a"));
    world.runFor(2s);
    EXPECT_EQ(next.status, 200);
    auto &unknown = world.send(1, modelTurn("q", "c", 1000, "never"));
    world.runFor(2s);
    EXPECT_EQ(unknown.status, 404);
}

// Guards against a store that fills up with turns: normal load writes 400 MB within minutes.
TEST(Turns, OldOnesAreDeleted)
{
    gateway_world world({.daemons = 1, .parts = 1, .turnTopics = 1});
    world.warmUp();
    std::string previous;
    for (int i = 0; i < 120; ++i) {
        const auto attempt = fmt::format("a{}", i);
        auto &response = world.send(0, modelTurn(fmt::format("p{}", i), attempt, 1000, i % 3 == 0 ? "" : previous));
        world.runFor(3s);
        ASSERT_EQ(response.status, 200) << i;
        previous = attempt;
    }
    EXPECT_LT(world.recordCount("turns"), 31U); // 120 turns in 360 s; they are deleted within 90 s.
    EXPECT_GT(world.recordCount("turns"), 25U); // Those of the last 75 s must still be there.
    world.kill(0);
    world.start(0);
    world.warmUp();
    auto &kept = world.send(0, modelTurn("q", "b", 1000, "a100")); // 60 s old.
    world.runFor(1s);
    EXPECT_EQ(kept.status, 200);
}

// Guards against a stream that ends normally although its turn could not be written.
TEST(Turns, UnwrittenTurnAbortsTheResponse)
{
    gateway_world world({.daemons = 1});
    world.warmUp();
    auto &response = world.send(0, modelTurn("p", "a"));
    world.runFor(40ms);
    setStoreUnavailable(world, 1, true);
    world.runFor(4s);
    EXPECT_TRUE(response.aborted);
    EXPECT_FALSE(response.complete);
}

// Guards against programs that exceed their budget with concurrent requests to several daemons.
TEST(Budgets, HoldAcrossConcurrentTurnsAndRestarts)
{
    gateway_world world({.daemons = 3});
    world.warmUp();
    std::vector<caller_response *> responses;
    responses.reserve(9);
    for (int i = 0; i < 9; ++i) {
        responses.push_back(
            &world.send(i % 3, modelTurn("p", fmt::format("a{}", i), 200))); // Room for three of 60 tokens.
    }
    world.runFor(2s);
    const auto granted = std::ranges::count(responses, 200, &caller_response::status);
    const auto denied = std::ranges::count(responses, 402, &caller_response::status);
    EXPECT_EQ(granted, 3);
    EXPECT_EQ(denied, 6);
    EXPECT_EQ(world.runs.size(), 3U);
    world.kill(0);
    world.kill(1);
    world.kill(2);
    world.start(0);
    world.warmUp();
    // 90 of 200 tokens are spent, which leaves room for one reservation of 60 at a time.
    auto &fourth = world.send(0, modelTurn("p", "b", 200));
    world.runFor(1s);
    EXPECT_EQ(fourth.status, 200);
    auto &fifth = world.send(0, modelTurn("p", "c", 200));
    world.runFor(1s);
    EXPECT_EQ(fifth.status, 200); // 120 spent.
    auto &sixth = world.send(0, modelTurn("p", "d", 200));
    world.runFor(1s);
    EXPECT_EQ(sixth.status, 402); // 150 spent.
}

// Guards against not counting the events of a response that was aborted.
TEST(Budgets, CountEventsDeliveredBeforeAConnectionLoss)
{
    gateway_world world({.daemons = 1, .engineEndpoints = 1, .eventsPerTurn = 4});
    world.warmUp();
    world.endpointBehaviours["engine-0"] = endpoint_behaviour::TruncatesResponse;
    auto &broken = world.send(0, modelTurn("p", "a", 80));
    world.runFor(1s);
    EXPECT_TRUE(broken.aborted); // After 2 events, 20 tokens.
    world.endpointBehaviours.clear();
    auto &next = world.send(0, modelTurn("p", "b", 80));
    world.runFor(1s);
    EXPECT_EQ(next.status, 200); // 20 + 60 fit; afterwards 60 are spent.
    auto &last = world.send(0, modelTurn("p", "c", 80));
    world.runFor(1s);
    EXPECT_EQ(last.status, 402);
}

// Guards against a payment that runs twice, and against telling the caller that it has not run when it may have.
TEST(Retries, NonIdempotentRequestRunsAtMostOnce)
{
    for (const auto behaviour :
         {endpoint_behaviour::LosesResponse, endpoint_behaviour::TruncatesResponse, endpoint_behaviour::Hangs}) {
        gateway_world world({.daemons = 1});
        world.warmUp();
        world.endpointBehaviours["shop-0"] = behaviour;
        world.endpointBehaviours["shop-1"] = behaviour;
        auto &response = world.send(0, shopRequest("/pay/1", "a"));
        world.runFor(4s);
        EXPECT_EQ(world.runsOf("a"), 1);
        EXPECT_TRUE(response.ended());
        EXPECT_NE(response.status, 503);
        EXPECT_FALSE(response.complete && response.status == 200);
    }
}

// Guards against failing a payment that no endpoint has run while another endpoint could run it.
TEST(Retries, RejectedRequestIsDispatchedToAnotherEndpoint)
{
    for (const auto behaviour : {endpoint_behaviour::Rejects, endpoint_behaviour::Unreachable}) {
        gateway_world world({.daemons = 1});
        world.warmUp();
        world.endpointBehaviours["shop-0"] = behaviour;
        for (int i = 0; i < 6; ++i) {
            auto &response = world.send(0, shopRequest("/pay/1", fmt::format("a{}", i)));
            world.runFor(500ms);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.body, fmt::format("done:a{}", i));
        }
        world.endpointBehaviours["shop-1"] = behaviour;
        auto &refused = world.send(0, shopRequest("/pay/1", "b"));
        world.runFor(500ms);
        EXPECT_EQ(refused.status, 503);
        EXPECT_TRUE(refused.retryAfter.has_value());
        EXPECT_EQ(world.runsOf("b"), 0);
    }
}

// Guards against reads that fail although another endpoint could serve them.
TEST(Retries, IdempotentRequestIsRetriedOnAnotherEndpoint)
{
    for (const auto behaviour : {endpoint_behaviour::LosesResponse, endpoint_behaviour::TruncatesResponse}) {
        gateway_world world({.daemons = 1});
        world.warmUp();
        world.endpointBehaviours["shop-0"] = behaviour;
        for (int i = 0; i < 6; ++i) {
            auto &response = world.send(0, shopRequest("/read/1", fmt::format("a{}", i)));
            world.runFor(500ms);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.body, fmt::format("done:a{}", i));
        }
    }
}

// Guards against a refusal that says "not run" for a request that endpoints have run and no further one can take.
TEST(Retries, RequestThatMayHaveRunIsNotRefusedAsNotRun)
{
    for (const auto second : {endpoint_behaviour::LosesResponse, endpoint_behaviour::Rejects}) {
        gateway_world world({.daemons = 1});
        world.warmUp();
        world.endpointBehaviours["shop-0"] = endpoint_behaviour::LosesResponse;
        world.endpointBehaviours["shop-1"] = second;
        int runs = 0;
        for (int i = 0; i < 6; ++i) {
            const auto attempt = fmt::format("a{}", i);
            const auto &response = world.sendAndWait(0, shopRequest("/read/1", attempt));
            ASSERT_TRUE(response.ended());
            runs += world.runsOf(attempt);
            if (world.runsOf(attempt) > 0) {
                EXPECT_EQ(response.refusal, result_code::OutcomeUnknown) << attempt;
                EXPECT_FALSE(response.retryAfter.has_value());
            }
        }
        EXPECT_GT(runs, 0);
    }
}

// Guards against a request that crashes one endpoint after another, also when its retries arrive at different daemons.
TEST(Retries, RequestThatCrashesEndpointsIsBlocked)
{
    gateway_world world({.daemons = 3, .shopEndpoints = 6});
    world.warmUp();
    for (int i = 0; i < 6; ++i) {
        world.endpointBehaviours[fmt::format("shop-{}", i)] = endpoint_behaviour::LosesResponse;
    }
    auto request = shopRequest("/pay/", "a0");
    request.body = "crash";
    constexpr int repetitions = 20;
    int runs = 0;
    for (int i = 0; i < repetitions; ++i) {
        request.attempt = fmt::format("a{}", i);
        const auto &response = world.sendAndWait(i % 3, request);
        runs += world.runsOf(request.attempt);
        if (i >= 10) {
            EXPECT_EQ(response.refusal, result_code::RequestBlocked);
            EXPECT_EQ(world.runsOf(request.attempt), 0);
        }
    }
    EXPECT_LE(runs, 6);
    world.endpointBehaviours.clear();
    auto other = shopRequest("/pay/", "b");
    other.body = "harmless";
    EXPECT_EQ(world.sendAndWait(0, other).status, 200);
}

// Guards against engines that keep generating for a caller that has disconnected.
TEST(Callers, DisconnectCancelsTheDispatch)
{
    gateway_world world({.daemons = 1});
    world.warmUp();
    const auto &response = world.send(0, modelTurn("p", "a"));
    world.runFor(40ms);
    ASSERT_EQ(world.runsOf("a"), 1);
    world.disconnect(response);
    EXPECT_EQ(world.cancelledAttempts, std::vector<std::string>{"a"});
    EXPECT_EQ(world.core(0).status(world.now()).openRequests, 0U);
}

// Guards against requests that stay open past the timeout of their route.
TEST(Callers, GetAResponseAtTheDeadline)
{
    gateway_world world({.daemons = 1});
    world.warmUp();
    world.endpointBehaviours["engine-0"] = endpoint_behaviour::Hangs;
    world.endpointBehaviours["engine-1"] = endpoint_behaviour::Hangs;
    const auto began = world.now();
    auto &response = world.send(0, modelTurn("p", "a"));
    world.runFor(5s);
    EXPECT_EQ(response.status, 504);
    EXPECT_LE(response.endedAt - began, 3250ms);
}

// Guards against a daemon that refuses all turns because the store refuses or ignores its calls but serves its peers.
TEST(Store, CallsAreRelayedByAPeerIfTheDirectPathFails)
{
    for (const bool refuses : {true, false}) {
        gateway_world world({.daemons = 3});
        world.warmUp();
        world.storeBehaviours[0].refuses = refuses;
        world.storeBehaviours[0].unavailable = !refuses;
        world.runFor(3s);
        auto &response = world.send(0, modelTurn("p", "a"));
        world.runFor(2s);
        EXPECT_EQ(response.status, 200) << describe(response.refusal.value_or(result_code::Ok)).name << " refuses "
                                        << refuses;
        EXPECT_TRUE(response.complete);
        auto next = world.send(0, modelTurn("p", "b", 1000, "a"));
        auto changed = routing::configuration{.version = 5, .routes = {}, .services = {}};
        world.publish(changed);
        world.runFor(2s);
        auto &unrouted = world.send(0, shopRequest("/read/1", "c"));
        world.runFor(500ms);
        EXPECT_EQ(unrouted.status, 404); // The new configuration, which has no routes, is in force.
    }
}

// Guards against refusing programs when the daemon that decides on their budget has just lost the store while the other
// daemons still reach it (inc-1322 of klitvagt-serve: 55 refusals while one daemon was cut off).
TEST(Store, BudgetIsDecidedElsewhereIfTheDeciderLosesIt)
{
    gateway_world world({.daemons = 3});
    world.warmUp();
    world.storeBehaviours[1].unavailable = true;
    std::vector<caller_response *> responses;
    responses.reserve(60);
    for (int i = 0; i < 60; ++i) {
        responses.push_back(&world.send(i % 2 == 0 ? 0 : 2, modelTurn(fmt::format("p{}", i), fmt::format("a{}", i))));
        world.runFor(20ms);
    }
    world.runFor(3s);
    EXPECT_TRUE(std::ranges::all_of(
        responses, [](const auto *response) { return response->status == 200 && response->complete; }));
}

// Guards against turns that wait for a store known to be unavailable, and against refusals without a retry delay.
TEST(Store, TurnsAreRefusedAtOnceWhileItIsUnavailable)
{
    gateway_world world({.daemons = 2});
    world.warmUp();
    setStoreUnavailable(world, 2, true);
    world.runFor(4s);
    const auto began = world.now();
    auto &refused = world.send(0, modelTurn("p", "a"));
    auto &served = world.send(0, shopRequest("/pay/1", "b")); // Does not use the store.
    world.runFor(200ms);
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.retryAfter.has_value());
    EXPECT_LE(refused.endedAt - began, 50ms);
    EXPECT_EQ(served.status, 200);
    setStoreUnavailable(world, 2, false);
    world.runFor(2s);
    auto &again = world.send(0, modelTurn("p", "c"));
    world.runFor(1s);
    EXPECT_EQ(again.status, 200);
}

// Guards against store calls that time out and are repeated again and again because the store has become slow. A turn
// needs one call before its dispatch and one after it.
TEST(Store, SlowRepliesAreAwaited)
{
    constexpr auto slow = 240ms;
    gateway_world world({.daemons = 3});
    world.warmUp();
    ASSERT_TRUE(world.sendAndWait(0, modelTurn("p", "first", 10000))
                    .complete); // Reads the budgets of the partition, which happens once.
    for (int i = 0; i < 3; ++i) {
        world.storeBehaviours[i].delay = slow;
    }
    constexpr int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        const auto began = world.now();
        const auto &response = world.send(round % 3, modelTurn("p", fmt::format("a{}", round), 10000));
        world.runFor(2s);
        ASSERT_TRUE(response.complete) << round;
        if (round >= 3) { // By now each daemon has adapted to the slow store.
            EXPECT_EQ(response.status, 200) << round;
            EXPECT_LE(response.endedAt - began, 2 * slow + 250ms) << round;
        }
    }
}

// Guards against a return to an older configuration, and against a wrong status before the first one is read.
TEST(Configuration, VersionsOnlyIncrease)
{
    gateway_world world({.daemons = 1});
    world.runFor(1ms);
    auto &early = world.send(0, shopRequest("/read/1", "a"));
    world.runFor(3s);
    EXPECT_EQ(early.status, 503); // Not 404: the routes are not known yet.
    world.publish({.version = 9, .routes = {}, .services = {}});
    world.runFor(2s);
    world.publish({.version = 8,
                   .routes = {{.name = "r", .host = "h", .pathPrefix = "/read/", .services = {{"shop", 1}}}},
                   .services = {}});
    world.runFor(2s);
    auto &late = world.send(0, shopRequest("/read/1", "b"));
    world.runFor(500ms);
    EXPECT_EQ(late.status, 404);
}

// Guards against dispatches to an endpoint more than two seconds after it announced that it is draining.
TEST(Endpoints, DrainingOnesGetNoRequestsAfterTwoSeconds)
{
    gateway_world world({.daemons = 1, .shopEndpoints = 1});
    world.warmUp();
    world.registerEndpoint(
        {.id = "shop-0", .service = "shop", .address = "s0", .zone = "z", .slots = 4, .draining = true});
    world.runFor(1500ms);
    auto &refused = world.send(0, shopRequest("/read/1", "a"));
    world.runFor(200ms);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(world.runsOf("a"), 0);
}

// Guards against keeping an endpoint in use that left right after an outage, as if its entry had expired (hunt-90d3-3
// and hunt-222a-11 of klitvagt-serve: DRAIN), and against refusing all requests when all entries expire in an outage.
TEST(Endpoints, OnlyEntriesRemovedTogetherMayHaveExpired)
{
    gateway_world world({.daemons = 1, .engineEndpoints = 4, .shopEndpoints = 2});
    world.warmUp();
    setStoreUnavailable(world, 1, true);
    world.runFor(3s);
    setStoreUnavailable(world, 1, false);
    world.removeEndpoint("shop-0");
    world.runFor(2s); // From now on the endpoint that left must get no requests.
    for (int i = 0; i < 10; ++i) {
        world.send(0, shopRequest("/read/1", fmt::format("a{}", i)));
    }
    world.runFor(500ms);
    EXPECT_EQ(std::ranges::count(world.runs, "shop-0", &endpoint_run::endpoint), 0);

    setStoreUnavailable(world, 1, true);
    world.runFor(3s);
    for (const auto *id : {"engine-0", "engine-1", "engine-2", "engine-3", "shop-1"}) {
        world.removeEndpoint(id);
    }
    setStoreUnavailable(world, 1, false);
    world.runFor(1s);
    auto &served = world.send(0, shopRequest("/read/1", "b"));
    world.runFor(500ms);
    EXPECT_EQ(served.status, 200);
    world.runFor(2500ms);
    auto &refused = world.send(0, shopRequest("/read/1", "c"));
    world.runFor(500ms);
    EXPECT_EQ(refused.status, 503);
}

// Guards against an overload in which all programs start and finish late: new programs must be refused as not run, with
// a retry delay, and running programs must continue.
TEST(Overload, RefusesNewProgramsAndServesRunningOnes)
{
    gateway_world world({.daemons = 2});
    world.warmUp();
    ASSERT_TRUE(world.sendAndWait(0, modelTurn("under-way", "a")).complete);
    world.endpointBehaviours = {{"engine-0", endpoint_behaviour::Hangs}, {"engine-1", endpoint_behaviour::Hangs}};
    constexpr int programs = 60;
    for (int i = 0; i < programs; ++i) {
        world.send(i % 2, modelTurn(fmt::format("flood-{}", i), fmt::format("f{}", i)));
        world.runFor(20ms);
    }
    const auto &newProgram = world.sendAndWait(0, modelTurn("begins", "b"));
    EXPECT_EQ(newProgram.status, 503);
    EXPECT_EQ(newProgram.refusal, result_code::EnginesFull);
    EXPECT_GT(newProgram.retryAfter, 0ms);
    EXPECT_EQ(world.runsOf("b"), 0);
    const auto &running = world.sendAndWait(1, modelTurn("under-way", "c", 1000, "a"));
    EXPECT_EQ(running.status, 0);
    EXPECT_EQ(world.runsOf("c"), 1);
    // The engines have free slots again.
    world.endpointBehaviours.clear();
    world.runFor(5s);
    EXPECT_EQ(world.sendAndWait(0, modelTurn("begins", "d")).status, 200);
}

// Guards against a directory that lists dead daemons.
TEST(Directory, ListsOnlyLiveDaemons)
{
    gateway_world world({.daemons = 3});
    world.warmUp();
    world.kill(2);
    world.runFor(1200ms);
    EXPECT_EQ(world.core(0).directory("z", world.now()).size(), 2U);
    world.start(2);
    world.warmUp();
    EXPECT_EQ(world.core(0).directory("z", world.now()).size(), 3U);
}

} // namespace jackdawpick::gateway::testing
