#include "fleet/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
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

    std::string chosen(const placement_request &request, double randomFraction = 0)
    {
        const auto where = pool.choose(request, randomFraction, clock.now());
        return where.has_value() ? where->id : "";
    }

    manual_clock clock;
    endpoint_pool pool;
    const placement_request model{.service = "llm", .zone = "z1", .outputTokens = 250};
};

} // namespace

// Guards against sending a request to an endpoint of another service.
TEST_F(fleet_test, OnlyEndpointsOfTheServiceAreChosen)
{
    EXPECT_EQ(chosen({.service = "shop", .zone = "z1"}), "c");
    EXPECT_EQ(chosen({.service = "none", .zone = "z1"}), "");
}

// Guards against new requests to endpoints that are draining, leaving or removed.
TEST_F(fleet_test, LeavingEndpointsGetNothing)
{
    pool.upsert({.id = "a", .service = "llm", .address = "1:1", .slots = 2, .draining = true}, clock.now());
    EXPECT_EQ(chosen(model), "b");
    pool.markMisdirected("b");
    EXPECT_EQ(chosen(model), "");
    pool.upsert({.id = "d", .service = "llm", .address = "1:4", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "d");
    pool.remove("d", false, clock.now());
    EXPECT_EQ(chosen(model), "");
}

// Guards against an endpoint with a rate limit that looks idle, since it has few requests in flight, and draws all.
TEST_F(fleet_test, LimitedEndpointCountsWithTheSlotsThatItsLimitFills)
{
    pool.setRateLimit("a", 1);
    pool.onDispatched("a", clock.now());
    pool.onDispatched("b", clock.now());
    pool.onDispatched("b", clock.now());
    EXPECT_EQ(chosen(model), "b");
    const auto limited = pool.utilisation("llm", clock.now());
    pool.setRateLimit("a", std::nullopt);
    EXPECT_EQ(chosen(model), "a");
    EXPECT_GT(limited, pool.utilisation("llm", clock.now()));
}

// Guards against requests to an endpoint for which no permit is available, and against one that is blocked for good.
TEST_F(fleet_test, BlockedEndpointIsSelectedAgainLater)
{
    pool.setRateLimit("a", 1);
    pool.setRateLimit("b", 1);
    pool.blockUntil("a", clock.now() + 300ms);
    EXPECT_EQ(chosen(model), "b");
    EXPECT_TRUE(pool.choose(model, 0, clock.now())->limited);
    pool.blockUntil("b", clock.now() + 200ms);
    EXPECT_EQ(chosen(model), "");
    EXPECT_EQ(pool.nextUnblocked(model, clock.now()), clock.now() + 200ms);
    clock.advance(250ms);
    EXPECT_EQ(chosen(model), "b");
    pool.setRateLimit("a", std::nullopt);
    pool.markMisdirected("b");
    EXPECT_EQ(chosen(model), "a");
}

// Guards against requests to an endpoint that has stated that it leaves, whatever its entry in the store says later.
TEST_F(fleet_test, StatementsOfLeavingHoldForOneStart)
{
    const fleet::endpoint_entry entry{
        .id = "a", .service = "llm", .address = "1:1", .zone = "z1", .slots = 2, .born = 5};
    pool.upsert(entry, clock.now());
    pool.remove("b", false, clock.now());
    EXPECT_TRUE(pool.onLeavingReported({"a", 5}, clock.now()));
    EXPECT_FALSE(pool.onLeavingStated({"a", 5}, clock.now()));
    EXPECT_EQ(chosen(model), "");
    EXPECT_FALSE(pool.takesRequests({"a", 5}, clock.now()));
    pool.remove("a", false, clock.now());
    pool.upsert(entry, clock.now());
    EXPECT_EQ(chosen(model), "");
    auto restarted = entry;
    restarted.born = 6;
    pool.upsert(restarted, clock.now());
    EXPECT_EQ(chosen(model), "a");
    EXPECT_TRUE(pool.isLeaving({"a", 5}));
}

// Guards against statements that stay in memory for ever, and against an endpoint that is used again while it is
// listed.
TEST_F(fleet_test, StatementsOfEndpointsThatAreGoneAreForgotten)
{
    pool.onLeavingStated({"a", 0}, clock.now());
    pool.onLeavingStated({"gone", 3}, clock.now());
    EXPECT_EQ(pool.leavingStatements().size(), 2U);
    clock.advance(leaving_table::statementLifetime);
    pool.evictExpiredStatements(clock.now());
    EXPECT_EQ(pool.leavingStatements(), (std::vector<endpoint_incarnation>{{"a", 0}}));
}

// Guards against probes that all go to one endpoint, or to one that is leaving.
TEST_F(fleet_test, SampledAddressesAreDistinctAndUsable)
{
    pool.markMisdirected("b");
    for (const double fraction : {0.0, 0.3, 0.99}) {
        const auto sample = pool.sampleAddresses(3, fraction, clock.now());
        EXPECT_EQ(std::set(sample.begin(), sample.end()), (std::set<std::string>{"1:1", "1:3"}));
    }
    EXPECT_EQ(pool.sampleAddresses(1, 0.5, clock.now()).size(), 1U);
}

// Guards against losing an endpoint for good that starts again under its old id, after another endpoint had used its
// address for a while and had told so.
TEST_F(fleet_test, EndpointThatStartsAgainIsUsedAgain)
{
    pool.remove("b", false, clock.now());
    pool.markMisdirected("a");
    pool.upsert({.id = "a", .service = "llm", .address = "1:1", .zone = "z1", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), ""); // The same entry, written again.
    pool.upsert({.id = "a", .service = "llm", .address = "1:9", .zone = "z1", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "a");
    pool.markMisdirected("a");
    pool.upsert({.id = "a", .service = "llm", .address = "1:9", .zone = "z1", .slots = 2, .born = 7}, clock.now());
    EXPECT_EQ(chosen(model), "a");
    pool.markMisdirected("a");
    pool.remove("a", false, clock.now());
    pool.upsert({.id = "a", .service = "llm", .address = "1:9", .zone = "z1", .slots = 2, .born = 7}, clock.now());
    EXPECT_EQ(chosen(model), "a");
}

// Guards against rejecting all requests when the entries of running endpoints expired because the store was
// unavailable.
TEST_F(fleet_test, ExpiredEntriesStayForTheGracePeriod)
{
    pool.keepOnly({}, true, clock.now());
    EXPECT_NE(chosen(model), "");
    clock.advance(endpoint_pool::expiryGrace);
    EXPECT_EQ(chosen(model), "");
    pool.upsert({.id = "a", .service = "llm", .address = "1:1", .slots = 2}, clock.now());
    EXPECT_EQ(chosen(model), "a");
}

// Guards against overloading one endpoint because each daemon counts only its own requests.
TEST_F(fleet_test, LoadsOfPeersCount)
{
    pool.setPeerLoads("peer", {{"a", 2}}, clock.now());
    EXPECT_EQ(chosen(model), "b");
    pool.setPeerLoads("peer", {{"b", 2}}, clock.now());
    EXPECT_EQ(chosen(model), "a");
    clock.advance(3s); // The report is too old to tell where the requests are.
    pool.onDispatched("a", clock.now());
    EXPECT_EQ(chosen(model), "b");
}

// Guards against repeatedly selecting an endpoint that cannot be reached.
TEST_F(fleet_test, UnreachableEndpointsAreBackedOff)
{
    pool.onDispatched("a", clock.now());
    pool.onFinished("a", request_outcome::Unreachable, 0ms, clock.now());
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(chosen(model, 0.1 * i), "b");
    }
    placement_request other = model;
    other.excluded = {"b"};
    EXPECT_EQ(chosen(other), "a"); // The only one left.
}

// Guards against exceeding the number of connections that an endpoint accepts from all daemons together.
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

// Guards against spreading requests with the same affinity over all endpoints.
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

// Two daemons that do not communicate, with the same twelve engines.
class placement_test : public ::testing::Test
{
protected:
    placement_test()
    {
        for (int i = 0; i < engines; ++i) {
            const auto addTo = [&](endpoint_pool &pool, int number) {
                pool.upsert({.id = fmt::format("e{}", number), .service = "llm", .address = "1:1", .slots = slots},
                            clock.now());
            };
            addTo(one, i);
            addTo(two, engines - 1 - i);
        }
    }

    [[nodiscard]] static placement_request turnIn(int conversation, const std::string &firstSegment)
    {
        return {.service = "llm",
                .prompt = {{firstSegment, 12600}, {fmt::format("line{}", conversation), 1700}},
                .outputTokens = 250};
    }

    [[nodiscard]] std::string chosenBy(const endpoint_pool &pool, const placement_request &request,
                                       double randomFraction) const
    {
        return pool.choose(request, randomFraction, clock.now()).value().id;
    }

    static constexpr int engines = 12;
    static constexpr std::uint32_t slots = 12;
    manual_clock clock;
    endpoint_pool one;
    endpoint_pool two;
};

} // namespace

