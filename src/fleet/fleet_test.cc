#include "fleet/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace jackdawpick::fleet
{

namespace
{

using namespace std::chrono_literals;

class fleet_test : public ::testing::Test
{
protected:
    fleet_test()
    {
        pool.upsert({.id = "a", .service = "llm", .address = "1:1", .zone = "z1", .slots = 2}, clock.now());
        pool.upsert({.id = "b", .service = "llm", .address = "1:2", .zone = "z1", .slots = 2}, clock.now());
        pool.upsert({.id = "c", .service = "shop", .address = "1:3", .zone = "z1", .slots = 2}, clock.now());
    }

    std::string chosen(const placement_request &request, double noise = 0)
    {
        const auto where = pool.choose(request, noise, clock.now());
        return where.has_value() ? where->id : "";
    }

    manual_clock clock;
    endpoint_pool pool;
    const placement_request model{.service = "llm", .zone = "z1", .outputTokens = 250};
};

} // namespace

// Guards against requests that reach an endpoint of another service.
TEST_F(fleet_test, OnlyEndpointsOfTheServiceAreChosen)
{
    EXPECT_EQ(chosen({.service = "shop", .zone = "z1"}), "c");
    EXPECT_EQ(chosen({.service = "none", .zone = "z1"}), "");
}

// Guards against new work on endpoints that are draining, leaving or gone.
TEST_F(fleet_test, LeavingEndpointsGetNothing)
{
    pool.upsert({.id = "a", .service = "llm", .address = "1:1", .slots = 2, .draining = true}, clock.now());
    EXPECT_EQ(chosen(model), "b");
    pool.markLeaving("b");
    EXPECT_EQ(chosen(model), "");
    pool.upsert({.id = "d", .service = "llm", .address = "1:4", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "d");
    pool.remove("d", false, clock.now());
    EXPECT_EQ(chosen(model), "");
}

// Guards against refusing everything because the entries of living endpoints lapsed while the store was away.
TEST_F(fleet_test, LapsedEntriesStayForTheGrace)
{
    pool.keepOnly({}, true, clock.now());
    EXPECT_NE(chosen(model), "");
    clock.advance(endpoint_pool::lapseGrace);
    EXPECT_EQ(chosen(model), "");
    pool.upsert({.id = "a", .service = "llm", .address = "1:1", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "a");
}

// Guards against daemons that all fill the same endpoint because they see their own requests only.
TEST_F(fleet_test, LoadsOfPeersCount)
{
    pool.setPeerLoads("peer", {{"a", 2}}, clock.now());
    EXPECT_EQ(chosen(model), "b");
    pool.setPeerLoads("peer", {{"b", 2}}, clock.now());
    EXPECT_EQ(chosen(model), "a");
    clock.advance(3s); // The report is too old.
    pool.onDispatched("a", clock.now());
    EXPECT_EQ(chosen(model), "b");
}

// Guards against an endpoint that gets request after request although it cannot be reached.
TEST_F(fleet_test, UnreachableEndpointsArePaused)
{
    pool.onDispatched("a", clock.now());
    pool.onFinished("a", request_outcome::Unreachable, 0ms, clock.now());
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(chosen(model, 0.1 * i), "b");
    }
    placement_request other = model;
    other.excluded = {"b"};
    EXPECT_EQ(chosen(other), "a"); // Better than nothing.
}

// Guards against more connections than an endpoint accepts from all daemons.
TEST_F(fleet_test, ConnectionsAreSharedAmongDaemons)
{
    pool.setConnectionLimit("shop", 10, 4); // Two for each daemon.
    const placement_request shop{.service = "shop", .zone = "z1"};
    pool.onDispatched("c", clock.now());
    EXPECT_EQ(chosen(shop), "c");
    pool.onDispatched("c", clock.now());
    EXPECT_EQ(chosen(shop), "");
    pool.onFinished("c", request_outcome::Answered, 10ms, clock.now());
    EXPECT_EQ(chosen(shop), "c");
}

// Guards against requests for one object that are spread over all endpoints.
TEST_F(fleet_test, AffinityPrefersOneEndpointWhileItIsNotBusier)
{
    placement_request request = model;
    request.affinity = "object-1";
    std::set<std::string> used;
    for (int i = 0; i < 10; ++i) {
        used.insert(chosen(request, 0.1 * i));
    }
    EXPECT_EQ(used.size(), 1U);
    pool.setPeerLoads("peer", {{*used.begin(), 4}}, clock.now());
    EXPECT_NE(chosen(request), *used.begin());
}

namespace
{

// Two daemons that know nothing of each other, in front of a dozen engines.
class placement_test : public ::testing::Test
{
protected:
    placement_test()
    {
        for (int i = 0; i < engines; ++i) {
            const auto announce = [&](endpoint_pool &pool, int number) {
                pool.upsert({.id = fmt::format("e{}", number), .service = "llm", .address = "1:1", .slots = slots},
                            clock.now());
            };
            announce(one, i);
            announce(two, engines - 1 - i);
        }
    }

    [[nodiscard]] static placement_request turnOf(int line, const std::string &firstPart)
    {
        return {
            .service = "llm", .prompt = {{firstPart, 12600}, {fmt::format("line{}", line), 1700}}, .outputTokens = 250};
    }

    [[nodiscard]] std::string chosenBy(const endpoint_pool &pool, const placement_request &request, double noise) const
    {
        return pool.choose(request, noise, clock.now()).value().id;
    }

    static constexpr int engines = 12;
    static constexpr std::uint32_t slots = 12;
    manual_clock clock;
    endpoint_pool one;
    endpoint_pool two;
};

} // namespace

// Guards against a line of turns that each daemon continues at another engine, which reads the whole line again.
TEST_F(placement_test, AllDaemonsContinueALineAtOneEndpoint)
{
    for (int line = 0; line < 100; ++line) {
        const auto turn = turnOf(line, "shared");
        EXPECT_EQ(chosenBy(one, turn, 0.1), chosenBy(two, turn, 0.9));
    }
}

// Guards against long first parts that every engine reads, and again when it has dropped them for others.
TEST_F(placement_test, PromptsThatBeginAlikeUseAPartOfTheEndpoints)
{
    for (const std::string first : {"shared1", "shared2", "shared3"}) {
        std::set<std::string> used;
        for (int line = 0; line < 100; ++line) {
            used.insert(chosenBy(one, turnOf(line, first), 0.01 * line));
        }
        EXPECT_EQ(used.size(), 4U);
    }
}

// Guards against a prompt that is asked for so much that its engines are full while others are idle.
TEST_F(placement_test, FullEndpointsLoseTheirLines)
{
    const auto turn = turnOf(1, "shared");
    const auto home = chosenBy(one, turn, 0);
    one.setPeerLoads("peer", {{home, 4 * slots}}, clock.now());
    EXPECT_NE(chosenBy(one, turn, 0), home);
}

// Guards against a wrong view of how full a service is: endpoints that are leaving carry nothing more.
TEST_F(placement_test, UtilisationCountsUsableEndpoints)
{
    EXPECT_EQ(one.utilisation("llm", clock.now()), 0);
    EXPECT_EQ(one.utilisation("none", clock.now()), 0);
    one.setPeerLoads("peer", {{"e0", 2 * slots}, {"e1", slots}}, clock.now());
    EXPECT_DOUBLE_EQ(one.utilisation("llm", clock.now()), 3.0 / engines);
    one.markLeaving("e0");
    EXPECT_DOUBLE_EQ(one.utilisation("llm", clock.now()), 1.0 / (engines - 1));
}

// Guards against programs that are late because their line stays at an engine that has become slow, and against an
// engine that is never tried again after it was.
TEST_F(placement_test, SlowEnginesAreAvoidedForAWhile)
{
    const auto turn = turnOf(1, "shared");
    const auto home = chosenBy(one, turn, 0);
    for (int event = 0; event < 10; ++event) {
        for (int engine = 0; engine < engines; ++engine) {
            const auto id = fmt::format("e{}", engine);
            one.onStreamEvents(id, 1, id == home ? 175ms : 35ms, clock.now());
        }
    }
    EXPECT_NE(chosenBy(one, turn, 0), home);
    const auto lessRoom = one.utilisation("llm", clock.now());
    one.setPeerLoads("peer", {{"e0", slots}}, clock.now());
    EXPECT_GT(one.utilisation("llm", clock.now()), 1.0 / engines + lessRoom);
    one.removePeer("peer");
    clock.advance(5s);
    EXPECT_EQ(chosenBy(one, turn, 0), home);
}

// Guards against lines that move because engines with more requests in their batch are a little slower.
TEST_F(placement_test, LoadIsNotTakenForSlowness)
{
    const auto turn = turnOf(1, "shared");
    const auto home = chosenBy(one, turn, 0);
    for (int engine = 0; engine < engines; ++engine) {
        const auto id = fmt::format("e{}", engine);
        one.onStreamEvents(id, 1, id == home ? 45ms : 35ms, clock.now());
    }
    EXPECT_EQ(chosenBy(one, turn, 0), home);
}

} // namespace jackdawpick::fleet
