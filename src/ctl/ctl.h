#pragma once

// The operators' command line tool, without its main(): arguments in, text and exit code out.
//
//   net::loop loop;
//   int code = runCtl({"status", "--json"}, {.transport = netTransport(loop), .out = print, .err = printError,
//                                            .pause = sleepFor});
//
// One thread. Throws nothing.

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
    Refused = 1, // By the daemon, or an invalid file.
    Usage = 2,
    Conflict = 3, // Another configuration was published first.
    Unreachable = 4, // No complete answer from the daemon.
};

// One exchange with the admin interface. `reached` is false without a complete answer; `problem` then says why.
struct admin_answer
{
    bool reached = false;
    std::string problem;
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

using admin_transport = std::function<admin_answer(const admin_request &)>;

struct ctl_environment
{
    admin_transport transport;
    std::function<void(std::string_view)> out;
    std::function<void(std::string_view)> err;
    std::function<void(std::chrono::milliseconds)> pause; // Between two polls of `watch`.
};

// `arguments` without the name of the program.
[[nodiscard]] ctl_exit runCtl(const std::vector<std::string> &arguments, const ctl_environment &environment);

// Sends requests through `loop`, which must outlive the transport and is run while a request is under way.
[[nodiscard]] admin_transport netTransport(net::loop &loop);

// The text of --help.
[[nodiscard]] std::string_view ctlHelp();

} // namespace jackdawpick
