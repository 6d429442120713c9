#include "membership/membership.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

// Simulated daemons that exchange heartbeats with their ring neighbours, on a manual clock.
class fleet
{
public:
    explicit fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            const auto name = fmt::format("host-{}", i);
            const auto zone = fmt::format("z{}", i % 3);
            hosts.push_back({.name = name,
                             .kind = host_kind::Daemon,
                             .address = fmt::format("10.0.0.{}:80", i),
                             .peerAddress = fmt::format("10.0.0.{}:81", i),
                             .zone = zone});
            const member_identity self{{name, i + 1}, zone, hosts.back().address, hosts.back().peerAddress};
            members.emplace(name, membership(self, {}));
        }
        publish();
        run(2);
    }

    void publish()
    {
        for (auto &[name, member] : members) {
            member.onHostList(hosts, clock.now());
        }
    }

    // Exchanges heartbeats for some seconds. Removed members neither send nor receive any.
    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            clock.advance(1s);
            for (auto &[name, member] : members) {
                for (const auto &due : member.dueHeartbeats(1, clock.now())) {
                    for (const auto &neighbour : member.neighbours()) {
                        if (const auto found = members.find(neighbour.daemon.name); found != members.end()) {
                            found->second.onHeartbeat(due, clock.now());
                        }
                    }
                }
            }
        }
    }

    // Lets every member claim the shards that it computes; fails if two members claim the same shard.
    void claimAll()
    {
        std::map<shard_index, std::vector<std::string>> claimants;
        for (const auto &[name, member] : members) {
            for (const auto shard : member.shardsToClaim(claims, clock.now())) {
                claimants[shard].push_back(name);
            }
        }
        for (const auto &[shard, names] : claimants) {
            RC_ASSERT(names.size() == 1U);
            claims.at(shard) = {shard, names.front(), incarnationOf(names.front()), false};
        }
    }

    [[nodiscard]] std::uint64_t incarnationOf(const std::string &name) const
    {
        return std::stoull(name.substr(name.find('-') + 1)) + 1;
    }

    [[nodiscard]] bool allOwnedByMembers() const
    {
        return std::ranges::all_of(claims, [this](const auto &claim) { return members.contains(claim.owner); });
    }

    static std::vector<shard_claim_view> unclaimed()
    {
        std::vector<shard_claim_view> views(shardCount);
        for (shard_index shard = 0; shard < shardCount; ++shard) {
            views[shard].shard = shard;
        }
        return views;
    }

    manual_clock clock;
    std::vector<host_entry> hosts;
    std::map<std::string, membership> members;
    std::vector<shard_claim_view> claims = unclaimed();
};

} // namespace

// Guards against shards claimed by no daemon or by several, at the start and after a failure, and against a failure
// that moves shards of other daemons. Uses fleets below and above the size up to which all daemons are neighbours.
RC_GTEST_PROP(Membership, EachShardIsClaimedByExactlyOne, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(2, 20);
    fleet hosts(size);
    hosts.claimAll();
    RC_ASSERT(hosts.allOwnedByMembers());
    const auto before = hosts.claims;
    for (const auto &[name, member] : hosts.members) {
        RC_ASSERT(member.shardsToClaim(hosts.claims, hosts.clock.now()).empty());
    }

    const auto failed = fmt::format("host-{}", *rc::gen::inRange<std::size_t>(0, size));
    hosts.members.erase(failed);
    hosts.run(5);
    hosts.claimAll();
    RC_ASSERT(hosts.allOwnedByMembers());
    for (shard_index shard = 0; shard < shardCount; ++shard) {
        RC_ASSERT(before[shard].owner == failed || before[shard].owner == hosts.claims[shard].owner);
    }
}

// Guards against entry addresses of failed, leaving or draining daemons.
RC_GTEST_PROP(Membership, EntryListHasOnlyServingDaemons, ())
{
    fleet hosts(7);
    const auto failed = fmt::format("host-{}", *rc::gen::inRange(0, 3));
    hosts.members.erase(failed);
    hosts.members.at("host-4").setDraining(true);
    hosts.hosts[5].leaving = true;
    hosts.publish();
    hosts.run(5);
    const auto zone = fmt::format("z{}", *rc::gen::inRange(0, 3));
    for (const auto &[name, member] : hosts.members) {
        bool otherZone = false;
        const auto list = member.entryAddresses(zone, hosts.clock.now());
        RC_ASSERT(list.size() >= 4U);
        for (const auto &entry : list) {
            RC_ASSERT(entry.daemon != failed && entry.daemon != "host-4" && entry.daemon != "host-5");
            otherZone = otherZone || entry.zone != zone;
            RC_ASSERT(!otherZone || entry.zone != zone);
        }
    }
}

// Guards against shards that remain assigned to an earlier incarnation of a restarted daemon.
TEST(Membership, ShardsOfAnEarlierIncarnationAreClaimedAgain)
{
    fleet hosts(3);
    hosts.claimAll();
    for (auto &claim : hosts.claims) {
        claim.incarnation += claim.owner == "host-1" ? 100 : 0;
    }
    std::size_t claimed = 0;
    for (const auto &[name, member] : hosts.members) {
        claimed += member.shardsToClaim(hosts.claims, hosts.clock.now()).size();
    }
    const auto owned = std::ranges::count(hosts.claims, "host-1", &shard_claim_view::owner);
    EXPECT_EQ(claimed, static_cast<std::size_t>(owned));
}

// Guards against new daemons that never get shards, and against shards that move back and forth.
TEST(Membership, NewDaemonsGetShardsThatOthersRelease)
{
    fleet hosts(10);
    for (shard_index shard = 0; shard < shardCount; ++shard) {
        const auto owner = fmt::format("host-{}", shard % 9); // host-9 is new.
        hosts.claims[shard] = {shard, owner, hosts.incarnationOf(owner), false};
    }
    int rounds = 0;
    for (bool changed = true; changed && rounds < 10; ++rounds) {
        changed = false;
        for (const auto &[name, member] : hosts.members) {
            for (const auto shard : member.shardsToRelease(hosts.claims, hosts.clock.now())) {
                hosts.claims[shard].released = true;
                changed = true;
            }
        }
        hosts.claimAll();
    }
    EXPECT_LT(rounds, 10);
    EXPECT_GT(std::ranges::count(hosts.claims, "host-9", &shard_claim_view::owner), 0);
}

// Guards against claims by a daemon that is draining or has no host list yet, and against one without a next deadline.
TEST(Membership, DaemonsThatDrainOrHaveNoHostListClaimNothing)
{
    fleet hosts(3);
    auto &member = hosts.members.at("host-0");
    member.setDraining(true);
    EXPECT_TRUE(member.shardsToClaim(hosts.claims, hosts.clock.now()).empty());
    const membership fresh({{"host-7", 1}, "z0", "", ""}, {});
    EXPECT_TRUE(fresh.shardsToClaim(hosts.claims, hosts.clock.now()).empty());
    EXPECT_LE(member.nextDeadline(), hosts.clock.now() + 1s);
}

} // namespace jackdawpick
