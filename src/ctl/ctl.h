#pragma once

// The operators' command line tool without its main(). Input and output go through ctl_environment, so that tests can
// replace them.
//
//   net::loop loop;
//   int code = runCtl({"status", "--json"}, {.transport = netTransport(loop), .out = print, .err = printError,
//                                            .sleep = sleepFor});
//
// Single-threaded. Does not throw.

#include "net/net.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

// Exit codes, stable for scripts.
enum class ctl_exit : std::uint8_t {
    Ok = 0,
    Refused = 1, // The daemon refused the request, or a file is invalid.
    Usage = 2,
    Conflict = 3, // Another configuration was published first.
    Unreachable = 4, // No complete response from the daemon.
};

// Result of a request to the admin interface. Without a complete response, `completed` is false and `failure` gives the
// reason.
struct admin_response
{
    bool completed = false;
    std::string failure;
    std::uint16_t status = 0;
    std::string body;
};

struct admin_request
{
    std::string address; // "ip:port"
    std::string method;
    std::string path;
    std::string body;
};

using admin_transport = std::function<admin_response(const admin_request &)>;

struct ctl_environment
{
    admin_transport transport;
    std::function<void(std::string_view)> out;
    std::function<void(std::string_view)> err;
    std::function<void(std::chrono::milliseconds)> sleep; // Waits between two polls of `watch`.
};

// Runs the command in `arguments`, which do not include the name of the executable.
[[nodiscard]] ctl_exit runCtl(const std::vector<std::string> &arguments, const ctl_environment &environment);

// Returns a transport that sends requests through `loop`. The loop must outlive the transport, which runs it until the
// request has completed.
[[nodiscard]] admin_transport netTransport(net::loop &loop);

// The text of --help.
[[nodiscard]] std::string_view ctlHelp();

} // namespace jackdawpick
