#pragma once

// The server side of HTTP/1.1: sessions on connections of a transport.

#include "net/internal/memory_account.h"
#include "net/internal/message_parser.h"
#include "net/internal/transport.h"
#include "net/net.h"
#include "results/results.h"

#include <optional>
#include <unordered_map>

namespace jackdawpick::net::internal
{

class http_server;
class http_session;

// The sessions whose request waits for an answer, over all servers of a loop.
struct open_requests
{
    std::uint64_t lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<http_session>> sessions;
};

// One connection of a client: requests one after the other.
class http_session final : public connection_events,
                           public account_client,
                           public std::enable_shared_from_this<http_session>
{
public:
    http_session(http_server &server, transport &owner, connection_ptr link);

    void start();
    // Answers without reading a request and closes.
    void refuse(turn_away_reason reason, result_code code, const std::string &message);
    // Refuses a request that has not run; closes the connection where no refusal is possible any more.
    void giveWay(scarce_resource resource) override;
    void respond(const http_head &head, const std::string &body);
    void beginStream(const http_head &head);
    void writeStream(std::string_view bytes);
    void endStream();
    void abort();
    // The answer under way closes the connection, unless its head is sent already.
    void closeAfterAnswer();
    // Closes the connection if no byte of a request has arrived.
    void closeIfIdle();
    // Closes the connection now.
    void closeNow();
    [[nodiscard]] std::size_t buffered() const;

private:
    enum class phase : std::uint8_t {
        Reading,
        Answering,
        Closing, // The last answer is being written; further input is discarded.
    };
    using parser = message_parser<true>;
    [[nodiscard]] static std::string_view nameOf(phase value);

    void onReceived(std::string_view bytes) override;
    void onWritten() override;
    void onClosed() override;
    void onReadTimeout();
    void onWriteTimeout();
    void parse();
    bool parseStep();
    void afterHeader();
    void dispatch();
    void refuseParsed(const boost::beast::error_code &failure);
    std::string headText(const http_head &head) const;
    void finishAnswer();
    [[nodiscard]] bool isIdle() const;
    void startClosing();
    void drop();
    // Logs what the client has sent without an answer, or has not received, on a connection that a closing server ends.
    void logUnfinished(std::string_view reason) const;
    void releaseRequest();
    // Brings the account up to date with what the connection holds.
    void updateAccount();
    // The same, and lets connections give way if the account is full. Not for calls from within a handler.
    void settleAccount();
    void relieveSoon();
    // Reads no more while the client does not take its answers, or while it has sent much ahead of them.
    void pauseIfBehind();
    void awaitRequest();
    void parseSoon();
    void resumeIfTaken();
    [[nodiscard]] bool isBehind() const;
    // Counts and logs a client that is refused or closed.
    void noteTurnedAway(turn_away_reason reason);

    http_server &m_server;
    transport &m_transport;
    connection_ptr m_link;
    phase m_phase = phase::Reading;
    std::unique_ptr<parser> m_parser;
    std::string m_input;
    std::size_t m_servedHeadBytes = 0; // Of the request that waits for its answer.
    std::size_t m_servedBodyBytes = 0;
    std::optional<account_entry> m_entry; // Until the connection is closed.
    bool m_paused = false;
    bool m_turnedAway = false;
    bool m_headerDone = false;
    bool m_started = false; // A byte of the current request has arrived, or it is the first one.
    bool m_keepAlive = true;
    bool m_headSent = false; // Of the answer to the current request.
    bool m_chunked = true; // Answers in streams; HTTP/1.0 clients get a body that ends with the connection.
    bool m_headOnly = false;
    std::uint64_t m_request = 0;
    timer m_readTimer;
    timer m_writeTimer;
};

// Bounds the log lines about clients that were turned away.
class turn_away_log
{
public:
    static constexpr int maxLinesPerSecond = 50;

    // Returns whether a line may be written now, and how many were left out since the last one.
    std::optional<std::uint64_t> nextLine(time_point now);

private:
    time_point m_second;
    int m_lines = 0; // In this second.
    std::uint64_t m_omitted = 0;
};

class http_server
{
public:
    http_server(transport &owner, memory_account &account, open_requests &requests, loop_counters &counters,
                listen_options options, std::function<void(http_request)> handler,
                std::function<void(request_id)> disconnected, std::function<void(request_id)> drained);
    [[nodiscard]] std::uint16_t port() const;
    // From now on each answer whose head is not sent yet closes its connection.
    void closeAfterAnswers();
    // Accepts no more connections; calls `done`, not from within this call, when none is left.
    void finish(std::function<void()> done);
    void closeIdleConnections();
    void closeConnections();

private:
    friend class http_session;
    void accept(connection_ptr link);
    void remove(const http_session *session);
    [[nodiscard]] std::vector<std::shared_ptr<http_session>> sessions() const;

    transport &m_transport;
    memory_account &m_account;
    open_requests &m_requests;
    loop_counters &m_counters;
    listen_options m_options;
    std::function<void(http_request)> m_handler;
    std::function<void(request_id)> m_disconnected;
    std::function<void(request_id)> m_drained;
    std::unordered_map<const http_session *, std::shared_ptr<http_session>> m_sessions;
    turn_away_log m_turnAwayLog;
    listener *m_listener; // Null once it is closed.
    std::uint16_t m_port = 0;
    bool m_closing = false;
    std::function<void()> m_done; // Set while the server finishes.
};

} // namespace jackdawpick::net::internal
