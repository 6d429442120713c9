#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

std::string outputOf(const std::string &attempt, int events = 3)
{
    std::string text;
    for (int i = 1; i <= events; ++i) {
        text += fmt::format("{}-{}\n", attempt, i);
    }
    return text;
}

void leaveAway(gateway_world &world, int daemons, bool away)
{
    for (int i = 0; i < daemons; ++i) {
        world.stores[i].away = away;
    }
}

} // namespace

// Guards against a chain that reaches the engine incomplete, in another order or from another branch.
TEST(Turns, ChainIsRebuiltOnAnyDaemon)
{
    gateway_world world({.daemons = 3});
    world.settle();
    auto &first = world.ask(0, turnOf("p", "a"));
    world.runFor(1s);
    ASSERT_TRUE(first.complete);
    EXPECT_EQ(first.status, 200);
    auto &second = world.ask(1, turnOf("p", "b", 1000, "a"));
    auto &branch = world.ask(2, turnOf("p", "c", 1000, "a"));
    world.runFor(1s);
    ASSERT_TRUE(second.complete && branch.complete);
    auto &third = world.ask(2, turnOf("other", "d", 1000, "b"));
    world.runFor(1s);
    ASSERT_TRUE(third.complete);
    const auto chain = "in:a\n" + outputOf("a") + "in:b\n";
    ASSERT_EQ(world.runs.size(), 4U);
    EXPECT_EQ(world.runs.back().body, chain + outputOf("b") + "in:d\n");
    const auto ofBranch = std::ranges::find(world.runs, "c", &run_at_endpoint::attempt);
    EXPECT_EQ(ofBranch->body, "in:a\n" + outputOf("a") + "in:c\n");
}

// Guards against a turn that is unknown because every process died right after the end of its answer.
TEST(Turns, SurviveTheLossOfAllDaemons)
{
    gateway_world world({.daemons = 2});
    world.settle();
    auto &first = world.ask(0, turnOf("p", "a"));
    while (!first.ended()) {
        world.runFor(1ms);
    }
    ASSERT_TRUE(first.complete);
    world.kill(0);
    world.kill(1);
    world.start(0);
    world.start(1);
    world.settle();
    auto &second = world.ask(1, turnOf("p", "b", 1000, "a"));
    world.runFor(1s);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(world.runs.back().body, "in:a\n" + outputOf("a") + "in:b\n");
}

// Guards against 404 without certainty: the store could not be read.
TEST(Turns, UnknownTurnIsOnlyDeniedAfterARead)
{
    gateway_world world({.daemons = 1});
    world.settle();
    auto &unknown = world.ask(0, turnOf("p", "b", 1000, "never"));
    world.runFor(1s);
    EXPECT_EQ(unknown.status, 404);
    leaveAway(world, 1, true);
    auto &uncertain = world.ask(0, turnOf("p", "c", 1000, "never"));
    world.runFor(3s);
    EXPECT_EQ(uncertain.status, 503);
    EXPECT_EQ(world.runsOf("b") + world.runsOf("c"), 0);
}

// Guards against the end of an answer whose turn is not in the store: it would be unknown after a crash.
TEST(Turns, EndWaitsForTheStore)
{
    gateway_world world({.daemons = 1});
    world.settle();
    auto &answer = world.ask(0, turnOf("p", "a"));
    world.runFor(40ms);
    leaveAway(world, 1, true);
    world.runFor(500ms);
    EXPECT_FALSE(answer.ended());
    EXPECT_NE(answer.body.find("a-3"), std::string::npos); // All events are passed on at once.
    leaveAway(world, 1, false);
    world.runFor(1300ms);
    EXPECT_TRUE(answer.complete);
}

