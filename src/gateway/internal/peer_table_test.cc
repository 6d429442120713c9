#include "gateway/internal/peer_table.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::internal
{

using namespace std::chrono_literals;
using urgency = peer_table::urgency;

namespace
{

std::size_t heartbeatsIn(const std::vector<effect> &effects)
{
    return static_cast<std::size_t>(std::ranges::count_if(effects, [](const effect &output) {
        const auto *sent = std::get_if<send_message>(&output);
        return sent != nullptr && std::holds_alternative<peers::heartbeat>(sent->content);
    }));
}

std::vector<link_id> linksIn(const std::vector<effect> &effects)
{
    std::vector<link_id> links;
    for (const auto &output : effects) {
        if (const auto *opened = std::get_if<open_link>(&output)) {
            links.push_back(opened->link);
        }
    }
    return links;
}

// Runs the table until it has opened a link to each peer; the links are not established.
std::vector<link_id> openAllLinks(peer_table &table, manual_clock &clock)
{
    std::vector<effect> effects;
    for (const auto end = clock.now() + 2s; clock.now() < end; clock.advance(10ms)) {
        table.onTime(clock.now());
        table.tick([] { return peers::heartbeat{}; }, urgency::Regular, clock.now(), effects);
    }
    return linksIn(effects);
}

void addPeers(peer_table &table, std::size_t count, const manual_clock &clock)
{
    for (std::size_t i = 0; i < count; ++i) {
        table.addOrUpdate({.name = fmt::format("peer-{}", i), .peerAddress = fmt::format("{}", i)}, clock.now());
    }
}

} // namespace

// Guards against a storm of heartbeats after a start: each new link made the daemon send its heartbeat to all peers, in
// all 3,160 for 79 peers and 250,000 when 80 daemons start together.
TEST(PeerTable, NewLinkCausesOneHeartbeat)
{
    manual_clock clock;
    const auto own = [] {
        return peers::heartbeat{.ready = true};
    };
    peer_table table({.name = "self"});
    constexpr std::size_t peerCount = 79;
    std::vector<effect> effects;
    addPeers(table, peerCount, clock);
    const auto links = openAllLinks(table, clock);
    ASSERT_EQ(links.size(), peerCount);
    effects.clear();
    for (const auto link : links) {
        table.onOpened({.link = link}, own(), effects);
        table.tick(own, urgency::Regular, clock.now(), effects);
    }
    EXPECT_EQ(heartbeatsIn(effects), peerCount);
}

class peer_counts : public ::testing::TestWithParam<std::size_t>
{
protected:
    peer_counts()
    {
        addPeers(table, GetParam(), clock);
        m_links = openAllLinks(table, clock);
        std::vector<effect> effects;
        for (const auto link : m_links) {
            table.onOpened({.link = link}, {}, effects);
        }
    }

    // Ticks the table each 10 ms for a second.
    std::vector<effect> tickForASecond(urgency due)
    {
        std::vector<effect> effects;
        for (int i = 0; i < 100; ++i) {
            table.onTime(clock.now());
            const auto own = [this] {
                ++made;
                return peers::heartbeat{.ready = true};
            };
            table.tick(own, due, clock.now(), effects);
            clock.advance(10ms);
        }
        return effects;
    }

    manual_clock clock;
    peer_table table{{.name = "self"}};
    int made = 0; // Heartbeats that were made to be sent.
    std::vector<link_id> m_links;
};

// Guards against links that are all opened at one moment when many daemons start.
TEST_P(peer_counts, LinksAreOpenedOneAfterTheOther)
{
    peer_table fresh({.name = "self"});
    addPeers(fresh, GetParam(), clock);
    std::size_t most = 0;
    std::size_t all = 0;
    for (const auto end = clock.now() + 2s; clock.now() < end; clock.advance(50ms)) {
        std::vector<effect> effects;
        fresh.onTime(clock.now());
        fresh.tick([] { return peers::heartbeat{}; }, urgency::Regular, clock.now(), effects);
        most = std::max(most, linksIn(effects).size());
        all += linksIn(effects).size();
    }
    EXPECT_EQ(all, GetParam());
    EXPECT_LE(most, 24U);
}

// Guards against a heartbeat to all peers for each of many changes in a short time.
TEST_P(peer_counts, ManyChangesCauseFewHeartbeats)
{
    const auto effects = tickForASecond(urgency::Soon);
    EXPECT_LE(heartbeatsIn(effects), 11 * GetParam());
}

// Guards against a heartbeat, with the loads of all endpoints, that is made on each event and not sent.
TEST_P(peer_counts, HeartbeatsAreMadeOnlyToBeSent)
{
    tickForASecond(urgency::Regular);
    EXPECT_GT(made, 0);
    EXPECT_LE(made, 11);
}

// Guards against a peer that is taken for dead by the word of one daemon, or although it has been heard since.
TEST_P(peer_counts, ReportsOfSilenceNeedASecondOneAndEndWithAHeartbeat)
{
    for (const auto link : m_links) {
        table.onHeartbeat(link, {.ready = true}, clock.now());
    }
    const auto aliveAtFirst = table.aliveCount(clock.now());
    ASSERT_EQ(aliveAtFirst, GetParam());
    clock.advance(50ms);
    const peers::heartbeat report{.ready = true, .silent = {{"peer-0", 60ms}}};
    const auto linkOf = [&](const std::string &name) {
        return *std::ranges::find_if(m_links, [&](link_id link) { return table.nameOf(link) == name; });
    };
    table.onHeartbeat(linkOf("peer-1"), report, clock.now());
    EXPECT_EQ(table.aliveCount(clock.now()), GetParam());
    table.onHeartbeat(linkOf("peer-2"), report, clock.now());
    EXPECT_EQ(table.aliveCount(clock.now()), GetParam() - 1);
    clock.advance(200ms);
    table.onHeartbeat(linkOf("peer-0"), {.ready = true}, clock.now());
    EXPECT_EQ(table.aliveCount(clock.now()), GetParam());
    // The same reports again, which were under way: what they say is older than the heartbeat.
    table.onHeartbeat(linkOf("peer-1"), {.silent = {{"peer-0", 260ms}}}, clock.now());
    table.onHeartbeat(linkOf("peer-2"), {.silent = {{"peer-0", 260ms}}}, clock.now());
    EXPECT_EQ(table.aliveCount(clock.now()), GetParam());
}

// Guards against peers that are taken for dead because this process has not run.
TEST_P(peer_counts, APauseOfThisProcessIsNoSilenceOfItsPeers)
{
    for (const auto link : m_links) {
        table.onHeartbeat(link, {.ready = true, .nextWithin = 200ms}, clock.now());
    }
    table.onTime(clock.now());
    clock.advance(20s);
    EXPECT_TRUE(table.onTime(clock.now()).has_value());
    std::vector<effect> effects;
    table.tick([] { return peers::heartbeat{}; }, urgency::Regular, clock.now(), effects);
    EXPECT_EQ(table.aliveCount(clock.now()), GetParam());
    EXPECT_TRUE(table.silencesToReport(clock.now()).empty());
}

INSTANTIATE_TEST_SUITE_P(Deployments, peer_counts, ::testing::Values(8, 194));

} // namespace jackdawpick::gateway::internal
