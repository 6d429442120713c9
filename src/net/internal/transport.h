#pragma once

// Sockets, timers and posted tasks on one libwebsockets context. Connections use the raw file role of libwebsockets and
// call recv() and send() themselves: its HTTP roles close malformed or slow connections without an answer, and none of
// its roles tells whether bytes were sent or whether a connection ended or was reset.

#include "clock/clock.h"
#include "rope/rope.h"

#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <libwebsockets.h>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <unordered_map>

namespace jackdawpick::net::internal
{

class transport;

// Calls its task once after each start(). The task may destroy the timer.
class timer
{
public:
    timer(transport &owner, std::function<void()> task);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    void start(std::chrono::microseconds delay);
    void stop();

private:
    struct node
    {
        lws_sorted_usec_list_t entry; // First member: libwebsockets hands its address to the callback.
        timer *self;
    };
    static void fired(lws_sorted_usec_list_t *entry);

    transport &m_owner;
    std::function<void()> m_task;
    node m_node{};
};

// What happens on a connection. The last call is onClosed(), unless close() was called before.
class connection_events
{
public:
    virtual ~connection_events() = default;
    virtual void onOpen()
    {
    }
    virtual void onReceived(std::string_view bytes) = 0;
    // Bytes were handed to the kernel; connection::pending() is what is left.
    virtual void onWritten()
    {
    }
    virtual void onClosed() = 0;
};

// Receives the libwebsockets callbacks of one descriptor.
class descriptor
{
public:
    virtual ~descriptor() = default;
    // Each returns false to have the descriptor closed.
    virtual bool onReadable() = 0;
    virtual bool onWriteable(lws * /*wsi*/)
    {
        return true;
    }
    virtual void onDescriptorClosed() = 0;
};

// One TCP connection. Owned by the transport until libwebsockets reports its end.
class connection final : public descriptor, public std::enable_shared_from_this<connection>
{
public:
    connection(int socket, bool open);

    void setEvents(connection_events *events);
    [[nodiscard]] bool isOpen() const;
    // Queues bytes; ignored after close().
    void send(shared_text bytes);
    void sendRope(const rope &text); // Does not copy it.
    [[nodiscard]] std::size_t pending() const; // Queued bytes not yet handed to the kernel.
    // Bytes that the queue keeps in memory, but for texts in accounts of others.
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::uint64_t handedBytes() const; // Bytes taken by the kernel since the start.
    // The peer ended its direction; false after a reset or an error.
    [[nodiscard]] bool endedByPeer() const;
    // The peer has sent bytes or has closed the connection, and no event has reported it yet.
    [[nodiscard]] bool hasUnread() const;
    // While reading is paused, the bytes of the peer stay in the kernel, which makes the peer wait.
    void pauseReading(bool paused);
    // No further event; the socket is closed in the next turn of the loop.
    void close();
    // Ends the own direction once all queued bytes are written; the peer still sees them.
    void finishWriting();

private:
    friend class transport;
    bool onReadable() override;
    bool onWriteable(lws *wsi) override;
    void onDescriptorClosed() override;
    bool checkOpened();
    bool writeSome();
    [[nodiscard]] ssize_t writeQueued(); // As sendmsg().
    void removeWritten(std::size_t count);
    void clearQueue();
    [[nodiscard]] bool hasWork() const; // For a writeable callback.
    void endDirectionIfDue();
    void awaitWriteable(lws *wsi);

    int m_socket;
    lws *m_wsi = nullptr;
    connection_events *m_events = nullptr;
    bool m_open;
    bool m_closed = false;
    bool m_finish = false;
    bool m_directionEnded = false; // The own one.
    bool m_paused = false;
    bool m_ended = false;
    std::deque<shared_text> m_queue;
    std::size_t m_offset = 0; // Written bytes of the first entry.
    std::size_t m_pending = 0;
    std::size_t m_held = 0; // As of heldBytes().
    std::uint64_t m_handed = 0;
};

using connection_ptr = std::shared_ptr<connection>;

// Accepts connections on one listening socket. Owned by the transport until its end or close().
class listener final : public descriptor
{
public:
    static constexpr int backlog = 1024; // Connections that may wait to be accepted.

    listener(int socket, std::uint16_t port, std::function<void(int)> onAccept);

    [[nodiscard]] std::uint16_t port() const;
    // Accepts the connections that wait, and no more after this turn of the loop, which destroys the listener.
    void close();

private:
    friend class transport;
    bool onReadable() override;
    void onDescriptorClosed() override;
    bool acceptOne();

    int m_socket;
    std::uint16_t m_port;
    lws *m_wsi = nullptr;
    std::function<void(int)> m_onAccept;
};

class transport
{
public:
    transport();
    ~transport();
    transport(const transport &) = delete;
    transport &operator=(const transport &) = delete;

    // Throws error(SettingsInvalid) if the address cannot be bound.
    listener &listen(const std::string &address, std::uint16_t port, std::function<void(connection_ptr)> onAccept);
    // Null if no attempt can be made; otherwise onOpen() or onClosed() follows.
    connection_ptr connect(const std::string &address, connection_events *events);
    // Calls `task` in the next turn of the loop.
    void post(std::function<void()> task);
    // Signals that arrive from now on wait for onSignals().
    static void holdSignals();
    // SIGTERM and SIGINT go to `terminate`, SIGHUP goes to `reload`.
    void onSignals(std::function<void()> terminate, std::function<void()> reload);
    void run();
    void stop();

private:
    friend class connection;
    friend class timer;
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, std::size_t length);
    int handle(lws *wsi, lws_callback_reasons reason);
    connection_ptr adopt(int socket, bool open);
    // Null if libwebsockets refuses the descriptor, which is closed then.
    lws *adoptDescriptor(int file, descriptor *user);
    // As adoptDescriptor(); on failure `user` is destroyed.
    lws *adoptFile(int file, std::unique_ptr<descriptor> user);
    void runPosted();
    // Keeps the exception for run(), since it must not pass through libwebsockets.
    template<typename F> void guarded(F &&task);

    lws_context *m_context = nullptr;
    lws_vhost *m_vhost = nullptr;
    bool m_stopped = false;
    bool m_destroying = false;
    std::exception_ptr m_failure;
    std::unordered_map<descriptor *, connection_ptr> m_connections;
    std::unordered_map<descriptor *, std::unique_ptr<descriptor>> m_files;
    std::deque<std::function<void()>> m_posted;
    std::unique_ptr<timer> m_postTimer;
    bool m_signalsBlocked = false;
};

} // namespace jackdawpick::net::internal