// Guards against answers that are cut because a part of the store is away, and against their turns being unknown later.
TEST(Turns, AreWrittenToASecondPlace)
{
    gateway_world world({.daemons = 2});
    world.settle();
    auto &probe = world.ask(0, turnOf("p", "a")); // Shows the topic in which turn a lies.
    world.runFor(1s);
    ASSERT_TRUE(probe.complete);
    for (const auto &topic : world.topics()) {
        if (topic.starts_with("turns")) {
            world.awayTopics.insert(topic);
        }
    }
    auto &again = world.ask(0, turnOf("p", "a"));
    world.runFor(1500ms);
    ASSERT_TRUE(again.complete);
    world.kill(0);
    world.kill(1);
    world.start(0);
    world.start(1);
    world.settle();
    auto &next = world.ask(1, turnOf("q", "b", 1000, "a"));
    world.runFor(2s);
    EXPECT_EQ(next.status, 200);
    auto &unknown = world.ask(1, turnOf("q", "c", 1000, "never"));
    world.runFor(2s);
    EXPECT_EQ(unknown.status, 404);
}

// Guards against a store that fills up with turns: 400 MB are there within minutes of normal load.
TEST(Turns, OldOnesAreDeleted)
{
    gateway_world world({.daemons = 1, .parts = 1, .turnTopics = 1});
    world.settle();
    std::string previous;
    for (int i = 0; i < 120; ++i) {
        const auto attempt = fmt::format("a{}", i);
        auto &answer = world.ask(0, turnOf(fmt::format("p{}", i), attempt, 1000, i % 3 == 0 ? "" : previous));
        world.runFor(3s);
        ASSERT_EQ(answer.status, 200) << i;
        previous = attempt;
    }
    EXPECT_LT(world.recordsIn("turns"), 80U); // 120 in 360 s; two visits cover 180 s.
    EXPECT_GT(world.recordsIn("turns"), 25U); // Those of the last 75 s are there in any case.
    world.kill(0);
    world.start(0);
    world.settle();
    auto &kept = world.ask(0, turnOf("q", "b", 1000, "a100")); // 60 s old.
    world.runFor(1s);
    EXPECT_EQ(kept.status, 200);
}

// Guards against a stream that looks complete although its turn could not be written.
TEST(Turns, UnwrittenTurnBreaksTheAnswerOff)
{
    gateway_world world({.daemons = 1});
    world.settle();
    auto &answer = world.ask(0, turnOf("p", "a"));
    world.runFor(40ms);
    leaveAway(world, 1, true);
    world.runFor(4s);
    EXPECT_TRUE(answer.aborted);
    EXPECT_FALSE(answer.complete);
}

// Guards against programs that generate more than their budget through several daemons at once.
TEST(Budgets, HoldOverParallelTurnsAndRestarts)
{
    gateway_world world({.daemons = 3});
    world.settle();
    std::vector<caller_view *> views;
    views.reserve(9);
    for (int i = 0; i < 9; ++i) {
        views.push_back(&world.ask(i % 3, turnOf("p", fmt::format("a{}", i), 200))); // Room for three of 60 tokens.
    }
    world.runFor(2s);
    const auto granted = std::ranges::count(views, 200, &caller_view::status);
    const auto denied = std::ranges::count(views, 402, &caller_view::status);
    EXPECT_EQ(granted, 3);
    EXPECT_EQ(denied, 6);
    EXPECT_EQ(world.runs.size(), 3U);
    world.kill(0);
    world.kill(1);
    world.kill(2);
    world.start(0);
    world.settle();
    // 90 of 200 tokens are spent: room for one more turn at a time, and for 60 at most.
    auto &fourth = world.ask(0, turnOf("p", "b", 200));
    world.runFor(1s);
    EXPECT_EQ(fourth.status, 200);
    auto &fifth = world.ask(0, turnOf("p", "c", 200));
    world.runFor(1s);
    EXPECT_EQ(fifth.status, 200); // 120 spent.
    auto &sixth = world.ask(0, turnOf("p", "d", 200));
    world.runFor(1s);
    EXPECT_EQ(sixth.status, 402); // 150 spent.
}

