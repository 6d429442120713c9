#include "reachability/reachability.h"

#include <gtest/gtest.h>

namespace jackdawpick::reachability
{

namespace
{

using namespace std::chrono_literals;

class path_monitor_test : public ::testing::Test
{
protected:
    // Returns the change that the last probe of a round leads to.
    path_change probe(std::initializer_list<bool> results)
    {
        EXPECT_TRUE(paths.isProbeDue(clock.now()));
        paths.beginProbes(results.size(), clock.now());
        auto change = path_change::None;
        for (const bool reached : results) {
            EXPECT_EQ(change, path_change::None);
            change = paths.onProbeFinished(reached, clock.now());
        }
        return change;
    }

    void loseThePaths()
    {
        paths.onConnectFailed("e1", clock.now());
        paths.onConnectFailed("e2", clock.now());
        EXPECT_EQ(probe({false, false, false}), path_change::Lost);
    }

    manual_clock clock;
    path_monitor paths;
};

} // namespace

// Guards against one bad endpoint, however often it fails, that looks like a lost path.
TEST_F(path_monitor_test, OneFailingEndpointLeadsToNoProbe)
{
    for (int i = 0; i < 10; ++i) {
        paths.onConnectFailed("e1", clock.now());
        clock.advance(50ms);
    }
    EXPECT_FALSE(paths.isProbeDue(clock.now()));
    EXPECT_FALSE(paths.isCutOff());
}

// Guards against several crashed endpoints that look like a lost path.
TEST_F(path_monitor_test, FailingEndpointsAreNoLostPathIfAnotherIsReached)
{
    paths.onConnectFailed("e1", clock.now());
    paths.onConnectFailed("e2", clock.now());
    EXPECT_EQ(probe({false, false, true}), path_change::None);
    EXPECT_FALSE(paths.isCutOff());
}

// Guards against a second of silence of sound endpoints that looks like a lost path.
TEST_F(path_monitor_test, SilenceOnlyLeadsToProbes)
{
    paths.onSilence(clock.now());
    EXPECT_FALSE(paths.isCutOff());
    EXPECT_EQ(probe({true, true, true}), path_change::None);
    EXPECT_FALSE(paths.isCutOff());
}

// Guards against probes without end while endpoints fail and others are reached.
TEST_F(path_monitor_test, ChecksAreBounded)
{
    paths.onSilence(clock.now());
    probe({true, true, true});
    paths.onSilence(clock.now());
    EXPECT_FALSE(paths.isProbeDue(clock.now()));
    clock.advance(path_monitor::minTimeBetweenChecks);
    EXPECT_TRUE(paths.isProbeDue(clock.now()));
}

// Guards against a lost path that is not noticed, and against one that is never probed again.
TEST_F(path_monitor_test, PathsAreLostAndRegained)
{
    loseThePaths();
    EXPECT_TRUE(paths.isCutOff());
    clock.advance(path_monitor::probeInterval);
    EXPECT_EQ(probe({false, false, true}), path_change::None);
    EXPECT_TRUE(paths.isCutOff());
    clock.advance(path_monitor::probeInterval);
    EXPECT_EQ(probe({true, false, true}), path_change::Regained);
    EXPECT_FALSE(paths.isCutOff());
    EXPECT_EQ(paths.nextProbe(), std::nullopt);
}

// Guards against failures from before the paths were regained that count again.
TEST_F(path_monitor_test, FailuresBeforeTheRegainDoNotCount)
{
    loseThePaths();
    clock.advance(path_monitor::probeInterval);
    EXPECT_EQ(probe({true, true, true}), path_change::Regained);
    paths.onConnectFailed("e3", clock.now());
    EXPECT_EQ(paths.nextProbe(), std::nullopt);
}

// Guards against probing that ends for good while no endpoint is known.
TEST_F(path_monitor_test, ProbesGoOnWithoutEndpoints)
{
    loseThePaths();
    clock.advance(path_monitor::probeInterval);
    paths.beginProbes(0, clock.now());
    EXPECT_EQ(paths.nextProbe(), clock.now() + path_monitor::probeInterval);
}

} // namespace jackdawpick::reachability
