#include "gateway/internal/peer_table.h"

#include <algorithm>

namespace jackdawpick::gateway::internal
{

namespace
{

// Links opened by this daemon have odd ids; the shell numbers incoming links with even ids.
constexpr std::uint64_t outgoingStep = 2;

} // namespace

peer_table::peer_table(peers::hello self)
    : m_self(std::move(self))
{
}

void peer_table::learn(const peers::hello &who, time_point now)
{
    if (who.name == m_self.name || who.name.empty()) {
        return;
    }
    auto &entry = m_peers[who.name];
    if (entry.who == who) {
        return;
    }
    const bool moved = entry.who.peerAddress != who.peerAddress;
    entry.who = who;
    if (moved || !entry.open) {
        entry.connectAt = now;
        entry.reconnect = firstReconnect;
    }
}

void peer_table::forget(const std::string &name, std::vector<effect> &out)
{
    const auto node = m_peers.extract(name);
    if (node && node.mapped().link.has_value()) {
        out.emplace_back(close_link{*node.mapped().link});
    }
}

void peer_table::onOpened(const link_opened &what, time_point now, std::vector<effect> &out)
{
    if (what.incoming) {
        m_incoming.emplace(what.link, std::string());
        return;
    }
    const auto found = std::ranges::find_if(m_peers, [&](const auto &item) { return item.second.link == what.link; });
    if (found == m_peers.end()) {
        out.emplace_back(close_link{what.link});
        return;
    }
    found->second.open = true;
    found->second.reconnect = firstReconnect;
    out.emplace_back(send_message{what.link, m_self});
    m_beatAt = now; // The new peer learns the state of this daemon at once.
}

std::string peer_table::nameOf(link_id link) const
{
    if (const auto found = m_incoming.find(link); found != m_incoming.end()) {
        return found->second;
    }
    const auto found = std::ranges::find_if(m_peers, [&](const auto &item) { return item.second.link == link; });
    return found == m_peers.end() ? std::string() : found->first;
}

void peer_table::onHello(link_id link, const peers::hello &who, time_point now)
{
    if (const auto found = m_incoming.find(link); found != m_incoming.end()) {
        found->second = who.name;
    }
    learn(who, now);
}

void peer_table::onBeat(link_id link, const peers::heartbeat &what, time_point now)
{
    if (const auto found = m_peers.find(nameOf(link)); found != m_peers.end()) {
        found->second.last = what;
        found->second.heard = now;
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
    entry.connectAt = now + entry.reconnect;
    entry.reconnect = std::min<std::chrono::milliseconds>(entry.reconnect * 2, longestReconnect);
    return found->first;
}

void peer_table::tick(const peers::heartbeat &own, bool urgent, time_point now, std::vector<effect> &out)
{
    for (auto &[name, entry] : m_peers) {
        if (!entry.link.has_value() && entry.connectAt <= now) {
            m_lastLink += outgoingStep;
            entry.link = link_id{m_lastLink - 1};
            out.emplace_back(open_link{*entry.link, entry.who.peerAddress});
        }
    }
    if (!urgent && m_beatAt.has_value() && *m_beatAt > now) {
        return;
    }
    m_beatAt = now + beatInterval();
    broadcast(own, out);
}

void peer_table::broadcast(const peers::message &what, std::vector<effect> &out) const
{
    for (const auto &[name, entry] : m_peers) {
        if (entry.open) {
            out.emplace_back(send_message{*entry.link, what});
        }
    }
}

std::optional<time_point> peer_table::nextDeadline() const
{
    std::optional<time_point> earliest = m_beatAt;
    for (const auto &[name, entry] : m_peers) {
        if (!entry.link.has_value()) {
            earliest = earliest.has_value() ? std::min(*earliest, entry.connectAt) : entry.connectAt;
        }
    }
    return earliest;
}

std::chrono::milliseconds peer_table::beatInterval() const
{
    return std::max(shortestBeatInterval, beatIntervalPerPeer * static_cast<int>(m_peers.size()));
}

bool peer_table::isAlive(const peer &value, time_point now) const
{
    return value.heard.has_value() && now - *value.heard < beatInterval() * missedBeats;
}

std::vector<const peers::hello *> peer_table::alive(time_point now) const
{
    std::vector<const peers::hello *> result;
    for (const auto &[name, entry] : m_peers) {
        if (isAlive(entry, now)) {
            result.push_back(&entry.who);
        }
    }
    return result;
}

std::vector<std::string> peer_table::readyAddresses(time_point now) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, entry] : m_peers) {
        if (isAlive(entry, now) && entry.last.ready) {
            addresses.push_back(entry.who.callerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> peer_table::reachable(time_point now) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : m_peers) {
        if (entry.open && isAlive(entry, now) && entry.last.ready) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<link_id> peer_table::linkTo(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && found->second.open ? found->second.link : std::nullopt;
}

std::optional<link_id> peer_table::linkWithStore(double noise, time_point now) const
{
    std::vector<link_id> links;
    for (const auto &[name, entry] : m_peers) {
        if (entry.open && isAlive(entry, now) && entry.last.storeReachable) {
            links.push_back(*entry.link);
        }
    }
    if (links.empty()) {
        return std::nullopt;
    }
    return links[static_cast<std::size_t>(noise * static_cast<double>(links.size()))];
}

void peer_table::storeFailedAt(link_id link)
{
    if (const auto found = m_peers.find(nameOf(link)); found != m_peers.end()) {
        found->second.last.storeReachable = false;
    }
}

std::size_t peer_table::size() const
{
    return m_peers.size();
}

} // namespace jackdawpick::gateway::internal
