#pragma once

// One libwebsockets loop on one thread: HTTP server, HTTP client with streamed answers, framed TCP for peers, timers
// and signals. All callbacks run on the thread that calls run(); none is called from within the call that set it up.
//
//   net::loop loop;
//   loop.listenHttp({.address = "127.0.0.1", .port = 0}, [&](net::http_request request) { ... });
//   loop.every(1s, [] { ... });
//   loop.run();

#include "clock/clock.h"
#include "rope/rope.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawpick::net
{

struct listen_options
{
    std::string address = "127.0.0.1"; // IP number.
    std::uint16_t port = 0; // 0: chosen by the system.
    std::size_t maxBodyBytes = 4U << 20U;
    std::uint32_t maxConnections = 4096;
    std::chrono::milliseconds requestTimeout{10000}; // For the whole request to arrive.
    std::chrono::milliseconds keepAliveTimeout{60000}; // An idle connection is closed after this long.
    std::chrono::milliseconds writeTimeout{30000}; // A client that takes no byte of its answer for so long is dropped.
    std::size_t maxUnsentBytes = 8U << 20U; // Unsent bytes of one stream; a client that falls behind is dropped.
    bool discardsBodies = false; // The handler needs no bodies; they are read, bounded and dropped.
    bool handlerHoldsBodies = false; // The handler counts the bodies that it gets, by loop::holdTexts().
};

// Bounds over all HTTP listeners of a loop together.
struct client_limits
{
    // Bytes held for clients, exchanges and links. Beyond, clients are refused or closed; see docs/design/memory.md.
    std::size_t heldBytes = 128U << 20U;
    std::size_t connections = 65536; // Of clients. Beyond, the one without progress for longest is closed.
};

// What bytes are held for.
enum class held_kind : std::uint8_t {
    Input, // Received and not parsed.
    Head, // Of requests, with the cost of their fields in memory.
    Body, // Of requests, until their answers are complete or their handler counts them.
    Response, // Not taken by the client yet.
    Control, // Exchanges with endpoints and the store, and links.
    Text, // What the owner of the loop holds of requests and their answers.
};
inline constexpr std::size_t heldKindCount = 6;
[[nodiscard]] std::string_view nameOf(held_kind kind);

// Why a client was refused or its connection closed by the HTTP layer.
enum class turn_away_reason : std::uint8_t {
    Memory, // client_limits::heldBytes.
    Connections, // client_limits::connections or listen_options::maxConnections.
    TooLarge,
    Malformed,
    TooSlow, // Its request did not arrive in time.
    NotReading, // It took no byte of its answer for too long.
    FellBehind, // listen_options::maxUnsentBytes.
};
inline constexpr std::size_t turnAwayReasonCount = 7;
[[nodiscard]] std::string_view nameOf(turn_away_reason reason);

struct client_usage
{
    std::array<std::size_t, heldKindCount> heldBytes{}; // By held_kind.
    std::size_t connections = 0; // Open, of clients.
    std::array<std::uint64_t, turnAwayReasonCount> turnedAway{}; // By turn_away_reason, since the start.
};

enum class request_id : std::uint64_t {};

struct http_request
{
    request_id id{};
    std::string method;
    std::string path; // Without the query.
    std::string query; // Without the question mark.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
};

struct http_head
{
    std::uint16_t status = 200;
    std::string contentType = "application/json"; // Empty: no such header.
    std::vector<std::pair<std::string, std::string>> headers;
    // Of a streamed body; without it the body is sent in chunks.
    std::optional<std::uint64_t> contentLength;
    bool endsWithConnection = false; // Of a streamed body: sent without chunks and ended by closing the connection.
};

struct client_request
{
    std::string address; // "ip:port"
    std::string method = "GET";
    std::string path = "/";
    rope body; // Sent without a copy.
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout{10000}; // For the whole exchange.
    std::chrono::milliseconds silence{0}; // Longest time without a byte, also while connecting; 0: no bound.
    std::chrono::milliseconds connectTimeout{0}; // Until the connection is established; 0: no bound of its own.
    // Takes an idle connection if there is one, and keeps the connection for others. A peer may close such a connection
    // while the request is on its way, so requests that must not be repeated do without.
    bool reuseConnection = false;
    std::size_t maxCollectedBytes =
        64U << 20U; // Bound of client_result::body; a longer one counts as a lost connection.
    std::chrono::milliseconds idleTime{4000}; // How long the connection is kept; less if the server announces less.
};

// Status line and headers of an answer, before its body.
struct answer_head
{
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
    std::optional<std::uint64_t> contentLength;
    bool endsWithConnection = false; // The body has neither a length nor chunks; the end of the connection ends it.
};

// Whether an answer belongs to the request. A skipped answer is read to its end and dropped; the next one follows.
enum class head_verdict : std::uint8_t {
    Take,
    Skip,
};

enum class client_error : std::uint8_t {
    None,
    ConnectFailed, // Nothing was sent.
    ConnectionLost, // After bytes were sent; also an answer that is not valid HTTP.
    Silent,
    Timeout,
};

enum class client_id : std::uint64_t {};

// What a client request ended with. The body is complete only if `error` is None.
struct client_result
{
    client_error error = client_error::None;
    bool bytesSent = false; // At least one byte of the request was handed to the connection.
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers; // Names in lower case.
    std::string body; // Empty if a chunk handler took the body.
};

using chunk_handler = std::function<void(std::string_view bytes)>;
using result_handler = std::function<void(client_result)>;
using head_handler = std::function<head_verdict(const answer_head &head)>;

enum class stream_id : std::uint64_t {};

// Raw TCP connection events. `closed` is not called after the own close().
struct tcp_handlers
{
    std::function<void(stream_id)> connected;
    std::function<void(stream_id, std::string_view bytes)> received;
    std::function<void(stream_id)> closed;
};

struct loop_counters
{
    std::uint64_t tcpBytesIn = 0;
    std::uint64_t tcpBytesOut = 0;
    std::uint64_t httpRequests = 0;
    std::uint64_t clientRequests = 0;
};

// SIGTERM, SIGINT and SIGHUP that arrive from now on wait for loop::onSignals(). To be called first in main(): a signal
// in the first milliseconds of a process would end it.
void holdSignals();

class loop
{
public:
    loop();
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    // Returns the port. Throws error(SettingsInvalid) if the address cannot be bound. `disconnected` is called once if
    // the client goes away before the answer is complete; a client that only ends its sending direction counts as gone.
    // `drained` is called whenever all written bytes of an incomplete answer have been handed to the kernel.
    std::uint16_t listenHttp(const listen_options &options, std::function<void(http_request)> handler,
                             std::function<void(request_id)> disconnected = {},
                             std::function<void(request_id)> drained = {});
    // Complete answer. Ignored if the client has gone.
    void respond(request_id id, const http_head &head, const std::string &body);
    // Streamed answer: head, any number of writes, end. With a content length, the writes must add up to it.
    void beginStream(request_id id, const http_head &head);
    void writeStream(request_id id, std::string_view bytes);
    void endStream(request_id id);
    // Closes the connection of the request without an answer or in the middle of it. `disconnected` is not called.
    void abort(request_id id);
    // From now on each answer whose head is not sent yet closes its connection.
    void closeAfterAnswers();
    // Ends all HTTP servers without losing a request: accepts the connections that wait and no more, goes on answering
    // requests, and closes each connection after its answer or, after `idleTime`, while it waits for a request. Calls
    // `done` when none is left.
    void finishServers(std::chrono::milliseconds idleTime, std::function<void()> done);
    // Closes all HTTP connections now; those that hold a request or unsent bytes are logged if their server finishes.
    void closeConnections();
    // Bytes accepted by writeStream() and not yet written to the socket.
    [[nodiscard]] std::size_t bufferedBytes(request_id id) const;

    // Starts a request; `onChunk`, if set, gets the body of a 2xx answer as it arrives. With `onHead` it gets the body
    // of every answer that `onHead` takes.
    client_id request(client_request request, result_handler onResult, chunk_handler onChunk = {},
                      head_handler onHead = {});
    // Closes the connection of the request; its handlers are not called any more.
    void cancel(client_id id);
    // Stops or resumes reading the answer; its sender has to wait meanwhile. The timeout of the request goes on.
    void pauseReceiving(client_id id, bool paused);

    std::uint16_t listenTcp(const listen_options &options, tcp_handlers handlers);
    // `closed` is called if the connection cannot be made.
    stream_id connectTcp(const std::string &address, tcp_handlers handlers);
    void send(stream_id id, std::string bytes);
    void close(stream_id id);

    // Calls `task` once after `delay`, or again and again every `interval`.
    void after(std::chrono::milliseconds delay, std::function<void()> task);
    void every(std::chrono::milliseconds interval, std::function<void()> task);
    // Replaces the one wake-up time of the owner of the loop, by the clock of system_clock_source.
    void wakeAt(std::optional<time_point> when, std::function<void()> task);
    // SIGTERM and SIGINT go to `terminate`, SIGHUP goes to `reload`.
    void onSignals(std::function<void()> terminate, std::function<void()> reload = {});

    // Runs until stop(). An exception from a callback stops the loop and is thrown here.
    void run();
    void stop();

    [[nodiscard]] const loop_counters &counters() const;

    // Applies from now on.
    void setClientLimits(const client_limits &limits);
    // The bytes that the owner holds for requests. They take room from those that are not served yet.
    void holdTexts(std::size_t bytes);
    [[nodiscard]] const client_usage &clientUsage() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_impl;
};

// Splits a server-sent event stream into the payloads of its "data:" lines. Holds at most one incomplete event of
// `maxEventBytes`.
class sse_reader
{
public:
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    // The payloads of all events completed by `bytes`; lines of one event are joined by a line feed. Throws
    // error(EndpointFailed) on an event beyond the bound.
    [[nodiscard]] std::vector<std::string> append(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<std::string> &events);

    std::string m_line; // Incomplete.
    std::string m_data; // Of the incomplete event.
    bool m_hasData = false;
};

} // namespace jackdawpick::net