// Guards against daemons that continue one conversation at different engines, each of which has to prefill all of it.
TEST_F(placement_test, AllDaemonsContinueAConversationAtOneEndpoint)
{
    for (int conversation = 0; conversation < 100; ++conversation) {
        const auto turn = turnIn(conversation, "shared");
        EXPECT_EQ(chosenBy(one, turn, 0.1), chosenBy(two, turn, 0.9));
    }
}

// Guards against long shared prefixes that every engine prefills, and prefills again after evicting them.
TEST_F(placement_test, PromptsWithACommonPrefixUseASubsetOfTheEndpoints)
{
    for (const std::string first : {"shared1", "shared2", "shared3"}) {
        std::set<std::string> used;
        for (int conversation = 0; conversation < 100; ++conversation) {
            used.insert(chosenBy(one, turnIn(conversation, first), 0.01 * conversation));
        }
        EXPECT_EQ(used.size(), 4U);
    }
}

// Guards against a frequent prompt that fills its engines while others are idle.
TEST_F(placement_test, FullEndpointsLoseTheirConversations)
{
    const auto turn = turnIn(1, "shared");
    const auto home = chosenBy(one, turn, 0);
    one.setPeerLoads("peer", {{home, 4 * slots}}, clock.now());
    EXPECT_NE(chosenBy(one, turn, 0), home);
}

