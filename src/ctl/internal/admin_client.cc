#include "ctl/ctl.h"

#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

// A publication waits for the log for at most 10 s in the daemon, which then answers by itself.
constexpr std::chrono::milliseconds answerTimeout{15000};

std::string describe(const net::client_result &result)
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
    return result.bytesSent ? "no complete answer; the request may have taken effect" : "no answer, nothing was sent";
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
                      .timeout = answerTimeout},
                     [&](net::client_result result) {
                         received = std::move(result);
                         loop.stop();
                     });
        loop.run();
        return admin_answer{.reached = received.error == net::client_error::None,
                            .problem = describe(received),
                            .status = received.status,
                            .body = std::move(received.body)};
    };
}

} // namespace jackdawpick
