// What daemons ask of a store that does not take the records of requests that crash endpoints.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int shopEndpoints = 12;
constexpr int failingRequests = 5;
constexpr int attemptsPerRequest = 4;
// A sixteenth of the 800 writing calls a second that the platform's smallest store serves, in a deployment of any size.
constexpr int writesPerSecondForRecords = 50;
constexpr std::chrono::seconds observed{5};
// As on the platform.
constexpr milliseconds appendTime{2};
constexpr int writesPerSecond = 3200;

class crash_record_writes : public ::testing::TestWithParam<int>
{
protected:
    crash_record_writes()
    {
        world.warmUp();
        world.runFor(2s);
    }

    void setEndpoints(endpoint_behaviour behaviour)
    {
        for (int i = 0; i < shopEndpoints; ++i) {
            world.endpointBehaviours[fmt::format("shop-{}", i)] = behaviour;
        }
    }

    // Sends requests, each several times, that all endpoints lose.
    void failRequests()
    {
        setEndpoints(endpoint_behaviour::LosesResponse);
        for (int i = 0; i < attemptsPerRequest * failingRequests; ++i) {
            world.send(i % GetParam(), requestOf(i % failingRequests));
            world.runFor(50ms);
        }
        setEndpoints(endpoint_behaviour::Responds);
    }

    caller_request requestOf(int content)
    {
        auto request = shopRequest("/pay/x", fmt::format("request-{}", ++m_sent));
        request.body = fmt::format("body-{}", content);
        return request;
    }

    int turnsAnswered(int count)
    {
        int answered = 0;
        for (int i = 0; i < count; ++i) {
            const auto program = fmt::format("program-{}", ++m_sent);
            auto &response = world.send(i % GetParam(), modelTurn(program, "turn-" + program));
            world.runFor(200ms);
            answered += response.status == 200 ? 1 : 0;
        }
        return answered;
    }

    [[nodiscard]] int putsWithin(std::chrono::seconds time)
    {
        const int before = world.storeCallCounts["put"];
        world.runFor(time);
        return world.storeCallCounts["put"] - before;
    }

    gateway_world world{{.daemons = GetParam(),
                         .shopEndpoints = shopEndpoints,
                         .appendTime = appendTime,
                         .writesPerSecond = writesPerSecond}};

private:
    int m_sent = 0;
};

} // namespace

// Guards against a record that all daemons write again and again while the store refuses it (trouble-3 of
// wanza-agents-large, seed 5: half of the calls that write).
TEST_P(crash_record_writes, RecordsThatAreRefusedCostFewCalls)
{
    world.refusedKeyPrefixes.insert("crashing/");
    failRequests();
    const int puts = putsWithin(observed);
    EXPECT_GT(puts, 0);
    EXPECT_LE(puts, writesPerSecondForRecords * observed.count());
}

// Guards against turns that are refused because the store refuses records that have nothing to do with them.
TEST_P(crash_record_writes, RefusedRecordsDoNotCloseTheStore)
{
    world.refusedKeyPrefixes.insert("crashing/");
    failRequests();
    EXPECT_EQ(turnsAnswered(20), 20);
    EXPECT_EQ(world.logLinesOf("store_lost"), 0);
}

// Guards against daemons that all write the same records when all have started, before they know of each other: the
// partition that also holds their own records was then refused (trouble-3 of wanza-agents-large, seed 5).
TEST_P(crash_record_writes, AStartOfAllDoesNotFillTheQueueOfThePartition)
{
    failRequests();
    world.runFor(2s);
    for (int i = 0; i < GetParam(); ++i) {
        world.kill(i);
    }
    const int before = world.storeCallCounts["put"];
    for (int i = 0; i < GetParam(); ++i) {
        world.start(i);
    }
    world.runFor(200ms);
    failRequests();
    world.runFor(observed);
    EXPECT_LE(world.storeCallCounts["put"] - before, GetParam() + writesPerSecondForRecords * observed.count());
    EXPECT_EQ(world.logLinesOf("crash_record_failed"), 0);
    EXPECT_EQ(turnsAnswered(20), 20);
}

// Guards against records that are written so rarely that a start of all daemons forgets the failures.
TEST_P(crash_record_writes, FailuresAreStoredSoon)
{
    failRequests();
    world.runFor(2s);
    for (int i = 0; i < GetParam(); ++i) {
        world.kill(i);
    }
    world.start(0);
    world.runFor(3s);
    setEndpoints(endpoint_behaviour::LosesResponse);
    for (int i = 0; i < failingRequests; ++i) {
        auto request = shopRequest("/pay/x", fmt::format("again-{}", i));
        request.body = fmt::format("body-{}", i);
        EXPECT_EQ(world.sendAndWait(0, request).status, 503) << request.body;
        EXPECT_EQ(world.runsOf(request.attempt), 0) << request.body;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, crash_record_writes, ::testing::Values(9, 80, 195));

} // namespace jackdawpick::gateway::testing
