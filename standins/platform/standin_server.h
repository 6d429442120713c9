#pragma once

// What all stand-ins share over HTTP: listening, delayed answers, faults by admin calls and the silence fault.
//
//   standin_server server(loop, model.faults());
//   server.onRequest([&](const net::http_request &request) { server.answer(request.id, 200, {{"ok", true}}); });
//   fmt::print("listening {}\n", server.listen("127.0.0.1:0"));

#include "net/net.h"
#include "platform/fault_table.h"

#include <nlohmann/json.hpp>
#include <set>

namespace jackdawpick::standins
{

// POST /admin/fault {"fault", "value"} switches a fault (value 1 if left out), GET /admin/faults lists all of them.
// The fault `silence` is common to all stand-ins: requests that are open at that moment never get another byte, while
// new ones work. Must outlive the loop's run.
class standin_server
{
public:
    using request_handler = std::function<void(const net::http_request &)>;

    standin_server(net::loop &loop, fault_table &faults);

    // Takes "ip:port" and returns it with the port that was bound. Throws error(SettingsInvalid).
    std::string listen(const std::string &address);
    void onRequest(request_handler handler); // Every request outside /admin/fault and /admin/faults.
    void onDisconnect(std::function<void(net::request_id)> handler);
    void onFaultChange(std::function<void()> handler);

    void answer(net::request_id id, std::uint16_t status, const nlohmann::json &body,
                std::chrono::milliseconds delay = {});
    // Status 429 or 503 with Retry-After.
    void refuse(net::request_id id, std::uint16_t status, const std::string &message,
                std::chrono::milliseconds retryAfter, std::chrono::milliseconds delay = {});
    void notFound(const net::http_request &request);
    void beginStream(net::request_id id);
    void write(net::request_id id, const std::string &bytes);
    void endStream(net::request_id id);

    [[nodiscard]] net::loop &loop();

private:
    void receive(const net::http_request &request);
    void changeFault(const net::http_request &request);
    [[nodiscard]] net::http_head head(std::uint16_t status) const;
    [[nodiscard]] bool maySend(net::request_id id) const;
    void respond(net::request_id id, const net::http_head &head, const std::string &body);

    net::loop &m_loop;
    fault_table &m_faults;
    request_handler m_request;
    std::function<void(net::request_id)> m_disconnect;
    std::function<void()> m_faultChange;
    std::set<net::request_id> m_open; // Without an answer.
    std::set<net::request_id> m_silent;
};

// Splits "ip:port". Throws error(SettingsInvalid).
[[nodiscard]] net::listen_options listenOptions(const std::string &address);
// The header's value or an empty string; `name` in lower case.
[[nodiscard]] std::string headerOf(const net::http_request &request, std::string_view name);
// The value of a query parameter or an empty string.
[[nodiscard]] std::string queryOf(const net::http_request &request, std::string_view name);
// The body as a JSON object, or an empty object for anything else.
[[nodiscard]] nlohmann::json objectOf(const std::string &body);

} // namespace jackdawpick::standins
