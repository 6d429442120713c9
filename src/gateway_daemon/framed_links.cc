#include "gateway_daemon/framed_links.h"

#include "logging/logging.h"
#include "results/results.h"

namespace jackdawpick
{

namespace
{

// The gateway numbers the links that it opens with odd ids.
constexpr std::uint64_t incomingStep = 2;

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
        m_lastIncoming += incomingStep;
        const gateway::link_id link{m_lastIncoming};
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

void framed_links::open(const gateway::open_link &what)
{
    net::tcp_handlers handlers;
    handlers.connected = [this, link = what.link](net::stream_id) {
        m_onEvent(gateway::link_opened{.link = link});
    };
    handlers.received = [this, link = what.link](net::stream_id, std::string_view bytes) {
        onReceived(link, bytes);
    };
    handlers.closed = [this, link = what.link](net::stream_id) {
        onClosed(link);
    };
    m_links[what.link].stream = m_loop.connectTcp(what.address, std::move(handlers));
}

void framed_links::send(const gateway::send_message &what)
{
    const auto found = m_links.find(what.link);
    if (found != m_links.end()) {
        m_loop.send(found->second.stream, framing::encodeFrame(peers::encodeMessage(what.content)));
    }
}

void framed_links::close(const gateway::close_link &what)
{
    if (const auto node = m_links.extract(what.link)) {
        m_incoming.erase(node.mapped().stream);
        m_loop.close(node.mapped().stream);
    }
}

void framed_links::onReceived(gateway::link_id link, std::string_view bytes)
{
    try {
        m_links.at(link).frames.append(bytes);
        // The link may be closed by what a message leads to.
        for (auto found = m_links.find(link); found != m_links.end(); found = m_links.find(link)) {
            const auto payload = found->second.frames.next();
            if (!payload.has_value()) {
                return;
            }
            auto message = peers::decodeMessage(*payload);
            if (!message.has_value()) {
                throw error(result_code::MalformedRequest, "unreadable message");
            }
            m_onEvent(gateway::link_message{link, std::move(*message)});
        }
    } catch (const error &problem) {
        logging::write(log_level::Warning, "peer_message_invalid",
                       {{"link", static_cast<std::uint64_t>(link)}, {"reason", problem.what()}});
        close({link});
        m_onEvent(gateway::link_closed{link});
    }
}

void framed_links::onClosed(gateway::link_id link)
{
    if (m_links.erase(link) > 0) {
        m_onEvent(gateway::link_closed{link});
    }
}

} // namespace jackdawpick
