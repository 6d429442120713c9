#include "endpoints/endpoints.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

constexpr endpoint_failure lost{.kind = failure_kind::ConnectionLost, .bytesOffered = true};

std::vector<host_entry> engines(std::size_t count)
{
    std::vector<host_entry> hosts(count);
    for (std::size_t i = 0; i < count; ++i) {
        hosts[i].name = "e" + std::to_string(i);
        hosts[i].address = "127.0.0.1:" + std::to_string(7000 + i);
        hosts[i].pool = "p";
        hosts[i].slots = 8;
    }
    return hosts;
}

class endpoints_test : public ::testing::Test
{
protected:
    endpoints_test()
    {
        table.applyHostList(engines(3), clock.now());
    }

    std::vector<digest> fail(std::uint32_t endpoint, digest content, const endpoint_failure &failure = lost)
    {
        return table.onFailed(static_cast<endpoint_id>(endpoint), content, failure, clock.now());
    }

    void dispatch(std::uint32_t endpoint, digest content)
    {
        table.onDispatched(static_cast<endpoint_id>(endpoint), content, 100, clock.now());
    }

    void finish(std::uint32_t endpoint, digest content)
    {
        table.onFinished(static_cast<endpoint_id>(endpoint), content, {100, 0, 100}, 100ms, 1s, clock.now());
    }

    bool accepts(std::uint32_t endpoint)
    {
        return table.accepts(static_cast<endpoint_id>(endpoint), clock.now());
    }

    manual_clock clock;
    endpoint_table table{{}, 1};
};

} // namespace

// Guards against dispatching to a host that is shutting down, whichever source reports it first.
TEST_F(endpoints_test, LeavingEndpointAcceptsNothing)
{
    EXPECT_TRUE(table.markLeaving("e0", clock.now()));
    EXPECT_FALSE(table.markLeaving("e0", clock.now()));
    EXPECT_FALSE(accepts(0));
    table.applyHostList(engines(3), clock.now()); // The outdated list does not mark it as leaving.
    EXPECT_FALSE(accepts(0));
    auto hosts = engines(3);
    hosts[1].leaving = true;
    table.applyHostList(hosts, clock.now());
    EXPECT_FALSE(accepts(1));
    EXPECT_TRUE(accepts(2));
}

// Guards against a restarted host that is never used again because its previous instance was marked as leaving.
TEST_F(endpoints_test, LeavingMarkExpiresIfTheHostListDoesNotConfirmIt)
{
    table.markLeaving("e0", clock.now());
    clock.advance(61s);
    table.applyHostList(engines(3), clock.now());
    EXPECT_TRUE(accepts(0));
}

TEST_F(endpoints_test, UnlistedEndpointAcceptsNothingAndKeepsItsId)
{
    table.applyHostList(engines(2), clock.now());
    EXPECT_FALSE(accepts(2));
    table.applyHostList(engines(3), clock.now());
    EXPECT_EQ(table.find("e2"), static_cast<endpoint_id>(2));
    EXPECT_TRUE(accepts(2));
}

// Guards against repeated dispatches to a crashed endpoint, and against probing it with several calls at once.
TEST_F(endpoints_test, CircuitOpensProbesOnceAndDoublesItsOpenDuration)
{
    for (digest content = 1; content <= 3; ++content) {
        dispatch(0, content);
        fail(0, content, {.kind = failure_kind::ConnectFailed});
    }
    EXPECT_FALSE(accepts(0));
    clock.advance(1s);
    EXPECT_EQ(table.nextDeadline(), clock.now());
    ASSERT_TRUE(accepts(0));
    dispatch(0, 9);
    EXPECT_FALSE(accepts(0));
    fail(0, 9, {.kind = failure_kind::ConnectFailed});
    clock.advance(1s);
    EXPECT_FALSE(accepts(0));
    clock.advance(1s);
    ASSERT_TRUE(accepts(0));
    dispatch(0, 10);
    finish(0, 10);
    EXPECT_TRUE(accepts(0));
}

// Guards against excluding a working endpoint because old connections to it have hung.
TEST_F(endpoints_test, SilentConnectionsDoNotOpenTheCircuitOfAnAnsweringEndpoint)
{
    for (digest content = 1; content <= 4; ++content) {
        dispatch(0, content);
    }
    clock.advance(10s);
    dispatch(0, 5);
    finish(0, 5);
    for (digest content = 1; content <= 4; ++content) {
        fail(0, content, {.kind = failure_kind::Silent, .bytesOffered = true});
    }
    EXPECT_TRUE(accepts(0));
}

// Guards against counting dispatches of this daemon twice or not at all while load reports are delayed.
TEST_F(endpoints_test, LoadIsTheReportCorrectedByDispatchesItCannotCover)
{
    const auto id = static_cast<endpoint_id>(0);
    dispatch(0, 1);
    clock.advance(1s);
    dispatch(0, 2);
    clock.advance(100ms);
    table.onLoad(id, {.running = 5, .queued = 0, .slots = 8}, clock.now());
    EXPECT_DOUBLE_EQ(table.load(id, clock.now()), 6.0 / 8); // The report covers the first dispatch only.
    finish(0, 1);
    EXPECT_DOUBLE_EQ(table.load(id, clock.now()), 5.0 / 8);
    clock.advance(6s); // The report is too old: only calls of this daemon are counted.
    EXPECT_DOUBLE_EQ(table.load(id, clock.now()), 1.0 / 8);
}

