#pragma once

// Which daemons are alive, whom to watch, which shards to want and which entry addresses callers get. Only suggests:
// correctness rests on the log (docs/design.md, sections 5 and 8).
//
//   membership members(self, options);
//   members.onHostList(hosts, now);
//   members.onHeartbeat(beat, now);
//   owners.wantShards(members.wantedShards(currentOwners), now);

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
    std::chrono::seconds entryKeep{5};
    std::uint32_t maxEntryAddresses = 16;
};

// What the own view of the shard table says about one shard.
struct shard_claim_view
{
    shard_index shard = 0;
    std::string owner; // Name of the daemon with the last valid claim; empty if none.
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
    void onHeartbeat(const heartbeat &beat, time_point now);
    // A peer link broke. Not yet a death: the link may be the fault.
    void onLinkLost(const std::string &daemon, time_point now);
    void setDraining(bool draining);

    // Daemons to keep a peer link with and send heartbeats to: neighbours on the ring of hashed names.
    [[nodiscard]] std::vector<member_identity> neighbours() const;
    [[nodiscard]] std::vector<heartbeat> dueHeartbeats(log_offset configurationVersion, time_point now);

    // Listed daemons that are not known to be dead or leaving, with this one, sorted by name.
    [[nodiscard]] std::vector<member_identity> liveDaemons(time_point now) const;
    [[nodiscard]] bool isSuspect(const std::string &daemon, time_point now) const;

    // Shards that this daemon should own: rendezvous hashing over the live daemons, so that a change moves only the
    // shards concerned. A live owner's shards are not wanted by others, except that a daemon with more than its fair
    // share hands the surplus over through surplusShards().
    [[nodiscard]] std::vector<shard_index> wantedShards(const std::vector<shard_claim_view> &claims,
                                                        time_point now) const;
    [[nodiscard]] std::vector<shard_index> surplusShards(const std::vector<shard_claim_view> &claims,
                                                         time_point now) const;

    // For callers: live daemons that are not draining, those of `zone` first, then shuffled by the caller's zone.
    [[nodiscard]] std::vector<entry_address> entryAddresses(const std::string &zone, time_point now) const;
    [[nodiscard]] std::chrono::seconds entryKeep() const;
    [[nodiscard]] std::optional<time_point> nextDeadline() const;
};

} // namespace jackdawpick