// Guards against a wrong utilisation: leaving endpoints add no capacity.
TEST_F(placement_test, UtilisationCountsUsableEndpoints)
{
    EXPECT_EQ(one.utilisation("llm", clock.now()), 0);
    EXPECT_EQ(one.utilisation("none", clock.now()), 0);
    one.setPeerLoads("peer", {{"e0", 2 * slots}, {"e1", slots}}, clock.now());
    EXPECT_DOUBLE_EQ(one.utilisation("llm", clock.now()), 3.0 / engines);
    one.markMisdirected("e0");
    EXPECT_DOUBLE_EQ(one.utilisation("llm", clock.now()), 1.0 / (engines - 1));
}

// Guards against delaying programs whose conversations stay at an engine that has become slow, and against never trying
// that engine again.
TEST_F(placement_test, SlowEnginesAreAvoidedForAWhile)
{
    const auto turn = turnIn(1, "shared");
    const auto home = chosenBy(one, turn, 0);
    for (int event = 0; event < 10; ++event) {
        for (int engine = 0; engine < engines; ++engine) {
            const auto id = fmt::format("e{}", engine);
            one.onStreamEvents(id, 1, id == home ? 175ms : 35ms, clock.now());
        }
    }
    EXPECT_NE(chosenBy(one, turn, 0), home);
    const auto slowUtilisation = one.utilisation("llm", clock.now());
    one.setPeerLoads("peer", {{"e0", slots}}, clock.now());
    EXPECT_GT(one.utilisation("llm", clock.now()), 1.0 / engines + slowUtilisation);
    one.removePeer("peer");
    clock.advance(5s);
    EXPECT_EQ(chosenBy(one, turn, 0), home);
}

// Guards against a limit of one engine that moves conversations among all others: they stay, or move to the engine that
// holds the shared prompt in its place.
TEST_F(placement_test, LimitOfAnEngineMovesConversationsToOneOtherOnly)
{
    std::map<int, std::string> homes;
    for (int program = 0; program < 50; ++program) {
        homes[program] = chosenBy(one, turnIn(program, "shared"), 0);
    }
    const auto limited = homes.at(0);
    one.setRateLimit(limited, 0.5);
    std::set<std::string> newHomes;
    int stayed = 0;
    for (const auto &[program, home] : homes) {
        const auto now = chosenBy(one, turnIn(program, "shared"), 0);
        EXPECT_NE(now, limited);
        stayed += now == home ? 1 : 0;
        if (now != home && home != limited) {
            newHomes.insert(now);
        }
    }
    EXPECT_GT(stayed, 0);
    EXPECT_LE(newHomes.size(), 1U);
}

// Guards against moving conversations because an engine with a larger batch is slightly slower.
TEST_F(placement_test, LoadIsNotTakenForSlowness)
{
    const auto turn = turnIn(1, "shared");
    const auto home = chosenBy(one, turn, 0);
    for (int engine = 0; engine < engines; ++engine) {
        const auto id = fmt::format("e{}", engine);
        one.onStreamEvents(id, 1, id == home ? 45ms : 35ms, clock.now());
    }
    EXPECT_EQ(chosenBy(one, turn, 0), home);
}

// Guards against loads that vanish between two heartbeats: with 195 daemons these are 2.3 s apart.
TEST(Utilisation, CountsLoadsOfPeersUntilTheirNextReport)
{
    manual_clock clock;
    endpoint_pool pool;
    pool.upsert({.id = "a", .service = "s", .address = "1", .zone = "z", .slots = 4}, clock.now());
    pool.setPeerLoads("peer-1", {{"a", 2}}, clock.now());
    pool.setPeerLoads("peer-2", {{"a", 4}, {"unknown", 7}}, clock.now());
    clock.advance(std::chrono::milliseconds(2400));
    EXPECT_DOUBLE_EQ(pool.utilisation("s", clock.now()), 1.5);
    pool.setPeerLoads("peer-1", {}, clock.now());
    EXPECT_DOUBLE_EQ(pool.utilisation("s", clock.now()), 1.0);
    pool.removePeer("peer-2");
    EXPECT_DOUBLE_EQ(pool.utilisation("s", clock.now()), 0.0);
}

} // namespace jackdawpick::fleet
