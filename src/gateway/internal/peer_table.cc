#include "gateway/internal/peer_table.h"

#include <algorithm>
#include <iterator>
#include <xxhash.h>

namespace jackdawpick::gateway::internal
{

namespace
{

using std::chrono::milliseconds;

// Links that this daemon opens have odd ids; the I/O layer gives even ids to incoming links.
constexpr std::uint64_t linkIdStep = 2;

// A number in [0, 1) that differs between the pairs of daemons and spreads what they do over time.
double spreadOf(const std::string &self, const std::string &peer)
{
    constexpr double range = 4294967296.0; // 2^32
    const auto hash = XXH3_64bits_withSeed(peer.data(), peer.size(), XXH3_64bits(self.data(), self.size()));
    return static_cast<double>(hash >> 32U) / range;
}

std::optional<time_point> earlier(std::optional<time_point> left, std::optional<time_point> right)
{
    return left.has_value() && right.has_value() ? std::min(left, right) : (left.has_value() ? left : right);
}

} // namespace

peer_table::peer_table(peers::hello self)
    : m_self(std::move(self))
    , m_ring(m_self.name)
{
}

std::optional<milliseconds> peer_table::onTime(time_point now)
{
    const auto pause = millisecondsBetween(m_lastEventAt.value_or(now), now);
    m_lastEventAt = now;
    m_startedAt = m_startedAt.value_or(now);
    if (pause <= pauseThreshold) {
        return std::nullopt;
    }
    for (auto &[name, entry] : m_peers) {
        if (entry.lastHeartbeatAt.has_value()) {
            entry.lastHeartbeatAt = std::min(now, *entry.lastHeartbeatAt + pause);
        }
    }
    return pause;
}

void peer_table::addOrUpdate(const peers::hello &identity, time_point now)
{
    if (identity.name == m_self.name || identity.name.empty()) {
        return;
    }
    const auto [place, isNew] = m_peers.try_emplace(identity.name);
    auto &entry = place->second;
    if (isNew) {
        m_ring.add(identity.name);
        entry.knownSince = now;
    } else if (entry.identity == identity) {
        return;
    }
    const bool addressChanged = !isNew && entry.identity.peerAddress != identity.peerAddress;
    entry.identity = identity;
    entry.unreachable = false;
    if (isNew) {
        m_newPeers.push_back(identity.name);
    } else if (addressChanged || !entry.open) {
        entry.closedAt.reset();
        connectAt(identity.name, entry, now);
    }
}

void peer_table::remove(const std::string &name, std::vector<effect> &out)
{
    m_ring.remove(name);
    m_watchers.erase(name);
    m_reportedSilent.erase(name);
    if (const auto found = m_peers.find(name); found != m_peers.end()) {
        connectAt(name, found->second, std::nullopt);
    }
    const auto node = m_peers.extract(name);
    if (node && node.mapped().link.has_value()) {
        m_outgoing.erase(*node.mapped().link);
        out.emplace_back(close_link{*node.mapped().link});
    }
}

void peer_table::onOpened(const link_opened &received, const peers::heartbeat &own, std::vector<effect> &out)
{
    if (received.incoming) {
        m_incoming.emplace(received.link, std::string());
        return;
    }
    const auto found = m_outgoing.find(received.link);
    if (found == m_outgoing.end()) {
        out.emplace_back(close_link{received.link});
        return;
    }
    auto &entry = m_peers.at(found->second);
    entry.open = true;
    entry.closedAt.reset();
    entry.unreachable = false;
    out.emplace_back(send_message{received.link, m_self});
    out.emplace_back(send_message{received.link, own});
}

std::string peer_table::nameOf(link_id link) const
{
    if (const auto found = m_incoming.find(link); found != m_incoming.end()) {
        return found->second;
    }
    const auto found = m_outgoing.find(link);
    return found == m_outgoing.end() ? std::string() : found->second;
}

void peer_table::onHello(link_id link, const peers::hello &identity, time_point now)
{
    if (const auto found = m_incoming.find(link); found != m_incoming.end()) {
        found->second = identity.name;
    }
    addOrUpdate(identity, now);
}

void peer_table::onHeartbeat(link_id link, const peers::heartbeat &heartbeat, time_point now)
{
    const auto name = nameOf(link);
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return;
    }
    auto &entry = found->second;
    entry.heartbeat = heartbeat;
    entry.lastHeartbeatAt = now;
    entry.unreachable = false;
    m_reportedSilent.erase(name);
    applySilences(name, heartbeat.silent, now);
}

