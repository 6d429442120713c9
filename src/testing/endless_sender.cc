#include "testing/endless_sender.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace jackdawpick::testing
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds stopCheckInterval{20};
constexpr std::size_t minPieceBytes = 65536; // Repetitions sent together when there is no pause.
constexpr int backlog = 128;

bool waitFor(int socket, short events, milliseconds time)
{
    pollfd item{.fd = socket, .events = events, .revents = 0};
    return ::poll(&item, 1, static_cast<int>(time.count())) > 0;
}

bool isOpen(int socket)
{
    char byte = 0;
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count > 0 || (count < 0 && errno == EAGAIN);
}

std::string repeatedUpTo(const std::string &text, std::size_t bytes)
{
    std::string result = text;
    while (!text.empty() && result.size() < bytes) {
        result += text;
    }
    return result;
}

} // namespace

endless_sender::endless_sender(endless_content content)
    : m_content(std::move(content))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(where);
    auto *generic = reinterpret_cast<sockaddr *>(&where);
    if (m_listener < 0 || ::bind(m_listener, generic, size) != 0 || ::listen(m_listener, backlog) != 0
        || ::getsockname(m_listener, generic, &size) != 0) {
        throw std::runtime_error("cannot listen on loopback");
    }
    m_address = fmt::format("127.0.0.1:{}", ntohs(where.sin_port));
    m_acceptor = std::jthread([this](const std::stop_token &stop) { acceptConnections(stop); });
}

endless_sender::~endless_sender()
{
    m_acceptor.request_stop();
    m_acceptor.join();
    m_servers.clear(); // Stops and joins each.
    ::close(m_listener);
}

const std::string &endless_sender::address() const
{
    return m_address;
}

int endless_sender::connections() const
{
    return m_connections;
}

int endless_sender::closedByPeer() const
{
    return m_closedByPeer;
}

bool endless_sender::received(std::string_view text) const
{
    const std::scoped_lock lock(m_mutex);
    return std::ranges::any_of(m_requests,
                               [text](const auto &request) { return request.find(text) != std::string::npos; });
}

std::uint64_t endless_sender::sentBytes() const
{
    return m_sentBytes;
}

void endless_sender::acceptConnections(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (!waitFor(m_listener, POLLIN, stopCheckInterval)) {
            continue;
        }
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        ++m_connections;
        const std::scoped_lock lock(m_mutex);
        m_servers.emplace_back([this, socket](const std::stop_token &stopServing) {
            serve(stopServing, socket);
            ::close(socket);
        });
    }
}

void endless_sender::serve(const std::stop_token &stop, int socket)
{
    std::array<char, 4096> request{};
    while (!stop.stop_requested() && !waitFor(socket, POLLIN, stopCheckInterval)) { }
    const auto count = ::recv(socket, request.data(), request.size(), 0);
    if (count > 0) {
        const std::scoped_lock lock(m_mutex);
        m_requests.emplace_back(request.data(), static_cast<std::size_t>(count));
    }
    bool open = count > 0 && sendAll(stop, socket, m_content.beginning);
    if (open) {
        std::this_thread::sleep_for(m_content.pauseAfterBeginning);
    }
    const bool paced = m_content.pause.count() > 0;
    const auto piece = paced ? m_content.repeated : repeatedUpTo(m_content.repeated, minPieceBytes);
    while (open && !stop.stop_requested()) {
        open = sendAll(stop, socket, piece) && isOpen(socket);
        if (open && (paced || piece.empty())) {
            std::this_thread::sleep_for(piece.empty() ? stopCheckInterval : m_content.pause);
        }
    }
    if (!open) {
        ++m_closedByPeer;
    }
}

// Returns false if the peer has closed the connection.
bool endless_sender::sendAll(const std::stop_token &stop, int socket, std::string_view bytes)
{
    while (!bytes.empty() && !stop.stop_requested()) {
        const auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0) {
            m_sentBytes += static_cast<std::uint64_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        } else if (errno == EAGAIN) {
            waitFor(socket, POLLOUT, stopCheckInterval);
        } else {
            return false;
        }
    }
    return true;
}

} // namespace jackdawpick::testing
