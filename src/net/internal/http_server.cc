#include "net/internal/http_server.h"

#include "logging/logging.h"
#include "net/internal/refusal_text.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace jackdawpick::net::internal
{

namespace
{

constexpr std::size_t maxRefusedConnections = 64; // Connections beyond the limit that still get an answer.
// Time for a client to read its last answer while further input is discarded; closing at once would reset the
// connection and could destroy the answer on its way.
constexpr std::chrono::seconds closingTime{2};

std::string_view reasonOf(std::uint16_t status)
{
    const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
    return {reason.data(), reason.size()};
}

} // namespace

std::string_view http_session::nameOf(phase value)
{
    switch (value) {
    case phase::Reading:
        return "reading";
    case phase::Answering:
        return "answering";
    case phase::Closing:
        return "closing";
    }
    return "unknown";
}

http_session::http_session(http_server &server, transport &owner, connection_ptr link)
    : m_server(server)
    , m_transport(owner)
    , m_link(std::move(link))
    , m_readTimer(owner, [this] { onReadTimeout(); })
    , m_writeTimer(owner, [this] { onWriteTimeout(); })
{
    m_entry.emplace(server.m_account, *this, time_point::clock::now());
    m_link->setEvents(this);
}

void http_session::start()
{
    m_started = true;
    m_readTimer.start(m_server.m_options.requestTimeout);
}

void http_session::refuse(turn_away_reason reason, result_code code, const std::string &message)
{
    const auto &row = describe(code);
    noteTurnedAway(reason);
    m_keepAlive = false;
    m_phase = phase::Answering;
    respond({.status = row.httpStatus, .contentType = "application/json", .headers = retryHeaders(row)},
            refusalText(row, message));
}

void http_session::onReceived(std::string_view bytes)
{
    if (m_phase == phase::Closing) {
        return;
    }
    const auto alive = shared_from_this();
    m_entry->noteMoved(bytes.size(), time_point::clock::now());
    m_input.append(bytes);
    if (m_phase == phase::Reading && !m_paused) {
        if (!m_started) {
            start();
        }
        parse();
    }
    pauseIfBehind();
    settleAccount();
}

void http_session::parse()
{
    const auto alive = shared_from_this();
    while (m_phase == phase::Reading && !m_input.empty() && !isBehind() && parseStep()) { }
    pauseIfBehind();
}

// Returns false when more input is needed.
bool http_session::parseStep()
{
    if (!m_parser) {
        m_parser = std::make_unique<parser>();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(m_server.m_options.maxBodyBytes);
        m_parser->maxCollected = m_server.m_options.maxBodyBytes;
        if (m_server.m_options.discardsBodies) {
            m_parser->sink = [](std::string_view) {
            };
        }
        m_entry->setStanding(standing::Incomplete);
        m_parser->eager(true);
        m_headerDone = false;
    }
    boost::beast::error_code failure;
    const std::size_t used = m_parser->put(boost::asio::const_buffer(m_input.data(), m_input.size()), failure);
    m_input.erase(0, used);
    if (failure && failure != beast_http::error::need_more) {
        refuseParsed(failure);
        return false;
    }
    if (failure && m_input.size() > maxHeaderBytes) {
        refuse(turn_away_reason::TooLarge, result_code::RequestTooLarge,
               fmt::format("a chunk header or the trailers exceed {} bytes", maxHeaderBytes));
        return false;
    }
    if (m_parser->is_done()) {
        updateAccount();
        if (!m_server.m_account.mayServe(m_parser->headBytes() + m_parser->body.capacity())) {
            refuse(turn_away_reason::Memory, result_code::TooManyConnections,
                   "this daemon has no memory left for the request");
            return false;
        }
        dispatch();
        return true;
    }
    if (m_parser->is_header_done() && !m_headerDone) {
        m_headerDone = true;
        afterHeader();
    }
    return !failure && used > 0;
}

void http_session::afterHeader()
{
    if (headerValue(m_parser->headers, "expect") == "100-continue") {
        m_link->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_session::refuseParsed(const boost::beast::error_code &failure)
{
    if (failure == beast_http::error::header_limit) {
        refuse(turn_away_reason::TooLarge, result_code::RequestTooLarge,
               fmt::format("the header exceeds {} bytes or {} fields", maxHeaderBytes, maxHeaderFields));
    } else if (failure == beast_http::error::body_limit) {
        refuse(turn_away_reason::TooLarge, result_code::RequestTooLarge,
               fmt::format("the body exceeds {} bytes", m_server.m_options.maxBodyBytes));
    } else {
        refuse(turn_away_reason::Malformed, result_code::MalformedRequest,
               fmt::format("not a valid HTTP request: {}", failure.message()));
    }
}

void http_session::dispatch()
{
    m_readTimer.stop();
    const auto done = std::move(m_parser);
    m_servedHeadBytes = done->headBytes();
    m_servedBodyBytes = m_server.m_options.handlerHoldsBodies ? 0 : done->body.capacity();
    m_entry->setStanding(standing::Serving);
    m_entry->noteProgress(time_point::clock::now());
    m_keepAlive = done->keep_alive() && !m_server.m_closing;
    m_headSent = false;
    m_chunked = done->version >= 11;
    m_headOnly = done->method == "HEAD";
    m_phase = phase::Answering;
    m_request = ++m_server.m_requests.lastId;
    m_server.m_requests.sessions.emplace(m_request, shared_from_this());
    ++m_server.m_counters.httpRequests;
    updateAccount(); // The handler may count the body from now on.
    const auto mark = done->target.find('?');
    m_server.m_handler({.id = request_id{m_request},
                        .method = std::move(done->method),
                        .path = done->target.substr(0, mark),
                        .query = mark == std::string::npos ? std::string() : done->target.substr(mark + 1),
                        .body = std::move(done->body),
                        .headers = std::move(done->headers)});
}

std::string http_session::headText(const http_head &head) const
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, reasonOf(head.status));
    if (!head.contentType.empty()) {
        text += fmt::format("Content-Type: {}\r\n", head.contentType);
    }
    for (const auto &[name, value] : head.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!m_keepAlive) {
        text += "Connection: close\r\n";
    }
    return text;
}

void http_session::respond(const http_head &head, const std::string &body)
{
    if (m_phase != phase::Answering) {
        return;
    }
    m_headSent = true;
    m_link->send(fmt::format("{}Content-Length: {}\r\n\r\n{}", headText(head), body.size(),
                             m_headOnly ? std::string_view() : std::string_view(body)));
    finishAnswer();
    relieveSoon();
}

void http_session::beginStream(const http_head &head)
{
    m_headSent = true;
    if (head.contentLength.has_value()) {
        m_chunked = false;
        m_link->send(headText(head) + fmt::format("Content-Length: {}\r\n\r\n", *head.contentLength));
    } else {
        m_chunked = m_chunked && !head.endsWithConnection;
        m_keepAlive = m_keepAlive && m_chunked;
        m_link->send(headText(head) + (m_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
    }
    m_writeTimer.start(m_server.m_options.writeTimeout);
}

void http_session::writeStream(std::string_view bytes)
{
    if (m_phase != phase::Answering || bytes.empty()) {
        return;
    }
    if (m_link->pending() == 0) {
        m_writeTimer.start(m_server.m_options.writeTimeout);
    }
    m_link->send(m_chunked ? fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes) : std::string(bytes));
    relieveSoon();
    if (m_link->pending() > m_server.m_options.maxUnsentBytes) {
        // Not from within the call of the writer, who learns of it through `disconnected`.
        m_transport.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->noteTurnedAway(turn_away_reason::FellBehind);
                self->drop();
            }
        });
    }
}