// Guards against a request that crashes one endpoint after another.
TEST_F(endpoints_test, DigestThatRanOnTwoCrashedEndpointsIsQuarantined)
{
    dispatch(0, 7);
    dispatch(0, 8);
    EXPECT_TRUE(fail(0, 7).empty());
    EXPECT_TRUE(fail(0, 8).empty());
    dispatch(1, 7);
    dispatch(1, 50); // Not a suspect before.
    EXPECT_EQ(fail(1, 7), std::vector<digest>{7});
    EXPECT_TRUE(fail(1, 50).empty());
    EXPECT_TRUE(table.isQuarantined(7, clock.now()));
    EXPECT_FALSE(table.isQuarantined(8, clock.now()));
    EXPECT_FALSE(table.isQuarantined(50, clock.now()));
}

// Guards against quarantining a request that ran on the same two endpoints as the one that crashed them.
TEST_F(endpoints_test, SuspectsThatSharedASecondCrashAreNotQuarantined)
{
    for (const std::uint32_t endpoint : {0U, 1U}) {
        dispatch(endpoint, 7);
        dispatch(endpoint, 8);
        EXPECT_TRUE(fail(endpoint, 7).empty());
        EXPECT_TRUE(fail(endpoint, 8).empty());
    }
    dispatch(2, 7);
    EXPECT_TRUE(table.runsOtherSuspect(static_cast<endpoint_id>(2), 8, clock.now()));
    EXPECT_FALSE(table.runsOtherSuspect(static_cast<endpoint_id>(2), 99, clock.now()));
    EXPECT_EQ(fail(2, 7), std::vector<digest>{7});
}

// Guards against quarantining a request for two unrelated crashes: completing in between clears it.
TEST_F(endpoints_test, AnswerClearsASuspect)
{
    dispatch(0, 7);
    fail(0, 7);
    dispatch(1, 7);
    finish(1, 7);
    dispatch(2, 7);
    EXPECT_TRUE(fail(2, 7).empty());
}

// Guards against quarantining a request whose connections were lost although the endpoints kept running.
TEST_F(endpoints_test, CallThatOutlastsALostConnectionClearsTheSuspect)
{
    dispatch(0, 7);
    dispatch(0, 8);
    clock.advance(std::chrono::milliseconds(10));
    EXPECT_TRUE(fail(0, 7).empty());
    EXPECT_TRUE(table.isSuspect(7, clock.now()));
    clock.advance(std::chrono::milliseconds(10));
    finish(0, 8);
    EXPECT_FALSE(table.isSuspect(7, clock.now()));
    dispatch(1, 7);
    EXPECT_TRUE(fail(1, 7).empty());
}

// Guards against wrong counts when the end of a call is reported twice or for an unknown call, and against dispatching
// to a leaving endpoint, for random sequences of events.
RC_GTEST_PROP(EndpointsProperty, CountsMatchTheCallsInFlight, ())
{
    manual_clock clock;
    endpoint_table table({}, 1);
    table.applyHostList(engines(4), clock.now());
    std::map<std::pair<std::uint32_t, digest>, int> model;
    const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
        rc::gen::tuple(rc::gen::inRange(0U, 6U), rc::gen::inRange(0U, 4U), rc::gen::inRange(0U, 5U)));
    for (const auto &[action, endpoint, content] : steps) {
        const auto id = static_cast<endpoint_id>(endpoint);
        clock.advance(100ms);
        int &running = model[{endpoint, content}];
        if (action <= 1 && table.accepts(id, clock.now())) {
            RC_ASSERT(!table.view(id).leaving);
            table.onDispatched(id, content, 10, clock.now(), static_cast<rank_index>(content % 2));
            ++running;
        } else if (action == 2) {
            table.onFinished(id, content, {}, 1ms, 2ms, clock.now());
            running = std::max(0, running - 1);
        } else if (action == 3) {
            const auto quarantined = table.onFailed(id, content, lost, clock.now());
            RC_ASSERT(quarantined.size() <= 1);
            running = std::max(0, running - 1);
        } else if (action == 4) {
            table.onCancelled(id, content, clock.now());
            running = std::max(0, running - 1);
        } else if (action == 5 && content == 0) {
            table.markLeaving(table.view(id).name, clock.now());
        }
    }
    std::uint32_t expected = 0;
    std::uint32_t counted = 0;
    std::ranges::for_each(model, [&expected](const auto &each) { expected += static_cast<unsigned>(each.second); });
    std::ranges::for_each(table.all(), [&](endpoint_id id) { counted += table.view(id).inFlight; });
    const auto &byRank = table.inFlight("p");
    RC_ASSERT(counted == expected);
    RC_ASSERT(byRank[0] + byRank[1] == expected);
}

} // namespace jackdawpick
