#pragma once

// A TCP server that answers each connection with bytes that never end, until the peer closes. It runs on threads of its
// own, so that the loop under test has to read against a sender that does not wait for it.
//
//   endless_sender engine({.beginning = "HTTP/1.1 200 OK\r\n", .repeated = "X-A: b\r\n"});
//   request(engine.address());
//   engine.closedByPeer()
//
// Thread safe.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace jackdawpick::testing
{

struct endless_content
{
    std::string beginning; // Sent once, as soon as a byte of the request has arrived.
    std::string repeated; // Sent again and again; may be empty, then the sender is silent after the beginning.
    std::chrono::milliseconds pause{0}; // Between two repetitions; 0: as fast as the connection takes them.
    std::chrono::milliseconds pauseAfterBeginning{0};
};

class endless_sender
{
public:
    explicit endless_sender(endless_content content);
    ~endless_sender();
    endless_sender(const endless_sender &) = delete;
    endless_sender &operator=(const endless_sender &) = delete;

    [[nodiscard]] const std::string &address() const; // "ip:port"
    [[nodiscard]] int connections() const; // Accepted so far.
    [[nodiscard]] int closedByPeer() const; // Connections whose peer has closed or reset them.
    [[nodiscard]] bool received(std::string_view text) const; // At the beginning of a connection.
    [[nodiscard]] std::uint64_t sentBytes() const; // Taken by the kernel, over all connections.

private:
    void acceptConnections(const std::stop_token &stop);
    void serve(const std::stop_token &stop, int socket);
    bool sendAll(const std::stop_token &stop, int socket, std::string_view bytes);

    endless_content m_content;
    int m_listener = -1;
    std::string m_address;
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_closedByPeer = 0;
    std::atomic<std::uint64_t> m_sentBytes = 0;
    mutable std::mutex m_mutex; // Protects the members up to m_servers.
    std::vector<std::string> m_requests; // First bytes of each connection.
    std::vector<std::jthread> m_servers;
    std::jthread m_acceptor; // Last, so that it ends first.
};

} // namespace jackdawpick::testing
