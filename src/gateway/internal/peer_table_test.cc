#include "gateway/internal/peer_table.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick::gateway::internal
{

using namespace std::chrono_literals;

namespace
{

std::size_t heartbeatsIn(const std::vector<effect> &effects)
{
    return static_cast<std::size_t>(std::ranges::count_if(effects, [](const effect &output) {
        const auto *sent = std::get_if<send_message>(&output);
        return sent != nullptr && std::holds_alternative<peers::heartbeat>(sent->content);
    }));
}

} // namespace

// Guards against a storm of heartbeats after a start: each new link made the daemon send its heartbeat to all peers, in
// all 3,160 for 79 peers and 250,000 when 80 daemons start together.
TEST(PeerTable, NewLinkCausesOneHeartbeat)
{
    manual_clock clock;
    const peers::heartbeat own{.ready = true};
    peer_table table({.name = "self"});
    constexpr std::size_t peerCount = 79;
    std::vector<effect> effects;
    for (std::size_t i = 0; i < peerCount; ++i) {
        table.addOrUpdate({.name = fmt::format("peer-{}", i), .peerAddress = fmt::format("{}", i)}, clock.now());
    }
    table.tick(own, false, clock.now(), effects);
    std::vector<link_id> links;
    for (const auto &output : effects) {
        if (const auto *opened = std::get_if<open_link>(&output)) {
            links.push_back(opened->link);
        }
    }
    ASSERT_EQ(links.size(), peerCount);
    effects.clear();
    for (const auto link : links) {
        table.onOpened({.link = link}, own, effects);
        table.tick(own, false, clock.now(), effects);
    }
    EXPECT_EQ(heartbeatsIn(effects), peerCount);
}

} // namespace jackdawpick::gateway::internal