// Guards against a broken answer whose events are not counted.
TEST(Budgets, CountWhatWasHandedOverBeforeABreak)
{
    gateway_world world({.daemons = 1, .engines = 1, .eventsPerTurn = 4});
    world.settle();
    world.endpoints["engine-0"] = endpoint_mood::BreaksOff;
    auto &broken = world.ask(0, turnOf("p", "a", 80));
    world.runFor(1s);
    EXPECT_TRUE(broken.aborted); // After 2 events, 20 tokens.
    world.endpoints.clear();
    auto &next = world.ask(0, turnOf("p", "b", 80));
    world.runFor(1s);
    EXPECT_EQ(next.status, 200); // 20 + 60 fit; afterwards 60 are spent.
    auto &last = world.ask(0, turnOf("p", "c", 80));
    world.runFor(1s);
    EXPECT_EQ(last.status, 402);
}

// Guards against a payment that runs twice, and against a promise that it has not run.
TEST(Repetition, NonIdempotentRequestRunsAtMostOnce)
{
    for (const auto mood : {endpoint_mood::LosesAnswer, endpoint_mood::BreaksOff, endpoint_mood::Silent}) {
        gateway_world world({.daemons = 1});
        world.settle();
        world.endpoints["shop-0"] = mood;
        world.endpoints["shop-1"] = mood;
        auto &answer = world.ask(0, shopCall("/pay/1", "a"));
        world.runFor(4s);
        EXPECT_EQ(world.runsOf("a"), 1);
        EXPECT_TRUE(answer.ended());
        EXPECT_NE(answer.status, 503);
        EXPECT_FALSE(answer.complete && answer.status == 200);
    }
}

// Guards against payments that are given up although no endpoint has run them.
TEST(Repetition, RejectedRequestIsOfferedToAnotherEndpoint)
{
    for (const auto mood : {endpoint_mood::Rejects, endpoint_mood::Unreachable}) {
        gateway_world world({.daemons = 1});
        world.settle();
        world.endpoints["shop-0"] = mood;
        for (int i = 0; i < 6; ++i) {
            auto &answer = world.ask(0, shopCall("/pay/1", fmt::format("a{}", i)));
            world.runFor(500ms);
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(answer.body, fmt::format("done:a{}", i));
        }
        world.endpoints["shop-1"] = mood;
        auto &refused = world.ask(0, shopCall("/pay/1", "b"));
        world.runFor(500ms);
        EXPECT_EQ(refused.status, 503);
        EXPECT_TRUE(refused.retryAfter.has_value());
        EXPECT_EQ(world.runsOf("b"), 0);
    }
}

// Guards against reads that fail although another endpoint could answer them.
TEST(Repetition, IdempotentRequestMovesToAnotherEndpoint)
{
    for (const auto mood : {endpoint_mood::LosesAnswer, endpoint_mood::BreaksOff}) {
        gateway_world world({.daemons = 1});
        world.settle();
        world.endpoints["shop-0"] = mood;
        for (int i = 0; i < 6; ++i) {
            auto &answer = world.ask(0, shopCall("/read/1", fmt::format("a{}", i)));
            world.runFor(500ms);
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(answer.body, fmt::format("done:a{}", i));
        }
    }
}

// Guards against a request that takes down one endpoint after the other, through whichever daemon it comes.
TEST(Repetition, RequestThatCrashesEndpointsIsStopped)
{
    gateway_world world({.daemons = 3, .shops = 6});
    world.settle();
    for (int i = 0; i < 6; ++i) {
        world.endpoints[fmt::format("shop-{}", i)] = endpoint_mood::LosesAnswer;
    }
    auto request = shopCall("/pay/", "a0");
    request.body = "crash";
    constexpr int repetitions = 20;
    int runs = 0;
    for (int i = 0; i < repetitions; ++i) {
        request.attempt = fmt::format("a{}", i);
        const auto &answer = world.askAndWait(i % 3, request);
        runs += world.runsOf(request.attempt);
        if (i >= 10) {
            EXPECT_EQ(answer.refusal, result_code::RequestBlocked);
            EXPECT_EQ(world.runsOf(request.attempt), 0);
        }
    }
    EXPECT_LE(runs, 6);
    world.endpoints.clear();
    auto other = shopCall("/pay/", "b");
    other.body = "harmless";
    EXPECT_EQ(world.askAndWait(0, other).status, 200);
}