void peer_table::applySilences(const std::string &watcher, const std::vector<peers::silence_report> &reports,
                               time_point now)
{
    for (const auto &report : reports) {
        m_isAccused = m_isAccused || report.daemon == m_self.name;
        const auto found = m_peers.find(report.daemon);
        if (found == m_peers.end()) {
            continue;
        }
        const auto since = now - report.silentFor;
        auto &known = found->second.silences[watcher];
        if (since > known.since + reportTolerance) { // Not the silence that it has reported before.
            known.reportedAt = now;
        }
        known.since = since;
    }
}

std::string peer_table::onClosed(link_id link, time_point now)
{
    m_incoming.erase(link);
    const auto node = m_outgoing.extract(link);
    if (!node) {
        return {};
    }
    auto &entry = m_peers.at(node.mapped());
    const bool couldNotOpen = !entry.open;
    entry.unreachable = couldNotOpen && entry.lastHeartbeatAt.value_or(time_point::min()) < entry.connectBegan;
    entry.link.reset();
    entry.open = false;
    entry.closedAt = entry.closedAt.value_or(now);
    planLink(node.mapped(), entry, now);
    return node.mapped();
}

void peer_table::planLink(const std::string &name, peer &entry, time_point now)
{
    const double spread = spreadOf(m_self.name, name);
    if (!entry.closedAt.has_value()) {
        const auto period = linkSpreadPerPeer * static_cast<int>(m_peers.size());
        connectAt(name, entry, now + std::chrono::duration_cast<milliseconds>(period * spread));
        return;
    }
    const auto closedFor = millisecondsBetween(*entry.closedAt, now);
    const auto delay =
        std::clamp<milliseconds>(closedFor / reconnectDelayDivisor, minReconnectDelay, maxReconnectDelay);
    // Half of the delay again at most, so that the peers of a host do not all connect to it at once.
    connectAt(name, entry, now + delay + std::chrono::duration_cast<milliseconds>(delay * spread / 2));
}

void peer_table::connectAt(const std::string &name, peer &entry, std::optional<time_point> when)
{
    if (entry.connectAt.has_value()) {
        m_connects.erase({*entry.connectAt, name});
    }
    entry.connectAt = when;
    if (when.has_value()) {
        m_connects.emplace(*when, name);
    }
}

void peer_table::openDueLinks(time_point now, std::vector<effect> &out)
{
    for (const auto &name : std::exchange(m_newPeers, {})) {
        if (const auto found = m_peers.find(name); found != m_peers.end() && !found->second.link.has_value()) {
            planLink(name, found->second, now);
        }
    }
    while (!m_connects.empty() && m_connects.begin()->first <= now) {
        const auto name = m_connects.begin()->second;
        auto &entry = m_peers.at(name);
        connectAt(name, entry, std::nullopt);
        if (entry.link.has_value()) {
            continue;
        }
        m_lastLink += linkIdStep;
        entry.link = link_id{m_lastLink - 1};
        entry.connectBegan = now;
        m_outgoing.emplace(*entry.link, name);
        out.emplace_back(open_link{*entry.link, entry.identity.peerAddress});
    }
}

void peer_table::tick(const heartbeat_source &own, urgency due, time_point now, std::vector<effect> &out)
{
    openDueLinks(now, out);
    const bool reports = findSilences(now);
    if (due == urgency::Now) {
        m_heartbeatAt = now;
    } else if (reports || due == urgency::Soon || std::exchange(m_isAccused, false)) {
        const auto soonest = m_broadcastAt.has_value() ? std::max(*m_broadcastAt + minUrgentInterval, now) : now;
        m_heartbeatAt = std::min(m_heartbeatAt.value_or(soonest), soonest);
    }
    if (!m_heartbeatAt.has_value() || *m_heartbeatAt <= now) {
        m_heartbeatAt = now + heartbeatInterval();
        m_broadcastAt = now;
        sendToAll(own(), out);
    } else if (hasWatchers() && m_watchBeatAt.value_or(now) <= now) {
        sendToWatchers(own(), now, out);
    }
}

bool peer_table::hasWatchers() const
{
    return heartbeatInterval() > watchInterval;
}

