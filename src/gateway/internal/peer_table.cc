#include "gateway/internal/peer_table.h"

#include <algorithm>

namespace jackdawpick::gateway::internal
{

namespace
{

// Links that this daemon opens have odd ids; the I/O layer gives even ids to incoming links.
constexpr std::uint64_t linkIdStep = 2;

} // namespace

peer_table::peer_table(peers::hello self)
    : m_self(std::move(self))
{
}

void peer_table::addOrUpdate(const peers::hello &identity, time_point now)
{
    if (identity.name == m_self.name || identity.name.empty()) {
        return;
    }
    auto &entry = m_peers[identity.name];
    if (entry.identity == identity) {
        return;
    }
    const bool addressChanged = entry.identity.peerAddress != identity.peerAddress;
    entry.identity = identity;
    if (addressChanged || !entry.open) {
        entry.connectAt = now;
        entry.reconnectDelay = initialReconnectDelay;
    }
}

void peer_table::remove(const std::string &name, std::vector<effect> &out)
{
    const auto node = m_peers.extract(name);
    if (node && node.mapped().link.has_value()) {
        out.emplace_back(close_link{*node.mapped().link});
    }
}

void peer_table::onOpened(const link_opened &received, const peers::heartbeat &own, std::vector<effect> &out)
{
    if (received.incoming) {
        m_incoming.emplace(received.link, std::string());
        return;
    }
    const auto found =
        std::ranges::find_if(m_peers, [&](const auto &item) { return item.second.link == received.link; });
    if (found == m_peers.end()) {
        out.emplace_back(close_link{received.link});
        return;
    }
    found->second.open = true;
    found->second.reconnectDelay = initialReconnectDelay;
    out.emplace_back(send_message{received.link, m_self});
    out.emplace_back(send_message{received.link, own});
}

std::string peer_table::nameOf(link_id link) const
{
    if (const auto found = m_incoming.find(link); found != m_incoming.end()) {
        return found->second;
    }
    const auto found = std::ranges::find_if(m_peers, [&](const auto &item) { return item.second.link == link; });
    return found == m_peers.end() ? std::string() : found->first;
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
    if (const auto found = m_peers.find(nameOf(link)); found != m_peers.end()) {
        found->second.heartbeat = heartbeat;
        found->second.lastHeartbeatAt = now;
    }
}

std::string peer_table::onClosed(link_id link, time_point now)
{
    m_incoming.erase(link);
    const auto found = std::ranges::find_if(m_peers, [&](const auto &item) { return item.second.link == link; });
    if (found == m_peers.end()) {
        return {};
    }
    auto &entry = found->second;
    entry.link.reset();
    entry.open = false;
    entry.connectAt = now + entry.reconnectDelay;
    entry.reconnectDelay = std::min<std::chrono::milliseconds>(entry.reconnectDelay * 2, maxReconnectDelay);
    return found->first;
}

void peer_table::tick(const peers::heartbeat &own, bool urgent, time_point now, std::vector<effect> &out)
{
    for (auto &[name, entry] : m_peers) {
        if (!entry.link.has_value() && entry.connectAt <= now) {
            m_lastLink += linkIdStep;
            entry.link = link_id{m_lastLink - 1};
            out.emplace_back(open_link{*entry.link, entry.identity.peerAddress});
        }
    }
    if (!urgent && m_heartbeatAt.has_value() && *m_heartbeatAt > now) {
        return;
    }
    m_heartbeatAt = now + heartbeatInterval();
    broadcast(own, out);
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
    std::optional<time_point> earliest = m_heartbeatAt;
    for (const auto &[name, entry] : m_peers) {
        if (!entry.link.has_value()) {
            earliest = earliest.has_value() ? std::min(*earliest, entry.connectAt) : entry.connectAt;
        }
    }
    return earliest;
}

std::chrono::milliseconds peer_table::heartbeatInterval() const
{
    return std::max(minHeartbeatInterval, heartbeatIntervalPerPeer * static_cast<int>(m_peers.size()));
}

bool peer_table::isAlive(const peer &entry, time_point now) const
{
    return entry.lastHeartbeatAt.has_value()
        && now - *entry.lastHeartbeatAt < heartbeatInterval() * missedHeartbeatsUntilDead;
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
                             .relays = !entry.heartbeat.endpointsUnreachable && entry.heartbeat.knowsPermitsAndRelays});
        }
    }
    return peers;
}

std::vector<std::string> peer_table::readyPeers(time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_peers) {
        if (isReady(entry, now)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> peer_table::readyPermitIssuers(time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_peers) {
        if (isReady(entry, now) && entry.heartbeat.knowsPermitsAndRelays) {
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

std::size_t peer_table::size() const
{
    return m_peers.size();
}

} // namespace jackdawpick::gateway::internal