void http_session::endStream()
{
    if (m_phase == phase::Answering) {
        m_link->send(m_chunked ? "0\r\n\r\n" : "");
        finishAnswer();
        updateAccount();
    }
}

void http_session::abort()
{
    logUnfinished("aborted");
    m_server.m_requests.sessions.erase(std::exchange(m_request, 0));
    drop();
}

void http_session::closeAfterAnswer()
{
    m_keepAlive = m_keepAlive && m_headSent;
}

bool http_session::isIdle() const
{
    return m_phase == phase::Reading && !m_parser && m_input.empty();
}

void http_session::closeIfIdle()
{
    // Bytes that lie in the socket are a request to be answered; closing on them would reset the connection.
    if (!isIdle() || m_link->hasUnread()) {
        return;
    }
    if (m_link->pending() > 0) {
        startClosing(); // The last answer is still being written.
    } else {
        drop();
    }
}

void http_session::closeNow()
{
    logUnfinished("stopped");
    drop();
}

void http_session::logUnfinished(std::string_view reason) const
{
    const auto unparsed = m_input.size() + (m_parser ? m_parser->body.size() : 0);
    const bool holdsNothing = m_request == 0 && !m_parser && unparsed == 0 && m_link->pending() == 0;
    if (!m_server.m_closing || holdsNothing) {
        return;
    }
    logging::write(log_level::Warning, "connection_unfinished",
                   {{"reason", reason},
                    {"phase", nameOf(m_phase)},
                    {"request_open", m_request != 0},
                    {"request_bytes", unparsed},
                    {"unsent_bytes", m_link->pending()}});
}

std::size_t http_session::buffered() const
{
    return m_link->pending();
}

void http_session::finishAnswer()
{
    m_server.m_requests.sessions.erase(std::exchange(m_request, 0));
    m_servedHeadBytes = 0;
    m_servedBodyBytes = 0;
    m_entry->setStanding(m_input.empty() ? standing::Idle : standing::Incomplete);
    m_entry->noteProgress(time_point::clock::now());
    m_writeTimer.start(m_server.m_options.writeTimeout);
    if (!m_keepAlive) {
        startClosing();
        return;
    }
    m_phase = phase::Reading;
    if (m_input.empty() && m_server.m_listener == nullptr && !m_link->hasUnread()) {
        startClosing(); // The head of this answer was sent before the server began to close.
        return;
    }
    if (m_paused) {
        resumeIfTaken();
    } else if (m_input.empty()) {
        awaitRequest();
    } else {
        parseSoon();
    }
}

