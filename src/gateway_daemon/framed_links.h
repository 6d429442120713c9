#pragma once

// Links between daemons: maps the gateway's link ids to TCP streams, and messages to frames.

#include "framing/framing.h"
#include "gateway/events.h"
#include "net/net.h"

#include <functional>
#include <map>

namespace jackdawpick
{

class framed_links
{
public:
    framed_links(net::loop &loop, std::function<void(gateway::event)> onEvent);

    void listen(const net::listen_options &options);
    void open(const gateway::open_link &effect);
    void send(const gateway::send_message &effect);
    void close(const gateway::close_link &effect);

private:
    struct link_state
    {
        net::stream_id stream{};
        framing::frame_cutter frames;
        std::size_t skipped = 0; // Messages that could not be decoded.
    };

    [[nodiscard]] net::tcp_handlers handlersFor(gateway::link_id link);
    void onReceived(gateway::link_id link, std::string_view bytes);
    void onClosed(gateway::link_id link);
    static void skip(gateway::link_id link, link_state &state, std::size_t bytes);
    void drop(gateway::link_id link);
    void boundBufferedBytes();

    net::loop &m_loop;
    std::function<void(gateway::event)> m_onEvent;
    std::map<gateway::link_id, link_state> m_links;
    std::map<net::stream_id, gateway::link_id> m_incoming;
    std::uint64_t m_lastIncomingId = 0;
};

} // namespace jackdawpick