void peer_table::sendToWatchers(peers::heartbeat own, time_point now, std::vector<effect> &out)
{
    m_watchBeatAt = now + watchInterval;
    const auto names = m_ring.watchers([&](const std::string &name) { return isReady(m_peers.at(name), now); });
    const auto previous = std::exchange(m_watchers, std::set<std::string>(names.begin(), names.end()));
    for (const auto &name : previous) {
        if (const auto link = linkTo(name); !m_watchers.contains(name) && link.has_value()) {
            out.emplace_back(send_message{*link, own});
        }
    }
    own.nextWithin = watchInterval;
    for (const auto &name : m_watchers) {
        if (const auto link = linkTo(name); link.has_value()) {
            out.emplace_back(send_message{*link, own});
        }
    }
}

// The promise to the watchers holds on.
void peer_table::sendToAll(const peers::heartbeat &own, std::vector<effect> &out) const
{
    auto promising = own;
    promising.nextWithin = watchInterval;
    for (const auto &[name, entry] : m_peers) {
        if (entry.open) {
            out.emplace_back(send_message{*entry.link, m_watchers.contains(name) ? promising : own});
        }
    }
}

// Whether the peer has promised this daemon a heartbeat that has not come.
bool peer_table::isWatchedSilent(const peer &entry, time_point now)
{
    const auto promised = entry.heartbeat.nextWithin;
    return promised.count() > 0 && entry.lastHeartbeatAt.has_value()
        && now - *entry.lastHeartbeatAt > promised * missedHeartbeatsUntilReported;
}

bool peer_table::findSilences(time_point now)
{
    if (!hasWatchers() || now < m_silencesCheckedAt + checkInterval) {
        return false;
    }
    m_silencesCheckedAt = now;
    bool found = false;
    for (auto &[name, entry] : m_peers) {
        if (isWatchedSilent(entry, now) && m_reportedSilent.insert(name).second) {
            entry.silences[m_self.name] = {.since = *entry.lastHeartbeatAt, .reportedAt = now};
            found = true;
        }
    }
    return found;
}

std::vector<peers::silence_report> peer_table::silencesToReport(time_point now) const
{
    std::vector<peers::silence_report> reports;
    for (const auto &name : m_reportedSilent) {
        const auto silentFor = millisecondsBetween(*m_peers.at(name).lastHeartbeatAt, now);
        if (silentFor < reportLifetime) {
            reports.push_back({name, silentFor});
        }
    }
    return reports;
}

void peer_table::broadcast(const peers::message &message, std::vector<effect> &out) const
{
    for (const auto &[name, entry] : m_peers) {
        if (entry.open) {
            out.emplace_back(send_message{*entry.link, message});
        }
    }
}

std::optional<time_point> peer_table::nextDeadline() const
{
    const auto connect = m_connects.empty() ? std::nullopt : std::optional(m_connects.begin()->first);
    const auto next = earlier(m_heartbeatAt, connect);
    return hasWatchers() ? earlier(next, m_watchBeatAt) : next;
}

milliseconds peer_table::heartbeatInterval() const
{
    return std::max(minHeartbeatInterval, heartbeatIntervalPerPeer * static_cast<int>(m_peers.size()));
}

bool peer_table::isFresh(const peer &entry, time_point now) const
{
    return entry.lastHeartbeatAt.has_value()
        && now - *entry.lastHeartbeatAt < heartbeatInterval() * missedHeartbeatsUntilDead;
}

// A link that this daemon has lost and could not open again yet counts as a report.
peer_table::accusation peer_table::accusationOf(const peer &entry, time_point now)
{
    accusation result;
    const auto add = [&result](time_point reportedAt) {
        ++result.reports;
        result.since = std::min(result.since, reportedAt);
    };
    for (const auto &[watcher, silence] : entry.silences) {
        if (silence.since + reportTolerance >= *entry.lastHeartbeatAt && now - silence.reportedAt < reportLifetime) {
            add(silence.reportedAt);
        }
    }
    if (entry.closedAt.has_value() && *entry.closedAt >= *entry.lastHeartbeatAt) {
        add(*entry.closedAt);
    }
    return result;
}

bool peer_table::isAccused(const peer &entry, time_point now)
{
    const auto found = accusationOf(entry, now);
    return found.reports >= reportsUntilDead || (found.reports > 0 && now - found.since >= refutationTime);
}

bool peer_table::isAlive(const peer &entry, time_point now) const
{
    return isFresh(entry, now) && !entry.unreachable && !isAccused(entry, now);
}

