// One TCP connection of a transport: what is received, and the queue of what is to be sent.

#include "net/internal/transport.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

namespace jackdawpick::net::internal
{

namespace
{

constexpr std::size_t receiveChunk = 32768;
// Bytes taken from one connection in one turn of the loop, so that a fast sender leaves time to the others.
constexpr std::size_t maxReceivedPerTurn = 1U << 20U;
// Entries of the queue of a connection that one system call takes.
constexpr std::size_t maxEntriesPerWrite = 16;

} // namespace

connection::connection(int socket, bool open)
    : m_socket(socket)
    , m_open(open)
{
}

void connection::setEvents(connection_events *events)
{
    m_events = events;
}

bool connection::isOpen() const
{
    return m_open && !m_closed;
}

void connection::send(shared_text bytes)
{
    if (m_closed || bytes.empty()) {
        return;
    }
    m_pending += bytes.size();
    m_held += bytes.isCounted() ? 0 : bytes.size();
    m_queue.push_back(std::move(bytes));
    lws_callback_on_writable(m_wsi);
}

void connection::sendRope(const rope &text)
{
    std::ranges::for_each(text.segments(), [this](const shared_text &part) { send(part); });
}

std::size_t connection::heldBytes() const
{
    return m_held;
}

void connection::clearQueue()
{
    m_queue.clear();
    m_pending = 0;
    m_held = 0;
}

std::size_t connection::pending() const
{
    return m_pending;
}

std::uint64_t connection::handedBytes() const
{
    return m_handed;
}

void connection::close()
{
    m_events = nullptr;
    if (m_closed) {
        return;
    }
    m_closed = true;
    clearQueue();
    lws_set_timeout(m_wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void connection::finishWriting()
{
    m_finish = true;
    if (!m_closed) {
        lws_callback_on_writable(m_wsi);
    }
}

bool connection::endedByPeer() const
{
    return m_ended;
}

bool connection::hasUnread() const
{
    char byte = 0;
    return m_closed || ::recv(m_socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
}

void connection::pauseReading(bool paused)
{
    if (!m_closed && std::exchange(m_paused, paused) != paused) {
        lws_rx_flow_control(m_wsi, paused ? 0 : 1);
    }
}

bool connection::onReadable()
{
    if (!checkOpened()) {
        return false;
    }
    // Filled below as far as it is read.
    static thread_local std::array<char, receiveChunk> buffer;
    for (std::size_t taken = 0; taken < maxReceivedPerTurn && !m_closed && !m_paused;) {
        const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (count == 0) {
            m_ended = true;
            return false;
        }
        taken += static_cast<std::size_t>(count);
        if (m_events != nullptr) {
            m_events->onReceived({buffer.data(), static_cast<std::size_t>(count)});
        }
        if (static_cast<std::size_t>(count) < buffer.size()) {
            break;
        }
    }
    return !m_closed;
}

// True if the connection is established; reports it once.
bool connection::checkOpened()
{
    if (m_open) {
        return true;
    }
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        return false;
    }
    m_open = true;
    if (m_events != nullptr) {
        m_events->onOpen();
    }
    return true;
}

bool connection::onWriteable(lws *wsi)
{
    if (!checkOpened() || m_closed || !writeSome()) {
        return false;
    }
    endDirectionIfDue();
    if (m_events != nullptr) {
        m_events->onWritten();
    }
    if (hasWork()) {
        awaitWriteable(wsi);
    }
    return !m_closed;
}

bool connection::hasWork() const
{
    return !m_closed && (m_pending > 0 || (m_finish && !m_directionEnded));
}

void connection::endDirectionIfDue()
{
    if (m_pending == 0 && m_finish && !std::exchange(m_directionEnded, true)) {
        ::shutdown(m_socket, SHUT_WR);
    }
}

// Asks for the next writeable callback in the next turn of the loop: libwebsockets ends the wait for it after this one,
// so that what was asked for during a callback is lost.
void connection::awaitWriteable(lws *wsi)
{
    auto *owner = static_cast<transport *>(lws_context_user(lws_get_context(wsi)));
    owner->post([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self != nullptr && self->hasWork()) {
            lws_callback_on_writable(self->m_wsi);
        }
    });
}

bool connection::writeSome()
{
    while (!m_queue.empty()) {
        const auto count = writeQueued();
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        removeWritten(static_cast<std::size_t>(count));
        if (m_offset > 0) {
            return true; // The kernel takes no more.
        }
    }
    return true;
}

// Hands the first entries of the queue to the kernel, so that a request goes out in one packet if it fits.
ssize_t connection::writeQueued()
{
    std::array<iovec, maxEntriesPerWrite> parts{};
    const auto count = std::min(parts.size(), m_queue.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto bytes = m_queue[i].view().substr(i == 0 ? m_offset : 0);
        parts[i] = {.iov_base = const_cast<char *>(bytes.data()), .iov_len = bytes.size()};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    return ::sendmsg(m_socket, &message, MSG_NOSIGNAL);
}

void connection::removeWritten(std::size_t count)
{
    m_pending -= count;
    m_handed += count;
    m_offset += count;
    while (!m_queue.empty() && m_offset >= m_queue.front().size()) {
        const auto &first = m_queue.front();
        m_offset -= first.size();
        m_held -= first.isCounted() ? 0 : first.size();
        m_queue.pop_front();
    }
}

void connection::onDescriptorClosed()
{
    m_closed = true;
    clearQueue();
    if (auto *events = std::exchange(m_events, nullptr); events != nullptr) {
        events->onClosed();
    }
}

} // namespace jackdawpick::net::internal
