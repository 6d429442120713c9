// Turns that daemons read from the store after all of them have started, while its rate limit is exceeded.

#include "gateway/testing/gateway_world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr int turnsPerChain = 8;
constexpr int chainsPerDaemon = 4;
// A third of the reads that the chains take together in a second; the watches of the daemons take a few.
constexpr int readsPerSecondAndDaemon = chainsPerDaemon * (turnsPerChain + 2) / 3 + 4;
// The platform counts a turn as lost that reaches no endpoint in so many tries.
constexpr int triesUntilLost = 5;
constexpr auto pauseBetweenTries = 300ms;

class history_reads : public ::testing::TestWithParam<int>
{
protected:
    history_reads()
    {
        world.warmUp();
    }

    [[nodiscard]] static int chains()
    {
        return chainsPerDaemon * GetParam();
    }

    static caller_request turnOf(int chain, const std::string &attempt, const std::string &previous)
    {
        return modelTurn(fmt::format("p{}", chain), attempt, 100000, previous);
    }

    void runChains()
    {
        for (int turn = 0; turn < turnsPerChain; ++turn) {
            for (int chain = 0; chain < chains(); ++chain) {
                const auto previous = turn == 0 ? "" : fmt::format("t{}-{}", chain, turn - 1);
                world.send(chain % GetParam(), turnOf(chain, fmt::format("t{}-{}", chain, turn), previous));
            }
            world.runFor(1s);
        }
    }

    gateway_world world{{.daemons = GetParam(),
                         .engineEndpoints = 2 * GetParam(),
                         .readsPerSecond = readsPerSecondAndDaemon * GetParam()}};
};

} // namespace

// Guards against daemons that exceed the rate limit of the store with repeated reads for as long as turns of before
// come again, so that none is served.
TEST_P(history_reads, AllTurnsOfBeforeAStartOfAllAreServed)
{
    runChains();
    for (int i = 0; i < GetParam(); ++i) {
        world.kill(i);
    }
    for (int i = 0; i < GetParam(); ++i) {
        world.start(i);
    }
    world.warmUp();
    std::set<int> unserved;
    for (int chain = 0; chain < chains(); ++chain) {
        unserved.insert(chain);
    }
    for (int attempt = 0; attempt < triesUntilLost && !unserved.empty(); ++attempt) {
        std::map<int, const caller_response *> responses;
        for (const int chain : unserved) {
            const auto request = turnOf(chain, fmt::format("next{}-{}", chain, attempt),
                                        fmt::format("t{}-{}", chain, turnsPerChain - 1));
            responses[chain] = &world.send((chain + attempt) % GetParam(), request);
        }
        world.runFor(1500ms);
        std::erase_if(unserved, [&](int chain) { return responses.at(chain)->status == 200; });
        world.runFor(pauseBetweenTries);
    }
    EXPECT_TRUE(unserved.empty()) << unserved.size() << " of " << chains();
}

INSTANTIATE_TEST_SUITE_P(Sizes, history_reads, ::testing::Values(9, 80));

} // namespace jackdawpick::gateway::testing
