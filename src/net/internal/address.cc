#include "net/internal/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace jackdawpick::net::internal
{

int socket_address::family() const
{
    return storage.ss_family;
}

std::uint16_t socket_address::port() const
{
    return ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6 &>(storage).sin6_port
                                               : reinterpret_cast<const sockaddr_in &>(storage).sin_port);
}

sockaddr *socket_address::get()
{
    return reinterpret_cast<sockaddr *>(&storage);
}

const sockaddr *socket_address::get() const
{
    return reinterpret_cast<const sockaddr *>(&storage);
}

std::optional<socket_address> parseAddress(const std::string &ip, std::uint16_t port)
{
    socket_address result;
    auto &four = reinterpret_cast<sockaddr_in &>(result.storage);
    if (::inet_pton(AF_INET, ip.c_str(), &four.sin_addr) == 1) {
        four.sin_family = AF_INET;
        four.sin_port = htons(port);
        result.size = sizeof(sockaddr_in);
        return result;
    }
    auto &six = reinterpret_cast<sockaddr_in6 &>(result.storage);
    if (::inet_pton(AF_INET6, ip.c_str(), &six.sin6_addr) == 1) {
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(port);
        result.size = sizeof(sockaddr_in6);
        return result;
    }
    return std::nullopt;
}

std::optional<socket_address> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [rest, status] = std::from_chars(address.data() + colon + 1, end, port);
    if (status != std::errc{} || rest != end || port == 0) {
        return std::nullopt;
    }
    std::string ip = address.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']')) {
        ip = ip.substr(1, ip.size() - 2);
    }
    return parseAddress(ip, port);
}

} // namespace jackdawpick::net::internal
