#include "daemon/internal/peer_links.h"

#include "logging/logging.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

constexpr std::chrono::milliseconds idleCheckInterval{500};
constexpr std::chrono::seconds helloTimeout{3}; // Longest time without a byte before the peer's hello.

} // namespace

peer_links::peer_links(net::loop &loop, const clock_source &clock, peer_link_options options,
                       peer_link_handlers handlers)
    : m_loop(loop)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
{
}

net::tcp_handlers peer_links::tcpHandlers()
{
    return {.connected = [this](net::stream_id id) { onConnected(id); },
            .received = [this](net::stream_id id, std::string_view bytes) { onReceived(id, bytes); },
            .closed =
                [this](net::stream_id id) {
                    removeLink(id);
                }};
}

std::uint16_t peer_links::listen(const net::listen_options &options)
{
    return m_loop.listenTcp(options, tcpHandlers());
}

void peer_links::start()
{
    m_loop.every(idleCheckInterval, [this] { dropIdleLinks(); });
}

void peer_links::setRetainedPeers(const std::vector<member_identity> &peers)
{
    m_retainedPeers.clear();
    std::ranges::transform(peers, std::inserter(m_retainedPeers, m_retainedPeers.end()),
                           [](const member_identity &peer) { return peer.daemon.name; });
}

peer_links::link *peer_links::find(net::stream_id id)
{
    const auto found = m_links.find(static_cast<std::uint64_t>(id));
    return found == m_links.end() ? nullptr : &found->second;
}

// Returns an established link if there is one, otherwise a pending one.
std::optional<net::stream_id> peer_links::linkTo(const std::string &peer) const
{
    const auto found = m_byPeer.find(peer);
    if (found == m_byPeer.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto established =
        std::ranges::find_if(found->second, [this](std::uint64_t id) { return m_links.at(id).established; });
    return net::stream_id{established == found->second.end() ? *found->second.begin() : *established};
}

void peer_links::send(const std::string &peer, const std::string &address, const peer_message &message)
{
    std::string frame;
    try {
        frame = encodeFrame(message);
    } catch (const error &problem) {
        logging::write(log_level::Warning, "peer_message_too_large", {{"peer", peer}});
        return;
    }
    const auto id = linkTo(peer);
    if (!id) {
        if (!address.empty()) {
            open(peer, address, std::move(frame));
        }
        return;
    }
    auto *target = find(*id);
    if (target->established) {
        m_loop.send(*id, std::move(frame));
    } else if (target->queued.size() < m_options.maxQueuedMessages) {
        target->queued.push_back(std::move(frame));
    }
}

void peer_links::open(const std::string &peer, const std::string &address, std::string firstFrame)
{
    const auto id = m_loop.connectTcp(address, tcpHandlers());
    auto &added = m_links[static_cast<std::uint64_t>(id)];
    added.peer = peer;
    added.outgoing = true;
    added.lastReceived = m_clock.now();
    added.queued.push_back(std::move(firstFrame));
    m_byPeer[peer].insert(static_cast<std::uint64_t>(id));
}

void peer_links::onConnected(net::stream_id id)
{
    if (find(id) == nullptr) { // Incoming.
        m_links[static_cast<std::uint64_t>(id)].lastReceived = m_clock.now();
    }
    m_loop.send(id, encodeFrame(m_options.self));
}

void peer_links::onReceived(net::stream_id id, std::string_view bytes)
{
    auto *from = find(id);
    if (from == nullptr) {
        return;
    }
    from->lastReceived = m_clock.now();
    try {
        from->frames.append(bytes);
        // Handling a message may close the link.
        while ((from = find(id)) != nullptr) {
            auto message = from->frames.next();
            if (!message) {
                return;
            }
            onMessage(id, std::move(*message));
        }
    } catch (const error &problem) {
        drop(id, problem.what());
    }
}

void peer_links::onMessage(net::stream_id id, peer_message message)
{
    const auto *from = find(id);
    if (const auto *helloMessage = std::get_if<hello>(&message)) {
        onHello(id, *helloMessage);
    } else if (!from->established) {
        drop(id, "message received before the hello");
    } else {
        m_handlers.received(from->peer, std::move(message));
    }
}

void peer_links::onHello(net::stream_id id, const hello &message)
{
    auto *from = find(id);
    const auto &name = message.daemon.name;
    if (from->established || name.empty() || name == m_options.self.daemon.name
        || (from->outgoing && from->peer != name)) {
        drop(id, "unexpected hello: repeated, or with an invalid daemon name");
        return;
    }
    from->peer = name;
    from->established = true;
    auto &links = m_byPeer[name];
    links.insert(static_cast<std::uint64_t>(id));
    for (auto &frame : std::exchange(from->queued, {})) {
        m_loop.send(id, std::move(frame));
    }
    const auto established = std::ranges::count_if(links, [this](auto other) { return m_links.at(other).established; });
    if (established == 1) {
        m_handlers.changed(name, true);
    }
}

void peer_links::drop(net::stream_id id, std::string_view reason)
{
    const auto *from = find(id);
    logging::write(log_level::Warning, "peer_link_dropped",
                   {{"peer", from == nullptr ? std::string_view() : std::string_view(from->peer)}, {"reason", reason}});
    m_loop.close(id);
    removeLink(id);
}

// Calls forwarded over a lost link are lost even if another link to the peer exists, so each lost link is reported.
void peer_links::removeLink(net::stream_id id)
{
    const auto node = m_links.extract(static_cast<std::uint64_t>(id));
    if (!node || node.mapped().peer.empty()) {
        return;
    }
    const auto &removed = node.mapped();
    const auto peerEntry = m_byPeer.find(removed.peer);
    if (peerEntry != m_byPeer.end()) {
        peerEntry->second.erase(static_cast<std::uint64_t>(id));
        if (peerEntry->second.empty()) {
            m_byPeer.erase(peerEntry);
        }
    }
    if (removed.established || removed.outgoing) {
        m_handlers.changed(removed.peer, false);
    }
}

void peer_links::dropIdleLinks()
{
    const auto now = m_clock.now();
    std::vector<net::stream_id> idleLinks;
    for (const auto &[id, entry] : m_links) {
        const auto idleTime = now - entry.lastReceived;
        if ((entry.established && m_retainedPeers.contains(entry.peer) && idleTime > m_options.idleTimeout)
            || (!entry.established && idleTime > helloTimeout)) {
            idleLinks.push_back(net::stream_id{id});
        }
    }
    for (const auto id : idleLinks) {
        drop(id, "no bytes received within the timeout");
    }
}

} // namespace jackdawpick