std::vector<peer_table::liveness_change> peer_table::takeChanges(time_point now)
{
    std::vector<liveness_change> changes;
    if (now < m_changesCheckedAt + checkInterval) {
        return changes;
    }
    m_changesCheckedAt = now;
    for (auto &[name, entry] : m_peers) {
        const bool alive = isAlive(entry, now);
        if (std::exchange(entry.wasAlive, alive) != alive) {
            changes.push_back({.name = name,
                               .alive = alive,
                               .silentFor = millisecondsBetween(*entry.lastHeartbeatAt, now),
                               .reports = accusationOf(entry, now).reports,
                               .unreachable = entry.unreachable});
        }
        if (alive) {
            std::erase_if(entry.silences,
                          [&](const auto &report) { return now - report.second.reportedAt >= reportLifetime; });
        }
    }
    return changes;
}

std::vector<std::string> peer_table::deadFor(milliseconds time, time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_peers) {
        if (!isAlive(entry, now) && now - entry.lastHeartbeatAt.value_or(entry.knownSince) >= time) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<const peers::hello *> peer_table::alive(time_point now) const
{
    std::vector<const peers::hello *> result;
    for (const auto &[name, entry] : m_peers) {
        if (isAlive(entry, now)) {
            result.push_back(&entry.identity);
        }
    }
    return result;
}

std::size_t peer_table::aliveCount(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_peers, [&](const auto &item) { return isAlive(item.second, now); }));
}

std::vector<peer_table::ready_peer> peer_table::ready(time_point now) const
{
    std::vector<ready_peer> peers;
    for (const auto &[name, entry] : m_peers) {
        if (isAlive(entry, now) && entry.heartbeat.ready) {
            peers.push_back({.name = name,
                             .zone = entry.identity.zone,
                             .callerAddress = entry.identity.callerAddress,
                             .link = entry.open ? entry.link : std::nullopt,
                             .reachesEndpoints = !entry.heartbeat.endpointsUnreachable,
                             .relays = !entry.heartbeat.endpointsUnreachable && entry.heartbeat.knowsPermitsAndRelays,
                             .knowsTenants = entry.heartbeat.knowsTenants});
        }
    }
    return peers;
}

std::vector<std::string> peer_table::readyPeers(time_point now) const
{
    return readyPeersWith([](const peer &) { return true; }, now);
}

std::vector<std::string> peer_table::readyPermitIssuers(time_point now) const
{
    return readyPeersWith([](const peer &entry) { return entry.heartbeat.knowsPermitsAndRelays; }, now);
}

std::vector<std::string> peer_table::readyPeersKnowingTenants(time_point now) const
{
    return readyPeersWith([](const peer &entry) { return entry.heartbeat.knowsTenants; }, now);
}

std::vector<std::string> peer_table::names() const
{
    std::vector<std::string> result;
    result.reserve(m_peers.size());
    std::ranges::transform(m_peers, std::back_inserter(result), [](const auto &item) { return item.first; });
    return result;
}

std::vector<std::string> peer_table::readyPeersWith(const std::function<bool(const peer &)> &condition,
                                                    time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_peers) {
        if (isReady(entry, now) && condition(entry)) {
            names.push_back(name);
        }
    }
    return names;
}

bool peer_table::isReady(const peer &entry, time_point now) const
{
    return entry.open && isAlive(entry, now) && entry.heartbeat.ready;
}

std::optional<link_id> peer_table::linkTo(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && found->second.open ? found->second.link : std::nullopt;
}

std::optional<link_id> peer_table::linkToPeerWithStore(double randomFraction, time_point now) const
{
    std::vector<link_id> links;
    for (const auto &[name, entry] : m_peers) {
        if (entry.open && isAlive(entry, now) && entry.heartbeat.storeReachable) {
            links.push_back(*entry.link);
        }
    }
    if (links.empty()) {
        return std::nullopt;
    }
    return links[static_cast<std::size_t>(randomFraction * static_cast<double>(links.size()))];
}

void peer_table::markStoreUnreachable(link_id link)
{
    if (const auto found = m_peers.find(nameOf(link)); found != m_peers.end()) {
        found->second.heartbeat.storeReachable = false;
    }
}

bool peer_table::hadTimeToConnect(time_point now) const
{
    return m_startedAt.has_value()
        && now - *m_startedAt >= connectTime + linkSpreadPerPeer * static_cast<int>(m_peers.size());
}

std::size_t peer_table::size() const
{
    return m_peers.size();
}

} // namespace jackdawpick::gateway::internal
