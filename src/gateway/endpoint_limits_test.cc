// Endpoints that state a rate limit for all daemons together.

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

constexpr milliseconds contactWindow{3000}; // Limits are kept from this long after they were first stated.
constexpr milliseconds limitPeriod{4000};
constexpr double statedLimit = 4; // Requests per second.

// The most requests that the platform allows an endpoint to get in `limitPeriod`.
int allowedWithin(double limit)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    return static_cast<int>(tolerance * limit * std::chrono::duration<double>(limitPeriod).count() + slack);
}

// Requests to the shop that arrive at the daemons in turn, at a fixed rate.
class limited_shop : public ::testing::TestWithParam<int>
{
protected:
    limited_shop()
        : world({.daemons = GetParam(), .shopEndpoints = shops})
    {
        world.warmUp();
    }

    void limit(int endpoints, double rate = statedLimit)
    {
        for (int i = 0; i < endpoints; ++i) {
            world.endpointLimits[fmt::format("shop-{}", i)] = rate;
        }
        limitedAt = world.now();
    }

    void load(int requestsPerSecond, milliseconds time)
    {
        for (const auto end = world.now() + time; world.now() < end; world.runFor(1000ms / requestsPerSecond)) {
            const int daemon = ++m_sent % GetParam();
            if (world.isRunning(daemon)) {
                responses.push_back(&world.send(daemon, shopRequest("/read/x", fmt::format("a{}", m_sent))));
            }
        }
    }

    void expectLimitIsKept(int endpoints) const
    {
        for (int i = 0; i < endpoints; ++i) {
            EXPECT_LE(world.mostRunsWithin(fmt::format("shop-{}", i), limitPeriod, limitedAt + contactWindow),
                      allowedWithin(statedLimit))
                << "shop-" << i;
        }
    }

    [[nodiscard]] double servedShare() const
    {
        const auto served = std::ranges::count(responses, 200, &caller_response::status);
        return static_cast<double>(served) / static_cast<double>(responses.size());
    }

    static constexpr int shops = 4;
    gateway_world world;
    time_point limitedAt;
    std::vector<const caller_response *> responses;

private:
    int m_sent = 0;
};

} // namespace

// Guards against daemons that each keep the limit of an endpoint and exceed it together.
TEST_P(limited_shop, AllDaemonsTogetherKeepTheLimit)
{
    limit(2);
    load(100, 14s);
    world.runFor(2s);
    expectLimitIsKept(2);
    EXPECT_GE(servedShare(), 0.99);
}

// Guards against a limit that is divided among the daemons: 16 requests a second have no whole request for each of 80.
TEST_P(limited_shop, LimitIsUsedWhereTheRequestsArrive)
{
    limit(shops);
    load(12, 14s);
    world.runFor(2s);
    expectLimitIsKept(shops);
    EXPECT_GE(servedShare(), 0.99);
}

// Guards against requests beyond the limit that wait until their deadline, and against a limit that overload wastes.
TEST_P(limited_shop, RequestsBeyondTheLimitAreRefusedEarly)
{
    limit(shops);
    load(60, 14s);
    world.runFor(2s);
    expectLimitIsKept(shops);
    const auto used =
        std::ranges::count_if(world.runs, [&](const endpoint_run &run) { return run.at >= limitedAt + contactWindow; });
    EXPECT_GE(static_cast<double>(used), 0.8 * shops * statedLimit * 11);
    for (const auto *response : responses) {
        EXPECT_TRUE(response->complete);
        EXPECT_TRUE(response->status == 200 || response->refusal == result_code::EnginesFull);
        EXPECT_TRUE(response->status == 200 || response->retryAfter.has_value());
    }
}

// Guards against permits issued twice while daemons stop, die and start again.
TEST_P(limited_shop, LimitIsKeptWhileDaemonsRestart)
{
    limit(2);
    for (int i = 0; i < 8; ++i) {
        const int daemon = i % GetParam();
        if (i % 2 == 0) {
            world.kill(daemon);
        } else {
            world.shutdown(daemon);
        }
        load(100, 2s);
        if (!world.isRunning(daemon)) {
            world.start(daemon);
        }
    }
    expectLimitIsKept(2);
}

// Guards against a limit that stays in force after the endpoint has stopped stating it.
TEST_P(limited_shop, LimitEndsWhenTheEndpointNoLongerStatesIt)
{
    limit(shops);
    load(60, 6s);
    world.endpointLimits.clear();
    load(60, 3s);
    responses.clear();
    load(60, 4s);
    world.runFor(2s);
    EXPECT_GE(servedShare(), 0.99);
}

// Guards against a permit that is used seconds after it was issued, by a process that stood still meanwhile: the issuer
// counts it for the time at which it was issued.
TEST_P(limited_shop, APermitIsNotUsedAfterAPause)
{
    limit(shops, 1);
    load(40, 4s);
    world.runFor(4s);
    int paused = 0;
    for (int i = 0; i < GetParam(); ++i) {
        world.send(i, shopRequest("/read/x", fmt::format("paused-{}", i)));
        world.runFor(4ms); // The permit is asked for, and issued; the reply has not been read.
        if (world.runsOf(fmt::format("paused-{}", i)) == 0) {
            world.freeze(i);
            world.runFor(2s);
            const int before = world.logLinesOf("request_dispatched");
            world.thaw(i);
            EXPECT_EQ(world.logLinesOf("request_dispatched"), before) << "daemon " << i;
            ++paused;
        }
        if (paused == 4) {
            break;
        }
    }
    EXPECT_EQ(paused, 4);
}

INSTANTIATE_TEST_SUITE_P(Daemons, limited_shop, ::testing::Values(9, 80));

// Guards against new programs that take the permits of programs under way.
TEST(EndpointLimits, FirstTurnsAreRefusedBeforeProgramsUnderWay)
{
    gateway_world world({.daemons = 9, .engineEndpoints = 2});
    world.warmUp();
    std::vector<std::string> last;
    for (int i = 0; i < 6; ++i) {
        last.push_back(fmt::format("p{}-0", i));
        world.sendAndWait(i, modelTurn(fmt::format("p{}", i), last.back(), 100000));
    }
    world.endpointLimits = {{"engine-0", 4}, {"engine-1", 4}};
    std::vector<const caller_response *> first;
    std::vector<const caller_response *> later;
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 6; ++i) { // One turn a second of each program under way, and two new programs for each.
            const auto program = fmt::format("p{}", i);
            const auto turn = fmt::format("p{}-{}", i, second + 1);
            later.push_back(&world.send(i, modelTurn(program, turn, 100000, last[static_cast<std::size_t>(i)])));
            for (int copy = 0; copy < 2; ++copy) {
                const auto name = fmt::format("n{}-{}-{}", second, i, copy);
                first.push_back(&world.send(i, modelTurn(name, name)));
            }
            world.runFor(166ms);
        }
    }
    world.runFor(3s);
    const auto served = [](const auto &responses) {
        return std::ranges::count(responses, 200, &caller_response::status);
    };
    EXPECT_GE(served(later), 58);
    EXPECT_LE(served(first), 60);
    EXPECT_LE(world.mostRunsWithin("engine-0", limitPeriod, time_point() + 12s), allowedWithin(statedLimit));
}

} // namespace jackdawpick::gateway::testing
