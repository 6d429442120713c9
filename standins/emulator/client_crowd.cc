#include "emulator/client_crowd.h"

#include "emulator/daemon_process.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace jackdawpick::standins
{

namespace
{

using std::chrono::milliseconds;

// A client reads nothing, so that its kernel takes little of what the daemon sends.
constexpr int receiveBufferBytes = 4096;
constexpr std::size_t mostSentAtOnce = 65536; // Lets all clients of a crowd send at the same time.
constexpr milliseconds pollInterval{5};
constexpr milliseconds longestWithoutProgress{1500};

int connectTo(std::uint16_t port, int receiveBuffer)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    ::inet_pton(AF_INET, loopbackAddress().c_str(), &where.sin_addr);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

// Whether the response has a length and is whole.
bool isWhole(const std::string &response)
{
    constexpr std::string_view lengthName = "Content-Length: ";
    const auto end = response.find("\r\n\r\n");
    const auto length = response.find(lengthName);
    if (end == std::string::npos || length > end) {
        return false;
    }
    const auto bytes = std::strtoul(response.c_str() + length + lengthName.size(), nullptr, 10);
    return response.size() >= end + 4 + bytes;
}

} // namespace

std::string exchangeWith(std::uint16_t port, const std::string &text, milliseconds longest)
{
    const int socket = connectTo(port, 0);
    std::string response;
    if (socket < 0) {
        return response;
    }
    const auto last = std::chrono::steady_clock::now() + longest;
    std::size_t sent = 0;
    std::array<char, 65536> buffer{};
    bool open = true;
    while (open && !isWhole(response) && std::chrono::steady_clock::now() < last) {
        const auto events = static_cast<short>(sent < text.size() ? POLLIN | POLLOUT : POLLIN);
        pollfd item{.fd = socket, .events = events, .revents = 0};
        ::poll(&item, 1, static_cast<int>(pollInterval.count()));
        if ((item.revents & POLLOUT) != 0) {
            const auto count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        }
        if ((item.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            const auto count = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count > 0) {
                response.append(buffer.data(), static_cast<std::size_t>(count));
            }
            open = count > 0 || (count < 0 && errno == EAGAIN);
        }
    }
    ::close(socket);
    return response;
}

client_crowd::~client_crowd()
{
    std::ranges::for_each(m_clients, [](const client &which) { ::close(which.socket); });
}

void client_crowd::connect(std::uint16_t port, const std::string &text, int clients)
{
    const auto shared = std::make_shared<const std::string>(text);
    for (int i = 0; i < clients; ++i) {
        if (const int socket = connectTo(port, receiveBufferBytes); socket >= 0) {
            m_clients.push_back({.socket = socket, .text = shared});
        }
    }
}

// Returns whether bytes were sent.
bool client_crowd::sendSome(client &which)
{
    const auto left = std::min(which.text->size() - which.sent, mostSentAtOnce);
    if (which.closed || left == 0) {
        return false;
    }
    const auto count = ::send(which.socket, which.text->data() + which.sent, left, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
        which.sent += static_cast<std::size_t>(count);
    } else if (count < 0 && errno != EAGAIN) {
        which.closed = true;
    }
    return count > 0;
}

void client_crowd::send()
{
    auto lastProgress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - lastProgress < longestWithoutProgress) {
        const auto progressed = std::ranges::count_if(m_clients, &client_crowd::sendSome);
        if (progressed > 0) {
            lastProgress = std::chrono::steady_clock::now();
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
}

std::size_t client_crowd::size() const
{
    return m_clients.size();
}

std::size_t client_crowd::open() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_clients, [](const client &which) {
        pollfd item{.fd = which.socket, .events = POLLRDHUP, .revents = 0};
        return ::poll(&item, 1, 0) == 0;
    }));
}

} // namespace jackdawpick::standins
