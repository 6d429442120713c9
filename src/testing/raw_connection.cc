#include "testing/raw_connection.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jackdawpick::testing
{

raw_connection::raw_connection(std::uint16_t port)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_connected = ::connect(m_socket, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) == 0;
    m_ended = !m_connected;
}

raw_connection::~raw_connection()
{
    ::close(m_socket);
}

bool raw_connection::connected() const
{
    return m_connected;
}

bool raw_connection::send(const std::string &bytes) const
{
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

std::string raw_connection::receive()
{
    static_cast<void>(ended());
    return std::exchange(m_unread, {});
}

bool raw_connection::ended()
{
    std::array<char, 65536> buffer{};
    while (!m_ended) {
        const auto count = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_unread.append(buffer.data(), static_cast<std::size_t>(count));
        } else if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        } else {
            m_ended = true;
        }
    }
    return m_ended;
}

} // namespace jackdawpick::testing