void http_session::startClosing()
{
    m_phase = phase::Closing;
    releaseRequest();
    m_entry->setStanding(standing::Closing);
    m_readTimer.stop();
    m_link->pauseReading(false);
    m_link->finishWriting();
    updateAccount();
}

void http_session::onWritten()
{
    const auto unread = m_entry->held(held_kind::Response);
    updateAccount();
    const auto left = m_entry->held(held_kind::Response);
    m_entry->noteMoved(unread - std::min(unread, left), time_point::clock::now());
    resumeIfTaken();
    if (m_link->pending() > 0) {
        m_writeTimer.start(m_server.m_options.writeTimeout);
        return;
    }
    m_writeTimer.stop();
    if (m_phase == phase::Closing) {
        m_writeTimer.start(closingTime);
    } else if (m_request != 0 && m_server.m_drained) {
        m_server.m_drained(request_id{m_request});
    }
}

void http_session::onReadTimeout()
{
    if (m_started) {
        refuse(turn_away_reason::TooSlow, result_code::RequestTimeout, "the request did not arrive in time");
    } else {
        drop(); // An idle connection kept for further requests.
    }
}

void http_session::onWriteTimeout()
{
    if (m_link->pending() > 0) {
        noteTurnedAway(turn_away_reason::NotReading);
    }
    logUnfinished("timeout");
    drop();
}

// Closes the connection as if the client had.
void http_session::drop()
{
    m_link->close();
    onClosed();
}

void http_session::onClosed()
{
    const auto alive = shared_from_this();
    releaseRequest();
    m_entry.reset();
    m_readTimer.stop();
    m_writeTimer.stop();
    m_phase = phase::Closing;
    m_link->setEvents(nullptr);
    m_server.remove(this);
    if (const auto request = std::exchange(m_request, 0); request != 0) {
        m_server.m_requests.sessions.erase(request);
        if (m_server.m_disconnected) {
            m_server.m_disconnected(request_id{request});
        }
    }
}

void http_session::releaseRequest()
{
    m_parser.reset();
    std::string().swap(m_input);
    m_servedHeadBytes = 0;
    m_servedBodyBytes = 0;
}

http_server::http_server(transport &owner, memory_account &account, open_requests &requests, loop_counters &counters,
                         listen_options options, std::function<void(http_request)> handler,
                         std::function<void(request_id)> disconnected, std::function<void(request_id)> drained)
    : m_transport(owner)
    , m_account(account)
    , m_requests(requests)
    , m_counters(counters)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_disconnected(std::move(disconnected))
    , m_drained(std::move(drained))
    , m_listener(
          &owner.listen(m_options.address, m_options.port, [this](connection_ptr link) { accept(std::move(link)); }))
    , m_port(m_listener->port())
{
}

std::uint16_t http_server::port() const
{
    return m_port;
}

std::vector<std::shared_ptr<http_session>> http_server::sessions() const
{
    std::vector<std::shared_ptr<http_session>> result;
    std::ranges::transform(m_sessions, std::back_inserter(result), [](const auto &entry) { return entry.second; });
    return result;
}

void http_server::closeAfterAnswers()
{
    m_closing = true;
    std::ranges::for_each(sessions(), &http_session::closeAfterAnswer);
}

void http_server::finish(std::function<void()> done)
{
    closeAfterAnswers();
    m_done = std::move(done);
    if (auto *waiting = std::exchange(m_listener, nullptr); waiting != nullptr) {
        waiting->close();
    }
    if (m_sessions.empty()) {
        m_transport.post(std::exchange(m_done, {}));
    }
}

void http_server::closeIdleConnections()
{
    std::ranges::for_each(sessions(), &http_session::closeIfIdle);
}

void http_server::closeConnections()
{
    std::ranges::for_each(sessions(), &http_session::closeNow);
}

void http_server::remove(const http_session *session)
{
    if (m_sessions.erase(session) > 0 && m_sessions.empty() && m_done) {
        m_transport.post(std::exchange(m_done, {}));
    }
}

void http_server::accept(connection_ptr link)
{
    const bool hasRoom = m_account.makeRoomForConnection(time_point::clock::now());
    const bool accountExceeded =
        m_account.usage().connections >= m_account.limits().connections + maxRefusedConnections;
    if (accountExceeded || m_sessions.size() >= m_options.maxConnections + maxRefusedConnections) {
        m_account.countTurnedAway(turn_away_reason::Connections);
        link->close();
        return;
    }
    auto session = std::make_shared<http_session>(*this, m_transport, std::move(link));
    m_sessions.emplace(session.get(), session);
    if (!hasRoom || m_sessions.size() > m_options.maxConnections) {
        session->refuse(turn_away_reason::Connections, result_code::TooManyConnections,
                        fmt::format("more than {} connections are open",
                                    std::min<std::size_t>(m_options.maxConnections, m_account.limits().connections)));
    } else {
        session->start();
    }
}

} // namespace jackdawpick::net::internal
