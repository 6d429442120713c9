#pragma once

// Chains of turns in a gateway_world, for tests of their histories.

#include "gateway/testing/gateway_world.h"

#include <cstddef>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <string>

namespace jackdawpick::gateway::testing
{

// Returns a turn that continues `previous`, with an input of `bytes` bytes.
inline caller_request longTurn(const std::string &program, const std::string &attempt, const std::string &previous,
                               std::size_t bytes)
{
    auto request = modelTurn(program, attempt, 100000, previous);
    request.body = attempt + std::string(bytes - attempt.size(), 'x');
    return request;
}

// Runs a chain of turns "t0", "t1", ... without pauses and returns the history that a turn after them continues.
inline std::string runChain(gateway_world &world, int turns, std::size_t inputBytes, int daemons)
{
    using namespace std::chrono_literals;
    std::string history;
    for (int i = 0; i < turns; ++i) {
        const auto attempt = fmt::format("t{}", i);
        const auto request = longTurn("p", attempt, i == 0 ? "" : fmt::format("t{}", i - 1), inputBytes);
        const auto &response = world.send(i % daemons, request);
        for (int step = 0; step < 100 && !response.ended(); ++step) {
            world.runFor(10ms);
        }
        EXPECT_TRUE(response.complete) << attempt;
        history += request.body + eventTextOf(attempt);
        EXPECT_EQ(world.runsOf(attempt), 1);
    }
    return history;
}

// Kills all daemons and starts them again, so that they know histories from the store alone.
inline void restartAll(gateway_world &world, int daemons)
{
    for (int i = 0; i < daemons; ++i) {
        world.kill(i);
    }
    for (int i = 0; i < daemons; ++i) {
        world.start(i);
    }
    world.warmUp();
}

} // namespace jackdawpick::gateway::testing
