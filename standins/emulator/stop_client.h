#pragma once

// A caller of several daemons that keeps its connections, respects "Connection: close" and never learns that a daemon
// stops: its list of addresses stays as it is. It notes how each of its requests has ended. Blocks; one thread each.
//
//   stop_client client({.ports = {8001, 8002}, .number = 1, .seed = 7});
//   client.run(stop);
//   for (const auto &sent : client.requests()) { ... }

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace jackdawpick::standins
{

struct stop_client_options
{
    std::string address; // Of all daemons, an IP number.
    std::vector<std::uint16_t> ports; // Of the daemons.
    int number = 0; // Part of the ids of its requests.
    unsigned seed = 1;
    bool sendsTurns = false; // Streams in place of calls that must not be repeated.
    bool sendsInPieces = false; // Chunked bodies, with pauses.
    std::chrono::milliseconds pause{0}; // Between requests.
};

// How a request of a stop_client has ended.
struct sent_request
{
    std::string attempt;
    std::uint16_t port = 0;
    int status = 0; // 0 if no head has arrived.
    bool whole = false; // The whole answer has arrived.
    bool reset = false;
    bool reused = false; // The connection had served a request before.
    bool sentWhole = false; // The kernel took all bytes.
    std::chrono::milliseconds sentAt{0}; // Its last byte, since the start of the client.
    std::chrono::milliseconds took{0}; // From its last byte to the end.
};

class stop_client
{
public:
    explicit stop_client(stop_client_options options);
    ~stop_client();
    stop_client(const stop_client &) = delete;
    stop_client &operator=(const stop_client &) = delete;

    // Sends one request after the other until `stop` is set.
    void run(const std::atomic<bool> &stop);
    [[nodiscard]] const std::vector<sent_request> &requests() const;
    [[nodiscard]] int refusedConnections() const;

private:
    bool connect();
    void disconnect();
    void sendRequest(sent_request &sent);
    bool sendAll(const std::string &bytes) const;
    void receive(sent_request &sent);

    stop_client_options m_options;
    std::mt19937 m_random;
    std::vector<sent_request> m_requests;
    int m_refused = 0;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    bool m_reused = false;
};

} // namespace jackdawpick::standins