// Guards against engines that go on for a caller who has left.
TEST(Callers, ThatLeaveCancelTheirWork)
{
    gateway_world world({.daemons = 1});
    world.settle();
    const auto &view = world.ask(0, turnOf("p", "a"));
    world.runFor(40ms);
    ASSERT_EQ(world.runsOf("a"), 1);
    world.leave(view);
    EXPECT_EQ(world.cancelled, std::vector<std::string>{"a"});
    EXPECT_EQ(world.core(0).status(world.now()).openRequests, 0U);
}

// Guards against requests that are kept past the time that the operator allows.
TEST(Callers, GetAnAnswerAtTheDeadline)
{
    gateway_world world({.daemons = 1});
    world.settle();
    world.endpoints["engine-0"] = endpoint_mood::Silent;
    world.endpoints["engine-1"] = endpoint_mood::Silent;
    const auto began = world.now();
    auto &view = world.ask(0, turnOf("p", "a"));
    world.runFor(5s);
    EXPECT_EQ(view.status, 504);
    EXPECT_LE(view.endedAt - began, 3250ms);
}

// Guards against a daemon that refuses everything because the store turns it away while it serves its peers.
TEST(Store, DaemonThatIsTurnedAwayGoesThroughAPeer)
{
    for (const bool refuses : {true, false}) {
        gateway_world world({.daemons = 3});
        world.settle();
        world.stores[0].refuses = refuses;
        world.stores[0].away = !refuses;
        world.runFor(3s);
        auto &answer = world.ask(0, turnOf("p", "a"));
        world.runFor(2s);
        EXPECT_EQ(answer.status, 200) << describe(answer.refusal.value_or(result_code::Ok)).name << " refuses "
                                      << refuses;
        EXPECT_TRUE(answer.complete);
        auto next = world.ask(0, turnOf("p", "b", 1000, "a"));
        auto changed = routing::configuration{.version = 5, .routes = {}, .services = {}};
        world.publish(changed);
        world.runFor(2s);
        auto &dropped = world.ask(0, shopCall("/read/1", "c"));
        world.runFor(500ms);
        EXPECT_EQ(dropped.status, 404); // The new configuration is in force.
    }
}

// Guards against programs that are refused because the daemon that decides on their budget has just lost the store,
// which serves the others (inc-1322 of klitvagt-serve: 55 refusals while one daemon was cut off).
TEST(Store, BudgetMovesOnFromADeciderThatLostIt)
{
    gateway_world world({.daemons = 3});
    world.settle();
    world.stores[1].away = true;
    std::vector<caller_view *> views;
    views.reserve(60);
    for (int i = 0; i < 60; ++i) {
        views.push_back(&world.ask(i % 2 == 0 ? 0 : 2, turnOf(fmt::format("p{}", i), fmt::format("a{}", i))));
        world.runFor(20ms);
    }
    world.runFor(3s);
    EXPECT_TRUE(std::ranges::all_of(views, [](const auto *view) { return view->status == 200 && view->complete; }));
}

// Guards against turns that wait for a store that is known to be away, and against a refusal without a time.
TEST(Store, TurnsAreRefusedAtOnceWhileItIsAway)
{
    gateway_world world({.daemons = 2});
    world.settle();
    leaveAway(world, 2, true);
    world.runFor(4s);
    const auto began = world.now();
    auto &refused = world.ask(0, turnOf("p", "a"));
    auto &served = world.ask(0, shopCall("/pay/1", "b")); // Needs no store.
    world.runFor(200ms);
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.retryAfter.has_value());
    EXPECT_LE(refused.endedAt - began, 50ms);
    EXPECT_EQ(served.status, 200);
    leaveAway(world, 2, false);
    world.runFor(2s);
    auto &again = world.ask(0, turnOf("p", "c"));
    world.runFor(1s);
    EXPECT_EQ(again.status, 200);
}

