#pragma once

// The fixture of tests with a request that crashes the endpoints that run it and comes again at any daemon.
//
//   class my_requests : public crashing_requests {};
//   TEST_P(my_requests, AreBlocked) { crashThree(); ... }

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

// The platform's bound: at most this many runs later than the window after the third crash.
inline constexpr std::ptrdiff_t allowedRetries = 3;
inline constexpr std::chrono::milliseconds contactWindow{3000};
inline constexpr std::size_t crashesUntilKnown = 3;

[[nodiscard]] inline caller_request crashingRequest(int number)
{
    auto request = shopRequest("/pay/x", fmt::format("crash-{}", number));
    request.program = "program";
    request.body = "crash";
    return request;
}

class crashing_requests : public ::testing::TestWithParam<int>
{
protected:
    crashing_requests()
    {
        world.crashing = crashing_request{.body = "crash"};
        world.warmUp();
    }

    // Sends the request `count` times to these daemons in turn.
    void sendCrashing(int count, int firstDaemon = 0, int daemonCount = 1,
                      std::chrono::milliseconds interval = std::chrono::milliseconds(400))
    {
        for (int i = 0; i < count; ++i) {
            world.send((firstDaemon + i % daemonCount) % GetParam(), crashingRequest(++m_sent));
            world.runFor(interval);
        }
    }

    // Crashes the endpoints that make the request known, at daemon 0.
    void crashThree()
    {
        sendCrashing(static_cast<int>(crashesUntilKnown));
        ASSERT_EQ(world.crashing->crashes.size(), crashesUntilKnown);
    }

    void restart(int first, int last)
    {
        for (int i = first; i < last; ++i) {
            world.kill(i);
            world.start(i);
            world.runFor(std::chrono::milliseconds(300));
        }
    }

    // Takes the paths to the endpoints from daemon 0, so that its requests go through peers.
    void losePaths()
    {
        world.endpointPaths[0] = path_behaviour::Hangs;
        for (int i = 0; i < 4; ++i) {
            world.send(0, shopRequest("/read/x", fmt::format("early-{}", i)));
            world.runFor(std::chrono::milliseconds(300));
        }
        world.runFor(std::chrono::seconds(1));
        ASSERT_GE(world.logLinesOf("endpoints_lost"), 1);
    }

    // Sends the request to daemon 0 again and again, and kills the daemon each time in the moment of the crash.
    void crashAndKillDaemon(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto crashesBefore = world.crashing->crashes.size();
            world.send(0, crashingRequest(100 + i));
            for (int wait = 0; wait < 600 && world.crashing->crashes.size() == crashesBefore; ++wait) {
                world.runFor(std::chrono::milliseconds(1));
            }
            world.kill(0);
            world.start(0);
            world.runFor(std::chrono::milliseconds(1500));
        }
    }

    void setLinksBlocked(int daemon, bool blocked)
    {
        for (int other = 0; other < GetParam(); ++other) {
            for (const auto &link : {std::pair(daemon, other), std::pair(other, daemon)}) {
                if (blocked) {
                    world.blockedLinks.insert(link);
                } else {
                    world.blockedLinks.erase(link);
                }
            }
        }
    }

    [[nodiscard]] std::ptrdiff_t runsAfterWindow() const
    {
        const auto &crashes = world.crashing->crashes;
        if (crashes.size() < crashesUntilKnown) {
            return 0;
        }
        const auto end = crashes.at(crashesUntilKnown - 1) + contactWindow;
        return std::ranges::count_if(world.runs, [&](const auto &run) {
            return run.body == world.crashing->body && run.attempt.starts_with(world.crashing->attemptPrefix)
                && run.at > end;
        });
    }

    gateway_world world{{.daemons = GetParam(), .engineEndpoints = 4, .shopEndpoints = 12}};

private:
    int m_sent = 0;
};

} // namespace jackdawpick::gateway::testing
