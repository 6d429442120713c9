#pragma once

// A TCP connection to this machine whose bytes a test chooses. Receives without waiting.
//
//   raw_connection client(port);
//   client.send("GET / HTTP/1.1\r\n\r\n");
//   ...   // run the server
//   client.receive();

#include <cstdint>
#include <string>

namespace jackdawpick::testing
{

class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port);
    ~raw_connection();
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    [[nodiscard]] bool connected() const;
    // Returns whether the kernel took all bytes.
    bool send(const std::string &bytes) const;
    // What has arrived since the last call.
    std::string receive();
    // The peer has closed the connection, as far as receive() has read; tries to read on.
    [[nodiscard]] bool ended();

private:
    std::string m_unread;
    int m_socket;
    bool m_connected = false;
    bool m_ended = false;
};

} // namespace jackdawpick::testing
