#pragma once

// HTTP server for callers: calls, program queries, entry addresses, health and metrics.

#include "caller_api/caller_api.h"
#include "daemon/internal/daemon_state.h"
#include "daemon/internal/reply_table.h"
#include "net/net.h"

namespace jackdawpick
{

class caller_server
{
public:
    caller_server(net::loop &loop, daemon_state &state, reply_table &replies, caller_limits limits);
    // Returns the port.
    std::uint16_t listen(const net::listen_options &options);
    // Handles a call that another daemon forwarded.
    void onForwarded(const std::string &peer, const forward_call &message);

private:
    void receive(const net::http_request &request);
    void receiveCall(const net::http_request &request);
    void receiveProgramQuery(const net::http_request &request);
    void sendEntryList(const net::http_request &request);
    void sendReadiness(const net::http_request &request);
    void refuse(const net::http_request &request, result_code code, const std::string &message);

    net::loop &m_loop;
    daemon_state &m_state;
    reply_table &m_replies;
    caller_limits m_limits;
};

// The value of a query parameter, percent-decoded; empty if absent.
[[nodiscard]] std::string queryValue(std::string_view query, std::string_view name);

} // namespace jackdawpick