// Guards against calls that are given up and repeated again and again because the store has become slow: a turn takes
// one call before it and one after it.
TEST(Store, SlowAnswersAreWaitedFor)
{
    constexpr auto slow = 240ms;
    gateway_world world({.daemons = 3});
    world.settle();
    ASSERT_TRUE(
        world.askAndWait(0, turnOf("p", "first", 10000)).complete); // The budgets of its partition are read once.
    for (int i = 0; i < 3; ++i) {
        world.stores[i].delay = slow;
    }
    constexpr int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        const auto began = world.now();
        const auto &answer = world.ask(round % 3, turnOf("p", fmt::format("a{}", round), 10000));
        world.runFor(2s);
        ASSERT_TRUE(answer.complete) << round;
        if (round >= 3) { // Each daemon has met the slow store once.
            EXPECT_EQ(answer.status, 200) << round;
            EXPECT_LE(answer.endedAt - began, 2 * slow + 250ms) << round;
        }
    }
}

// Guards against an older configuration that comes back, and against requests before there is one.
TEST(Configuration, VersionsOnlyIncrease)
{
    gateway_world world({.daemons = 1});
    world.runFor(1ms);
    auto &early = world.ask(0, shopCall("/read/1", "a"));
    world.runFor(3s);
    EXPECT_EQ(early.status, 503); // Not 404: nothing is known yet.
    world.publish({.version = 9, .routes = {}, .services = {}});
    world.runFor(2s);
    world.publish({.version = 8,
                   .routes = {{.name = "r", .host = "h", .pathPrefix = "/read/", .services = {{"shop", 1}}}},
                   .services = {}});
    world.runFor(2s);
    auto &late = world.ask(0, shopCall("/read/1", "b"));
    world.runFor(500ms);
    EXPECT_EQ(late.status, 404);
}

// Guards against new work on endpoints that are leaving, later than two seconds after they said so.
TEST(Endpoints, ThatLeaveGetNothingAfterTwoSeconds)
{
    gateway_world world({.daemons = 1, .shops = 1});
    world.settle();
    world.putEndpoint({.id = "shop-0", .service = "shop", .address = "s0", .zone = "z", .slots = 4, .draining = true});
    world.runFor(1500ms);
    auto &refused = world.ask(0, shopCall("/read/1", "a"));
    world.runFor(200ms);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(world.runsOf("a"), 0);
}

// Guards against an endpoint that left right after an outage and stays in use as if its entry had lapsed (hunt-90d3-3
// and hunt-222a-11 of klitvagt-serve: DRAIN), and against refusing everything when all entries lapsed.
TEST(Endpoints, OnlyEntriesThatGoTogetherMayHaveLapsed)
{
    gateway_world world({.daemons = 1, .engines = 4, .shops = 2});
    world.settle();
    leaveAway(world, 1, true);
    world.runFor(3s);
    leaveAway(world, 1, false);
    world.removeEndpoint("shop-0");
    world.runFor(2s); // An endpoint that has left gets nothing after this.
    for (int i = 0; i < 10; ++i) {
        world.ask(0, shopCall("/read/1", fmt::format("a{}", i)));
    }
    world.runFor(500ms);
    EXPECT_EQ(std::ranges::count(world.runs, "shop-0", &run_at_endpoint::endpoint), 0);

    leaveAway(world, 1, true);
    world.runFor(3s);
    for (const auto *id : {"engine-0", "engine-1", "engine-2", "engine-3", "shop-1"}) {
        world.removeEndpoint(id);
    }
    leaveAway(world, 1, false);
    world.runFor(1s);
    auto &served = world.ask(0, shopCall("/read/1", "b"));
    world.runFor(500ms);
    EXPECT_EQ(served.status, 200);
    world.runFor(2500ms);
    auto &refused = world.ask(0, shopCall("/read/1", "c"));
    world.runFor(500ms);
    EXPECT_EQ(refused.status, 503);
}

