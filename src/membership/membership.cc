#include "membership/membership.h"

#include <algorithm>
#include <iterator>
#include <xxhash.h>

namespace jackdawpick
{

namespace
{

// Returns the index of the candidate with the highest hash of name and shard. If a candidate is removed, only its own
// shards move.
std::size_t rendezvousWinner(shard_index shard, const std::vector<std::string> &candidates)
{
    const auto weight = [shard](const std::string &name) {
        return XXH3_64bits_withSeed(name.data(), name.size(), shard);
    };
    return static_cast<std::size_t>(std::ranges::max_element(candidates, {}, weight) - candidates.begin());
}

member_identity identityOf(const host_entry &host, std::uint64_t incarnation)
{
    return {.daemon = {host.name, incarnation},
            .zone = host.zone,
            .httpAddress = host.address,
            .peerAddress = host.peerAddress};
}

} // namespace

membership::membership(member_identity self, membership_options options)
    : m_self(std::move(self))
    , m_options(options)
    , m_ring{{digestOf(m_self.daemon.name), m_self.daemon.name}}
{
}

void membership::onHostList(const std::vector<host_entry> &hosts, time_point now)
{
    m_now = now;
    m_hostListReceived = true;
    for (auto &[name, entry] : m_peers) {
        entry.listed.reset();
    }
    m_ring.assign(1, {digestOf(m_self.daemon.name), m_self.daemon.name});
    for (const auto &host : hosts) {
        if (host.kind != host_kind::Daemon) {
            continue;
        }
        if (host.name == m_self.daemon.name) {
            m_selfLeaving = host.leaving;
            continue;
        }
        m_peers[host.name].listed = host;
        m_ring.emplace_back(digestOf(host.name), host.name);
    }
    std::ranges::sort(m_ring);
    m_ring.erase(std::unique(m_ring.begin(), m_ring.end()), m_ring.end());
    std::erase_if(m_peers, [](const auto &entry) { return !entry.second.listed; });
    updateNeighbours(now);
}

void membership::updateNeighbours(time_point now)
{
    for (auto &[name, entry] : m_peers) {
        entry.isNeighbour = false;
    }
    const auto names = neighboursOf(m_self.daemon.name);
    for (auto &[name, entry] : m_peers) {
        entry.isNeighbour = std::ranges::find(names, name) != names.end();
        if (!entry.isNeighbour) {
            entry.lastHeartbeat = now; // The failure timeout starts when it becomes a neighbour.
        }
    }
}

void membership::onHeartbeat(const heartbeat &received, time_point now)
{
    m_now = now;
    const auto found = m_peers.find(received.daemon.name);
    if (found == m_peers.end()) {
        return; // Not in the host list, which defines the members.
    }
    found->second.incarnation = received.daemon.incarnation;
    found->second.zone = received.zone;
    found->second.draining = received.draining;
    found->second.lastHeartbeat = now;
}

void membership::onLinkLost(const std::string & /*daemon*/, time_point now)
{
    m_now = now; // The link alone may have failed; only missing heartbeats make a daemon suspect.
}

void membership::setDraining(bool draining)
{
    m_draining = draining;
}

// Returns up to `neighboursEachSide` members on each side on the ring, without duplicates.
std::vector<std::string> membership::neighboursOf(const std::string &name) const
{
    const auto self = std::ranges::find(m_ring, name, &std::pair<digest, std::string>::second);
    if (self == m_ring.end()) {
        return {};
    }
    const std::size_t size = m_ring.size();
    const auto position = static_cast<std::size_t>(self - m_ring.begin());
    std::vector<std::string> names;
    if (size <= 2 * m_options.neighboursEachSide + 1) {
        std::ranges::transform(m_ring, std::back_inserter(names), &std::pair<digest, std::string>::second);
        std::erase(names, name);
        return names;
    }
    for (std::size_t step = 1; step <= m_options.neighboursEachSide; ++step) {
        names.push_back(m_ring[(position + step) % size].second);
        names.push_back(m_ring[(position + size - step) % size].second);
    }
    return names;
}

std::vector<member_identity> membership::neighbours() const
{
    std::vector<member_identity> result;
    for (const auto &[name, entry] : m_peers) {
        if (entry.isNeighbour) {
            result.push_back(identityOf(*entry.listed, entry.incarnation));
        }
    }
    return result;
}

std::vector<heartbeat> membership::dueHeartbeats(log_offset configurationVersion, time_point now)
{
    m_now = now;
    if (now < m_nextHeartbeat) {
        return {};
    }
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    return {heartbeat{.daemon = m_self.daemon,
                      .zone = m_self.zone,
                      .configurationVersion = configurationVersion,
                      .draining = m_draining}};
}

bool membership::isSuspect(const std::string &daemon, time_point now) const
{
    if (daemon == m_self.daemon.name) {
        return false;
    }
    const auto found = m_peers.find(daemon);
    if (found == m_peers.end()) {
        return true;
    }
    return found->second.isNeighbour && now - found->second.lastHeartbeat > m_options.suspectAfter;
}

std::vector<member_identity> membership::liveDaemons(time_point now) const
{
    std::vector<member_identity> result{m_self};
    for (const auto &[name, entry] : m_peers) {
        if (!entry.listed->leaving && !isSuspect(name, now)) {
            result.push_back(identityOf(*entry.listed, entry.incarnation));
        }
    }
    std::ranges::sort(result, {}, [](const member_identity &member) { return member.daemon.name; });
    return result;
}

bool membership::isEligibleOwner(const std::string &name, time_point now) const
{
    if (name == m_self.daemon.name) {
        return !m_draining && !m_selfLeaving;
    }
    const auto found = m_peers.find(name);
    return found != m_peers.end() && !found->second.listed->leaving && !found->second.draining && !isSuspect(name, now);
}

// Whether the owner of the claim still serves the shard, as far as this daemon knows.
bool membership::isServing(const shard_claim_view &claim, time_point now) const
{
    if (claim.owner.empty() || claim.released) {
        return false;
    }
    if (claim.owner == m_self.daemon.name) {
        return claim.incarnation == m_self.daemon.incarnation;
    }
    const auto found = m_peers.find(claim.owner);
    const bool restarted =
        found != m_peers.end() && found->second.incarnation != 0 && found->second.incarnation != claim.incarnation;
    return !restarted && !isSuspect(claim.owner, now);
}

std::vector<std::string> membership::eligibleOwners(time_point now) const
{
    std::vector<std::string> names;
    if (isEligibleOwner(m_self.daemon.name, now)) {
        names.push_back(m_self.daemon.name);
    }
    for (const auto &[name, entry] : m_peers) {
        if (isEligibleOwner(name, now)) {
            names.push_back(name);
        }
    }
    std::ranges::sort(names);
    return names;
}

const membership::winner_table &membership::winners(time_point now) const
{
    auto names = eligibleOwners(now);
    if (names != m_winners.eligibleOwners || m_winners.winners.empty()) {
        m_winners.eligibleOwners = std::move(names);
        m_winners.winners.resize(shardCount);
        for (shard_index shard = 0; shard < shardCount; ++shard) {
            m_winners.winners[shard] = static_cast<std::uint32_t>(rendezvousWinner(shard, m_winners.eligibleOwners));
        }
    }
    return m_winners;
}

std::vector<shard_index> membership::shardsToClaim(const std::vector<shard_claim_view> &claims, time_point now) const
{
    if (!m_hostListReceived || !isEligibleOwner(m_self.daemon.name, now)) {
        return {};
    }
    const auto &table = winners(now);
    // New owners to choose from, by listed owner that no longer serves its shards.
    std::map<std::string, std::vector<std::string>> candidatesByOwner;
    const auto candidatesFor = [&](const std::string &owner) -> const std::vector<std::string> & {
        const auto [entry, added] = candidatesByOwner.try_emplace(owner);
        if (added) {
            entry->second = neighboursOf(owner);
            entry->second.push_back(owner);
            std::erase_if(entry->second, [&](const std::string &name) { return !isEligibleOwner(name, now); });
            std::ranges::sort(entry->second);
        }
        return entry->second.empty() ? table.eligibleOwners : entry->second;
    };
    std::vector<shard_index> toClaim;
    for (const auto &claim : claims) {
        if (isServing(claim, now)) {
            continue;
        }
        const bool ownerIsListed =
            !claim.released && (m_peers.contains(claim.owner) || claim.owner == m_self.daemon.name);
        const auto &names = ownerIsListed ? candidatesFor(claim.owner) : table.eligibleOwners;
        const auto winner = ownerIsListed ? rendezvousWinner(claim.shard, names) : table.winners.at(claim.shard);
        if (names.at(winner) == m_self.daemon.name) {
            toClaim.push_back(claim.shard);
        }
    }
    return toClaim;
}

std::vector<shard_index> membership::shardsToRelease(const std::vector<shard_claim_view> &claims, time_point now) const
{
    if (!m_hostListReceived || !isEligibleOwner(m_self.daemon.name, now)) {
        return {};
    }
    const auto &table = winners(now);
    const std::size_t live = table.eligibleOwners.size();
    const std::size_t fairShare = (shardCount + live - 1) / live;
    std::map<std::string, std::size_t> owned;
    for (const auto &claim : claims) {
        if (isServing(claim, now)) {
            ++owned[claim.owner];
        }
    }
    std::vector<shard_index> toRelease;
    for (const auto &claim : claims) {
        if (claim.owner != m_self.daemon.name || !isServing(claim, now) || owned[m_self.daemon.name] <= fairShare) {
            continue;
        }
        const auto &winner = table.eligibleOwners.at(table.winners.at(claim.shard));
        if (winner != m_self.daemon.name && owned[winner] < fairShare) {
            --owned[m_self.daemon.name];
            ++owned[winner];
            toRelease.push_back(claim.shard);
        }
    }
    return toRelease;
}

std::vector<entry_address> membership::entryAddresses(const std::string &zone, time_point now) const
{
    struct candidate_address
    {
        bool otherZone = false;
        digest order = 0;
        entry_address address;
    };
    const auto seed = static_cast<std::uint64_t>(now.time_since_epoch().count());
    std::vector<candidate_address> list;
    for (const auto &member : liveDaemons(now)) {
        const auto &name = member.daemon.name;
        if (isEligibleOwner(name, now)) {
            list.push_back({.otherZone = member.zone != zone,
                            .order = XXH3_64bits_withSeed(name.data(), name.size(), seed),
                            .address = {name, member.zone, member.httpAddress}});
        }
    }
    std::ranges::sort(list, {}, [](const candidate_address &entry) { return std::pair(entry.otherZone, entry.order); });
    list.resize(std::min<std::size_t>(list.size(), m_options.maxEntryAddresses));
    std::vector<entry_address> result;
    std::ranges::transform(list, std::back_inserter(result), &candidate_address::address);
    return result;
}

std::chrono::seconds membership::entryListLifetime() const
{
    return m_options.entryListLifetime;
}

// The time of the next heartbeat, or when the next neighbour becomes suspect if that is earlier.
std::optional<time_point> membership::nextDeadline() const
{
    time_point next = m_nextHeartbeat;
    for (const auto &[name, entry] : m_peers) {
        const auto suspectAt = entry.lastHeartbeat + m_options.suspectAfter + duration(1);
        if (entry.isNeighbour && suspectAt > m_now) {
            next = std::min(next, suspectAt);
        }
    }
    return next;
}

} // namespace jackdawpick
