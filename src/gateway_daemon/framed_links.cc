#include "gateway_daemon/framed_links.h"

#include "logging/logging.h"
#include "results/results.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <numeric>

namespace jackdawpick
{

namespace
{

// Incoming links get even ids; the gateway gives odd ids to the links that it opens.
constexpr std::uint64_t incomingIdStep = 2;
// Bound of the incomplete frames of all links together: one frame of the largest size beside ordinary ones. Hosts have
// little memory, and the number of incoming links has no bound that would help.
constexpr std::size_t maxBufferedBytes = framing::maxPayloadBytes + (1U << 20U);

} // namespace

framed_links::framed_links(net::loop &loop, std::function<void(gateway::event)> onEvent)
    : m_loop(loop)
    , m_onEvent(std::move(onEvent))
{
}

void framed_links::listen(const net::listen_options &options)
{
    net::tcp_handlers handlers;
    handlers.connected = [this](net::stream_id stream) {
        m_lastIncomingId += incomingIdStep;
        const gateway::link_id link{m_lastIncomingId};
        m_links[link].stream = stream;
        m_incoming.emplace(stream, link);
        m_onEvent(gateway::link_opened{.link = link, .incoming = true});
    };
    handlers.received = [this](net::stream_id stream, std::string_view bytes) {
        onReceived(m_incoming.at(stream), bytes);
    };
    handlers.closed = [this](net::stream_id stream) {
        if (const auto node = m_incoming.extract(stream)) {
            onClosed(node.mapped());
        }
    };
    m_loop.listenTcp(options, std::move(handlers));
}

void framed_links::open(const gateway::open_link &effect)
{
    net::tcp_handlers handlers;
    handlers.connected = [this, link = effect.link](net::stream_id) {
        m_onEvent(gateway::link_opened{.link = link});
    };
    handlers.received = [this, link = effect.link](net::stream_id, std::string_view bytes) {
        onReceived(link, bytes);
    };
    handlers.closed = [this, link = effect.link](net::stream_id) {
        onClosed(link);
    };
    m_links[effect.link].stream = m_loop.connectTcp(effect.address, std::move(handlers));
}

void framed_links::send(const gateway::send_message &effect)
{
    const auto found = m_links.find(effect.link);
    if (found == m_links.end()) {
        return;
    }
    const auto payload = peers::encodeMessage(effect.content);
    if (payload.size() <= framing::maxPayloadBytes) {
        m_loop.send(found->second.stream, framing::encodeFrame(payload));
        return;
    }
    // Whoever waits for a reply learns from the end of the link that none comes.
    logging::write(log_level::Error, "peer_message_too_large",
                   {{"link", static_cast<std::uint64_t>(effect.link)}, {"bytes", payload.size()}});
    m_loop.after(std::chrono::milliseconds(0), [this, link = effect.link] { drop(link); });
}

void framed_links::close(const gateway::close_link &effect)
{
    if (const auto node = m_links.extract(effect.link)) {
        m_incoming.erase(node.mapped().stream);
        m_loop.close(node.mapped().stream);
    }
}

void framed_links::onReceived(gateway::link_id link, std::string_view bytes)
{
    try {
        m_links.at(link).frames.append(bytes);
        // Handling a message may close the link, so it is looked up again after each message.
        for (auto found = m_links.find(link); found != m_links.end(); found = m_links.find(link)) {
            const auto payload = found->second.frames.next();
            if (!payload.has_value()) {
                boundBufferedBytes();
                return;
            }
            if (auto message = peers::decodeMessage(*payload); message.has_value()) {
                m_onEvent(gateway::link_message{link, std::move(*message)});
            } else {
                skip(link, found->second, payload->size());
            }
        }
    } catch (const error &problem) {
        logging::write(log_level::Warning, "peer_message_invalid",
                       {{"link", static_cast<std::uint64_t>(link)}, {"reason", problem.what()}});
        drop(link);
    }
}

// A newer build may send kinds of messages that this one does not know. The frames show where the next one begins.
void framed_links::skip(gateway::link_id link, link_state &state, std::size_t bytes)
{
    if (std::has_single_bit(++state.skipped)) { // Bounds the lines of a peer that sends many.
        logging::write(log_level::Warning, "peer_message_skipped",
                       {{"link", static_cast<std::uint64_t>(link)}, {"bytes", bytes}, {"skipped", state.skipped}});
    }
}

void framed_links::drop(gateway::link_id link)
{
    close({link});
    m_onEvent(gateway::link_closed{link});
}

// Drops the links that hold the most, so that a peer which sends without end does not cost the others theirs.
void framed_links::boundBufferedBytes()
{
    const auto bufferedOf = [](const auto &item) {
        return item.second.frames.bufferedBytes();
    };
    const auto total = [&] {
        return std::transform_reduce(m_links.begin(), m_links.end(), std::size_t{0}, std::plus<>(), bufferedOf);
    };
    while (total() > maxBufferedBytes) {
        const auto largest = std::ranges::max_element(m_links, std::less<>(), bufferedOf);
        logging::write(log_level::Warning, "peer_links_full",
                       {{"link", static_cast<std::uint64_t>(largest->first)}, {"bytes", bufferedOf(*largest)}});
        drop(largest->first);
    }
}

void framed_links::onClosed(gateway::link_id link)
{
    if (m_links.erase(link) > 0) {
        m_onEvent(gateway::link_closed{link});
    }
}

} // namespace jackdawpick
