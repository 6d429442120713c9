#pragma once

// Connections to a daemon that all send the same bytes as far as it takes them, and read nothing unless told to.
//
//   client_crowd crowd(40);
//   crowd.connect(port, text);   // as often as wanted
//   crowd.send();

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdawpick::standins
{

// Sends the text to a port of the daemons' address and reads until the connection ends or a whole response with a
// length has arrived. Returns what has arrived.
[[nodiscard]] std::string exchangeWith(std::uint16_t port, const std::string &text, std::chrono::milliseconds longest);

class client_crowd
{
public:
    client_crowd() = default;
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    // Connects this many clients, each of which is to send the text.
    void connect(std::uint16_t port, const std::string &text, int clients);
    // Sends until all bytes are sent or no client has made progress for a while.
    void send();
    [[nodiscard]] std::size_t size() const;
    // Clients whose connection the daemon has not closed.
    [[nodiscard]] std::size_t open() const;

private:
    struct client
    {
        int socket;
        std::shared_ptr<const std::string> text;
        std::size_t sent = 0;
        bool closed = false;
    };
    static bool sendSome(client &which);

    std::vector<client> m_clients;
};

} // namespace jackdawpick::standins
