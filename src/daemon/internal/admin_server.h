#pragma once

// HTTP server of the admin interface: status, dump, configuration, drain and log level.

#include "daemon/internal/daemon_state.h"
#include "daemon/internal/reply_table.h"
#include "net/net.h"

namespace jackdawpick
{

class admin_server
{
public:
    admin_server(net::loop &loop, daemon_state &state, reply_table &replies);
    // Returns the port.
    std::uint16_t listen(const net::listen_options &options);

private:
    void receive(const net::http_request &request);
    void get(const net::http_request &request);
    void post(const net::http_request &request);
    void sendStatus(const net::http_request &request);
    void sendDump(const net::http_request &request);
    void publish(const net::http_request &request);
    void setLogLevel(const net::http_request &request);
    void refuse(const net::http_request &request, result_code code, const std::string &message);
    void send(const net::http_request &request, const nlohmann::json &body, std::uint16_t status = 200);

    net::loop &m_loop;
    daemon_state &m_state;
    reply_table &m_replies;
};

} // namespace jackdawpick
