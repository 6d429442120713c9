#include "ctl/ctl.h"

#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

// Longer than the 10 s for which a daemon waits for the log when it publishes a configuration; the daemon then reports
// the timeout itself.
constexpr std::chrono::milliseconds responseTimeout{15000};

std::string failureText(const net::client_result &result)
{
    switch (result.error) {
    case net::client_error::None:
        return {};
    case net::client_error::ConnectFailed:
        return "connection failed, nothing was sent";
    case net::client_error::ConnectionLost:
    case net::client_error::Silent:
    case net::client_error::Timeout:
        break;
    }
    return result.bytesSent ? "no complete response; the request may have taken effect"
                            : "no response, nothing was sent";
}

} // namespace

admin_transport netTransport(net::loop &loop)
{
    return [&loop](const admin_request &request) {
        net::client_result received;
        loop.request({.address = request.address,
                      .method = request.method,
                      .path = request.path,
                      .body = request.body,
                      .headers = {{"Content-Type", "application/json"}},
                      .timeout = responseTimeout},
                     [&](net::client_result result) {
                         received = std::move(result);
                         loop.stop();
                     });
        loop.run();
        return admin_response{.completed = received.error == net::client_error::None,
                              .failure = failureText(received),
                              .status = received.status,
                              .body = std::move(received.body)};
    };
}

} // namespace jackdawpick
