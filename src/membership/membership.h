#pragma once

// Failure detection among daemons, and what follows from it: neighbours to monitor, shards to claim or release, and
// entry addresses for callers. Advisory only: correctness depends on the log (docs/design.md, sections 5 and 8).
//
//   membership members(self, options);
//   members.onHostList(hosts, now);
//   members.onHeartbeat(beat, now);
//   owners.setWantedShards(members.shardsToClaim(currentOwners), now);

#include "model/model.h"

#include <map>
#include <set>

namespace jackdawpick
{

struct heartbeat
{
    daemon_identity daemon;
    std::string zone;
    log_offset configurationVersion = 0;
    bool draining = false;
    bool operator==(const heartbeat &) const = default;
};

struct member_identity
{
    daemon_identity daemon;
    std::string zone;
    std::string httpAddress;
    std::string peerAddress;
};

struct membership_options
{
    std::uint32_t neighboursEachSide = 3;
    std::chrono::milliseconds heartbeatInterval{1000};
    std::chrono::milliseconds suspectAfter{3000};
    std::chrono::seconds entryListLifetime{5};
    std::uint32_t maxEntryAddresses = 16;
};

// The last claim on a shard that this daemon has read.
struct shard_claim_view
{
    shard_index shard = 0;
    std::string owner; // Name of the claiming daemon; empty if there is no valid claim.
    std::uint64_t incarnation = 0;
    bool released = false;
};

struct entry_address
{
    std::string daemon;
    std::string zone;
    std::string httpAddress;
};

class membership
{
public:
    membership(member_identity self, membership_options options);

    void onHostList(const std::vector<host_entry> &hosts, time_point now);
    void onHeartbeat(const heartbeat &received, time_point now);
    // A peer link was closed. Does not make the peer suspect, since the link alone may have failed.
    void onLinkLost(const std::string &daemon, time_point now);
    void setDraining(bool draining);

    // Daemons to exchange heartbeats with over peer links: the neighbours on the ring of hashed names.
    [[nodiscard]] std::vector<member_identity> neighbours() const;
    [[nodiscard]] std::vector<heartbeat> dueHeartbeats(log_offset configurationVersion, time_point now);

    // Listed daemons that are neither suspect nor leaving, and this one, sorted by name. Only neighbours are monitored;
    // for other daemons the host list is the only source.
    [[nodiscard]] std::vector<member_identity> liveDaemons(time_point now) const;
    [[nodiscard]] bool isSuspect(const std::string &daemon, time_point now) const;

    // Shards that this daemon should claim, by rendezvous hashing over the live daemons that are not draining, so that
    // a membership change moves only the affected shards. Excludes shards whose last owner is alive in the incarnation
    // of its claim. Shards of a listed owner that failed or restarted go to the winner among the owner's neighbours,
    // since only these detect it. Empty until the first host list.
    [[nodiscard]] std::vector<shard_index> shardsToClaim(const std::vector<shard_claim_view> &claims,
                                                         time_point now) const;
    // Own shards beyond the fair share whose rendezvous winner owns fewer shards than the fair share.
    [[nodiscard]] std::vector<shard_index> shardsToRelease(const std::vector<shard_claim_view> &claims,
                                                           time_point now) const;

    // Addresses for callers: live daemons that are not draining, those of `zone` first. Within a zone the order depends
    // on `now`, which distributes callers over the daemons.
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone, time_point now) const;
    [[nodiscard]] std::chrono::seconds entryListLifetime() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

private:
    struct peer
    {
        std::optional<host_entry> listed;
        std::uint64_t incarnation = 0; // 0 before the first heartbeat.
        std::string zone;
        bool draining = false;
        time_point lastHeartbeat; // Last heartbeat, or when the daemon became a neighbour.
        bool isNeighbour = false;
    };
    // Cached rendezvous winners for one set of candidates: the set rarely changes, but is needed for every event.
    struct winner_table
    {
        std::vector<std::string> eligibleOwners;
        std::vector<std::uint32_t> winners; // Index into `eligibleOwners`, by shard.
    };

    void updateNeighbours(time_point now);
    [[nodiscard]] std::vector<std::string> neighboursOf(const std::string &name) const;
    [[nodiscard]] bool isEligibleOwner(const std::string &name, time_point now) const;
    [[nodiscard]] bool isServing(const shard_claim_view &claim, time_point now) const;
    [[nodiscard]] std::vector<std::string> eligibleOwners(time_point now) const;
    [[nodiscard]] const winner_table &winners(time_point now) const;

    member_identity m_self;
    membership_options m_options;
    std::map<std::string, peer> m_peers;
    std::vector<std::pair<digest, std::string>> m_ring; // Listed daemons and this one, by the hash of their names.
    bool m_hostListReceived = false;
    bool m_draining = false;
    bool m_selfLeaving = false; // According to the host list.
    time_point m_now{};
    time_point m_nextHeartbeat{};
    mutable winner_table m_winners;
};

} // namespace jackdawpick
