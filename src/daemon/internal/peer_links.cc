#include "daemon/internal/peer_links.h"

#include "logging/logging.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

constexpr std::chrono::milliseconds silenceCheck{500};
constexpr std::chrono::seconds helloBound{3}; // For a connection to show who it is.

} // namespace

peer_links::peer_links(net::loop &loop, const clock_source &clock, peer_link_options options,
                       peer_link_handlers handlers)
    : m_loop(loop)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
{
}

net::tcp_handlers peer_links::handlersFor()
{
    return {.connected = [this](net::stream_id id) { onConnected(id); },
            .received = [this](net::stream_id id, std::string_view bytes) { onReceived(id, bytes); },
            .closed =
                [this](net::stream_id id) {
                    forget(id);
                }};
}

std::uint16_t peer_links::listen(const net::listen_options &options)
{
    return m_loop.listenTcp(options, handlersFor());
}

void peer_links::start()
{
    m_loop.every(silenceCheck, [this] { checkSilence(); });
}

void peer_links::setKept(const std::vector<member_identity> &peers)
{
    m_kept.clear();
    std::ranges::transform(peers, std::inserter(m_kept, m_kept.end()),
                           [](const member_identity &peer) { return peer.daemon.name; });
}

peer_links::link *peer_links::find(net::stream_id id)
{
    const auto found = m_links.find(static_cast<std::uint64_t>(id));
    return found == m_links.end() ? nullptr : &found->second;
}

// An established link if there is one, otherwise one that is being made.
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
    const auto id = m_loop.connectTcp(address, handlersFor());
    auto &made = m_links[static_cast<std::uint64_t>(id)];
    made.peer = peer;
    made.outgoing = true;
    made.lastReceived = m_clock.now();
    made.queued.push_back(std::move(firstFrame));
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
        // A handler may close the link.
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
    if (const auto *greeting = std::get_if<hello>(&message)) {
        onHello(id, *greeting);
    } else if (!from->established) {
        drop(id, "a message before the hello");
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
        drop(id, "an unexpected hello");
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
    forget(id);
}

// Calls forwarded over a broken link are lost even if the peer has another one, so each loss is reported.
void peer_links::forget(net::stream_id id)
{
    const auto node = m_links.extract(static_cast<std::uint64_t>(id));
    if (!node || node.mapped().peer.empty()) {
        return;
    }
    const auto &gone = node.mapped();
    const auto place = m_byPeer.find(gone.peer);
    if (place != m_byPeer.end()) {
        place->second.erase(static_cast<std::uint64_t>(id));
        if (place->second.empty()) {
            m_byPeer.erase(place);
        }
    }
    if (gone.established || gone.outgoing) {
        m_handlers.changed(gone.peer, false);
    }
}

void peer_links::checkSilence()
{
    const auto now = m_clock.now();
    std::vector<net::stream_id> silent;
    for (const auto &[id, entry] : m_links) {
        const auto quiet = now - entry.lastReceived;
        if ((entry.established && m_kept.contains(entry.peer) && quiet > m_options.silence)
            || (!entry.established && quiet > helloBound)) {
            silent.push_back(net::stream_id{id});
        }
    }
    for (const auto id : silent) {
        drop(id, "no byte within the bound");
    }
}

} // namespace jackdawpick
