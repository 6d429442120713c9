#include "emulator/stop_client.h"

#include "emulator/platform_emulator.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace jackdawpick::standins
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::chrono::seconds responseTimeout{9};
constexpr milliseconds reconnectPause{5};
constexpr milliseconds piecePause{8};
constexpr int pieces = 3;

milliseconds sinceStart()
{
    static const auto start = steady_clock::now();
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

// Whether the bytes hold a whole response, and whether it announces the close of its connection.
struct response_text
{
    std::string text;

    [[nodiscard]] bool hasHead() const
    {
        return text.find("\r\n\r\n") != std::string::npos;
    }

    [[nodiscard]] bool isWhole() const
    {
        constexpr std::string_view length = "Content-Length: ";
        if (!hasHead()) {
            return false;
        }
        const auto body = text.find("\r\n\r\n") + 4;
        const auto stated = text.find(length);
        if (stated < body) {
            return text.size() >= body + std::stoul(text.substr(stated + length.size()));
        }
        return text.ends_with("0\r\n\r\n");
    }

    [[nodiscard]] bool announcesClose() const
    {
        return text.find("Connection: close") < text.find("\r\n\r\n");
    }

    [[nodiscard]] int status() const
    {
        constexpr std::size_t statusAt = 9; // After "HTTP/1.1 ".
        return hasHead() ? std::stoi(text.substr(statusAt, 3)) : 0;
    }
};

} // namespace

stop_client::stop_client(stop_client_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

stop_client::~stop_client()
{
    disconnect();
}

const std::vector<sent_request> &stop_client::requests() const
{
    return m_requests;
}

int stop_client::refusedConnections() const
{
    return m_refused;
}

void stop_client::run(const std::atomic<bool> &stop)
{
    while (!stop) {
        if (m_socket < 0 && !connect()) {
            ++m_refused;
            std::this_thread::sleep_for(reconnectPause);
            continue;
        }
        auto &sent = m_requests.emplace_back();
        sent.attempt = fmt::format("c{}-{}", m_options.number, m_requests.size());
        sent.port = m_port;
        sent.reused = std::exchange(m_reused, true);
        sendRequest(sent);
        receive(sent);
        sent.took = sinceStart() - sent.sentAt;
        std::this_thread::sleep_for(m_options.pause);
    }
}

bool stop_client::connect()
{
    m_port = m_options.ports.at(std::uniform_int_distribution<std::size_t>(0, m_options.ports.size() - 1)(m_random));
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{.tv_sec = responseTimeout.count(), .tv_usec = 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(m_port);
    ::inet_pton(AF_INET, m_options.address.c_str(), &where.sin_addr);
    m_reused = false;
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) != 0) {
        disconnect();
        return false;
    }
    return true;
}

void stop_client::disconnect()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

bool stop_client::sendAll(const std::string &bytes) const
{
    return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

void stop_client::sendRequest(sent_request &sent)
{
    const auto path = m_options.sendsTurns ? platform_emulator::turnPath : platform_emulator::payPath;
    const std::string piece(1000, 'x');
    auto head = fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 6000\r\n", path,
                            platform_emulator::host, sent.attempt);
    if (m_options.sendsTurns) {
        head += fmt::format("X-Program-Id: p-{0}\r\nX-Session-Id: p-{0}\r\nX-Token-Budget: 4000\r\n"
                            "X-Token-Usage: 100,200\r\n",
                            sent.attempt);
    }
    if (!m_options.sendsInPieces) {
        sent.sentWhole = sendAll(fmt::format("{}Content-Length: {}\r\n\r\n{}", head, piece.size(), piece));
    } else {
        sent.sentWhole = sendAll(head + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < pieces; ++i) {
            std::this_thread::sleep_for(piecePause);
            sent.sentWhole = sendAll(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece)) && sent.sentWhole;
        }
        sent.sentWhole = sendAll("0\r\n\r\n") && sent.sentWhole;
    }
    sent.sentAt = sinceStart();
}

void stop_client::receive(sent_request &sent)
{
    response_text received;
    std::array<char, 16384> buffer{};
    while (!received.isWhole()) {
        const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            sent.reset = count < 0 && errno != EAGAIN;
            break;
        }
        received.text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    sent.status = received.status();
    sent.whole = received.isWhole();
    if (!sent.whole || received.announcesClose()) {
        disconnect();
    }
}

} // namespace jackdawpick::standins
