#pragma once

// HTTP client of the platform: requests to the log service and polls of the host list.

#include "core/events.h"
#include "net/net.h"

#include <functional>

namespace jackdawpick
{

struct platform_options
{
    std::string logAddress;
    std::string hostListAddress;
    std::chrono::milliseconds logTimeout{1000};
    std::chrono::milliseconds hostListPollInterval{1000};
};

class platform_client
{
public:
    platform_client(net::loop &loop, platform_options options, std::function<void(event)> post);

    // Starts polling the host list.
    void start();
    void send(const log_request &request);

private:
    void append(const append_request &request);
    void read(const read_request &request);
    void pollHostList();

    net::loop &m_loop;
    platform_options m_options;
    std::function<void(event)> m_post;
    bool m_hostListPending = false;
    bool m_hostListFailed = false; // Whether the last poll failed; a series of failures is logged once.
};

// Parses the body of GET /hosts; nullopt if it is not a host list. Invalid entries are left out and counted in
// `skipped`.
[[nodiscard]] std::optional<std::vector<host_entry>> parseHostList(const std::string &body, std::size_t &skipped);
// Parses the body of GET /streams/{stream}; `ok` is false if it is invalid.
[[nodiscard]] read_result parseLogPage(const std::string &stream, const std::string &body);

} // namespace jackdawpick