// Guards against a flood in which every program begins and all of them finish late: what begins is refused as not run,
// with a time to come back, and what is under way goes on.
TEST(Flood, RefusesProgramsThatBeginAndServesThoseUnderWay)
{
    gateway_world world({.daemons = 2});
    world.settle();
    ASSERT_TRUE(world.askAndWait(0, turnOf("under-way", "a")).complete);
    world.endpoints = {{"engine-0", endpoint_mood::Silent}, {"engine-1", endpoint_mood::Silent}};
    constexpr int flood = 60;
    for (int i = 0; i < flood; ++i) {
        world.ask(i % 2, turnOf(fmt::format("flood-{}", i), fmt::format("f{}", i)));
        world.runFor(20ms);
    }
    const auto &begins = world.askAndWait(0, turnOf("begins", "b"));
    EXPECT_EQ(begins.status, 503);
    EXPECT_EQ(begins.refusal, result_code::EnginesFull);
    EXPECT_GT(begins.retryAfter, 0ms);
    EXPECT_EQ(world.runsOf("b"), 0);
    const auto &goesOn = world.askAndWait(1, turnOf("under-way", "c", 1000, "a"));
    EXPECT_EQ(goesOn.status, 0);
    EXPECT_EQ(world.runsOf("c"), 1);
    // The engines have room again.
    world.endpoints.clear();
    world.runFor(5s);
    EXPECT_EQ(world.askAndWait(0, turnOf("begins", "d")).status, 200);
}

// Guards against a shutdown that cuts requests, and against a directory that names a daemon which is going.
TEST(Shutdown, FinishesRequestsAndLeavesTheDirectory)
{
    gateway_world world({.daemons = 3});
    world.settle();
    ASSERT_EQ(world.core(1).directory(world.now()).size(), 3U);
    auto &open = world.ask(0, turnOf("p", "a"));
    world.runFor(10ms);
    world.shutdown(0);
    EXPECT_FALSE(world.core(0).ready());
    world.runFor(50ms);
    EXPECT_EQ(world.core(1).directory(world.now()).size(), 2U);
    auto &late = world.ask(0, turnOf("p", "b")); // From a caller with an old list.
    world.runFor(10s);
    EXPECT_TRUE(open.complete);
    EXPECT_TRUE(late.complete);
    EXPECT_EQ(late.status, 200);
    EXPECT_FALSE(world.isRunning(0));
}

// Guards against a process that ends before the last bytes of its last answer are written.
TEST(Shutdown, LeavesTimeForTheLastAnswer)
{
    gateway_world world({.daemons = 1, .eventGap = 1300ms});
    world.settle();
    auto &open = world.ask(0, shopCall("/read/1", "early"));
    world.runFor(500ms);
    ASSERT_TRUE(open.complete);
    world.shutdown(0);
    world.runFor(3100ms);
    auto &last = world.ask(0, shopCall("/pay/1", "a"));
    while (!last.ended()) {
        world.runFor(1ms);
    }
    EXPECT_TRUE(last.complete);
    world.runFor(200ms);
    EXPECT_TRUE(world.isRunning(0));
    world.runFor(200ms);
    EXPECT_FALSE(world.isRunning(0));
}

// Guards against a directory that names daemons which are dead.
TEST(Directory, NamesOnlyDaemonsThatLive)
{
    gateway_world world({.daemons = 3});
    world.settle();
    world.kill(2);
    world.runFor(1200ms);
    EXPECT_EQ(world.core(0).directory(world.now()).size(), 2U);
    world.start(2);
    world.settle();
    EXPECT_EQ(world.core(0).directory(world.now()).size(), 3U);
}

} // namespace jackdawpick::gateway::testing
