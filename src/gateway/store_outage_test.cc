// Programs whose turns arrive while the store is away for all daemons.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// A caller asks once more after the time that it was told, and begins a turn that has failed anew twice.
constexpr int attemptsPerTurn = 2;
constexpr int turnsPerFailure = 3;
constexpr milliseconds pauseBeforeNewTurn{100};

class store_outage : public ::testing::TestWithParam<int>
{
protected:
    store_outage()
    {
        world.warmUp();
    }

    // The store is away for all daemons from now on for this time.
    void beginOutage(milliseconds time)
    {
        setStoreUnavailable(true);
        m_outageEnds = world.now() + time;
    }

    void run(milliseconds time)
    {
        for (const auto end = world.now() + time; world.now() < end; world.runFor(10ms)) {
            if (world.now() >= m_outageEnds) {
                setStoreUnavailable(false);
            }
        }
    }

    // Sends a turn as the platform's callers do; returns whether it was served in the end.
    bool sendTurn(const std::string &program)
    {
        int attempt = 0;
        for (int turn = 0; turn < turnsPerFailure; ++turn) {
            for (int i = 0; i < attemptsPerTurn; ++i) {
                const auto &response =
                    world.send(attempt % GetParam(), modelTurn(program, fmt::format("{}-{}", program, attempt)));
                ++attempt;
                const auto sent = world.now();
                while (!response.ended()) {
                    run(10ms);
                }
                longestAnswer = std::max(longestAnswer, millisecondsBetween(sent, world.now()));
                if (response.status == 200) {
                    return true;
                }
                run(i + 1 < attemptsPerTurn ? response.retryAfter.value_or(0ms) : pauseBeforeNewTurn);
            }
        }
        return false;
    }

    gateway_world world{{.daemons = GetParam()}};
    milliseconds longestAnswer{0};

private:
    void setStoreUnavailable(bool unavailable)
    {
        for (int i = 0; i < GetParam(); ++i) {
            world.storeBehaviours[i].unavailable = unavailable;
        }
    }

    time_point m_outageEnds = time_point::max();
};

} // namespace

// Guards against callers that have used up their attempts before the end of an outage of the store, and against
// refusals that are held back for that.
TEST_P(store_outage, IsOutlastedByCallersThatComeBackWhenTheyAreTold)
{
    beginOutage(5000ms);
    run(1500ms);
    EXPECT_TRUE(sendTurn("p"));
    EXPECT_LE(longestAnswer, 400ms);
}

INSTANTIATE_TEST_SUITE_P(Daemons, store_outage, ::testing::Values(9, 195));

} // namespace jackdawpick::gateway::testing
