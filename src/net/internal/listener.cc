#include "net/internal/transport.h"

#include <sys/socket.h>

namespace jackdawpick::net::internal
{

listener::listener(int socket, std::uint16_t port, std::function<void(int)> onAccept)
    : m_socket(socket)
    , m_port(port)
    , m_onAccept(std::move(onAccept))
{
}

std::uint16_t listener::port() const
{
    return m_port;
}

bool listener::acceptOne()
{
    const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
        m_onAccept(socket);
    }
    return socket >= 0;
}

bool listener::onReadable()
{
    constexpr int batch = 64; // Leaves the loop to other work during a flood of connections.
    for (int i = 0; i < batch && acceptOne(); ++i) { }
    return true;
}

void listener::close()
{
    // The kernel resets the connections that wait when the socket is closed.
    for (int i = 0; i < backlog && acceptOne(); ++i) { }
    lws_set_timeout(m_wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void listener::onDescriptorClosed()
{
}

} // namespace jackdawpick::net::internal
