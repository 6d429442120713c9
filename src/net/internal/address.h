#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace jackdawpick::net::internal
{

// An IPv4 or IPv6 socket address.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);

    [[nodiscard]] int family() const;
    [[nodiscard]] std::uint16_t port() const;
    sockaddr *get();
    [[nodiscard]] const sockaddr *get() const;
};

// From an IP number and a port; nothing if `ip` is not an IP number.
[[nodiscard]] std::optional<socket_address> parseAddress(const std::string &ip, std::uint16_t port);
// From "ip:port" or "[ip]:port".
[[nodiscard]] std::optional<socket_address> parseAddress(const std::string &address);

} // namespace jackdawpick::net::internal
