// Deaths, stops and pauses of daemons, in deployments of few and of many hosts.

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

// All daemons know of a death, and of a planned stop, after these times.
constexpr milliseconds deathKnownAfter{2000};
constexpr milliseconds stopKnownAfter{500};
// The platform's bound for the directory.
constexpr milliseconds directoryLag{3000};

class deployments : public ::testing::TestWithParam<int>
{
protected:
    deployments()
    {
        world.warmUp();
        world.runFor(1s);
    }

    // How many of the daemons that answer count the other one among the daemons that accept requests, of which the
    // directory names some.
    [[nodiscard]] int countedBy(int other) const
    {
        int count = 0;
        for (int i = 0; i < GetParam(); ++i) {
            const bool answers = world.isRunning(i) && !world.isFrozen(i);
            count += answers && i != other && world.counts(i, other) ? 1 : 0;
        }
        return count;
    }

    gateway_world world{{.daemons = GetParam()}};
};

} // namespace

// Guards against a directory that names a host without power for as long as its rare heartbeats may be late.
TEST_P(deployments, ADeathIsKnownSoon)
{
    ASSERT_EQ(countedBy(3), GetParam() - 1);
    world.powerOff(3);
    world.runFor(deathKnownAfter);
    EXPECT_EQ(countedBy(3), 0);
}

// Guards against hosts without power that are named because those who would report them died with them.
TEST_P(deployments, DeathsOfMostHostsAreKnownSoon)
{
    for (int i = 0; i < GetParam(); ++i) {
        if (i % 20 >= 9) {
            world.powerOff(i);
        }
    }
    world.runFor(directoryLag);
    int counted = 0;
    for (int i = 0; i < GetParam(); ++i) {
        counted += world.isRunning(i) ? 0 : countedBy(i);
    }
    EXPECT_EQ(counted, 0);
}

// Guards against a daemon that is named after it has begun to stop.
TEST_P(deployments, AStopIsKnownAtOnce)
{
    world.shutdown(3);
    world.runFor(stopKnownAfter);
    EXPECT_EQ(countedBy(3), 0);
}

// Guards against daemons that take all others for dead, or tell others so, after they have stood still.
TEST_P(deployments, APausedDaemonIsLeftOutAndAccusesNobody)
{
    const int paused = GetParam() / 9;
    for (int i = 0; i < paused; ++i) {
        world.freeze(i);
    }
    world.runFor(deathKnownAfter);
    EXPECT_EQ(countedBy(0), 0);
    world.runFor(3s);
    for (int i = 0; i < paused; ++i) {
        world.thaw(i);
        EXPECT_EQ(world.core(i).readyDaemons(world.now()).size(), static_cast<std::size_t>(GetParam()));
    }
    world.runFor(stopKnownAfter);
    for (int step = 0; step < 10; ++step) {
        for (int i = 0; i < GetParam(); ++i) {
            ASSERT_EQ(world.core(i).readyDaemons(world.now()).size(), static_cast<std::size_t>(GetParam()))
                << "daemon " << i << ", step " << step;
        }
        world.runFor(200ms);
    }
}

// Guards against attempts without end to connect to a host that is gone for good, and against a host whose record was
// removed and that is not found when it is back.
TEST_P(deployments, AHostThatIsGoneIsForgottenUntilItIsBack)
{
    world.powerOff(3);
    world.runFor(30s);
    const int attempts = world.connectAttempts[3];
    world.runFor(5s);
    EXPECT_EQ(world.connectAttempts[3], attempts);
    world.start(3);
    world.runFor(4s);
    EXPECT_EQ(countedBy(3), GetParam() - 1);
}

INSTANTIATE_TEST_SUITE_P(Sizes, deployments, ::testing::Values(9, 195));

} // namespace jackdawpick::gateway::testing
