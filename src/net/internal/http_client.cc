#include "net/internal/http_client.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace jackdawpick::net::internal
{

namespace
{

// Collected bodies are bounded by message_parser. The parser of Boost 1.74 refuses every Content-Length if it is given
// no limit at all.
constexpr std::uint64_t noLimit = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t maxIdlePerAddress = 32;
// Interim responses and late responses to other requests that one exchange reads past.
constexpr unsigned maxSkippedResponses = 8;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstUndefinedStatus = 600;
// Part of the idle time announced by a server after which the connection is no longer used, since a request that
// crosses the server's close may have run.
constexpr double usedPartOfIdleTime = 0.6;

std::string requestText(const client_request &request)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.path);
    if (std::ranges::find(request.headers, "host", &header_list::value_type::first) == request.headers.end()) {
        text += fmt::format("Host: {}\r\n", request.address);
    }
    for (const auto &[name, value] : request.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!request.reuseConnection) {
        text += "Connection: close\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    return text + "\r\n";
}

// The idle time in a Keep-Alive header such as "timeout=5, max=100".
std::optional<std::chrono::seconds> announcedIdleTime(std::string_view keepAlive)
{
    constexpr std::string_view name = "timeout=";
    const auto start = keepAlive.find(name);
    unsigned seconds = 0;
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = keepAlive.substr(start + name.size());
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return failure == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

http_exchange::http_exchange(http_client &client, transport &owner, client_id id, client_request request,
                             exchange_handlers handlers)
    : m_client(client)
    , m_id(id)
    , m_request(std::move(request))
    , m_handlers(std::move(handlers))
    , m_entry(client.m_account)
    , m_timeout(owner, [this] { onTimeout(); })
    , m_silence(owner, [this] { onSilence(); })
    , m_connecting(owner, [this] { finish(client_error::ConnectFailed); })
{
    resetParser();
    updateAccount();
    m_timeout.start(m_request.timeout);
}

void http_exchange::updateAccount()
{
    const auto unsent = m_link == nullptr ? 0 : m_link->heldBytes();
    m_entry.hold(held_kind::Control,
                 m_request.body.uncountedBytes() + m_input.size() + m_parser->body.capacity() + unsent);
}

void http_exchange::resetParser()
{
    m_parser = std::make_unique<message_parser<false>>();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(noLimit);
    m_parser->maxCollected = m_request.maxCollectedBytes;
    m_parser->eager(true);
    m_parser->skip(m_request.method == "HEAD");
    m_skipping = false;
}

void http_exchange::start(connection_ptr link)
{
    m_link = std::move(link);
    m_handedBefore = m_link->handedBytes();
    m_link->setEvents(this);
    restartSilence();
    if (m_link->isOpen()) {
        sendRequest();
    } else if (m_request.connectTimeout.count() > 0) {
        m_connecting.start(m_request.connectTimeout);
    }
}

void http_exchange::onOpen()
{
    m_connecting.stop();
    sendRequest();
}

void http_exchange::sendRequest()
{
    rope text(requestText(m_request));
    text.append(std::exchange(m_request.body, {}));
    m_requestBytes = text.size();
    m_link->sendRope(text);
    updateAccount();
}

void http_exchange::onReceived(std::string_view bytes)
{
    const auto alive = shared_from_this();
    restartSilence();
    m_input.append(bytes);
    parse();
    updateAccount();
}

void http_exchange::parse()
{
    while (m_link != nullptr && !m_input.empty() && !m_parser->is_done() && parseStep()) {
        if (m_link != nullptr && m_skipping && m_parser->is_done()) {
            resetParser();
        }
    }
    if (m_link != nullptr && !m_skipping && m_parser->is_done()) {
        complete();
    }
}

// Returns false when more input is needed or the exchange has failed.
bool http_exchange::parseStep()
{
    const bool hadHeader = m_parser->is_header_done();
    boost::beast::error_code failure;
    if (!hadHeader) {
        m_parser->eager(false); // Stops after the header, so that the status decides where the body goes.
    }
    const auto used = m_parser->put(boost::asio::const_buffer(m_input.data(), m_input.size()), failure);
    m_parser->eager(true);
    m_input.erase(0, used);
    passBody();
    const bool tooLong = failure == beast_http::error::need_more && m_input.size() > maxHeaderBytes;
    if (tooLong || (failure && failure != beast_http::error::need_more)) {
        finish(client_error::ConnectionLost);
        return false;
    }
    if (!hadHeader && m_parser->is_header_done() && !takeHead()) {
        finish(client_error::ConnectionLost);
        return false;
    }
    return used > 0;
}

// Returns false if the head is not one of a response to the request.
bool http_exchange::takeHead()
{
    const auto status = static_cast<unsigned>(m_parser->status);
    if (status < 100 || status == switchingProtocols || status >= firstUndefinedStatus) {
        return false; // The client never asks for another protocol.
    }
    if (status / 100 == 1) {
        return skipResponse(); // The final response follows.
    }
    bool toHandler = m_handlers.onChunk && m_parser->status / 100 == 2;
    if (m_handlers.onHead) {
        answer_head head{.status = static_cast<std::uint16_t>(m_parser->status), .headers = m_parser->headers};
        if (const auto length = m_parser->content_length(); length) {
            head.contentLength = *length;
        }
        head.endsWithConnection = m_parser->need_eof();
        if (m_handlers.onHead(head) == head_verdict::Skip) {
            return skipResponse();
        }
        toHandler = m_handlers.onChunk != nullptr;
    }
    if (toHandler) {
        m_parser->sink = [this](std::string_view part) {
            m_body += part;
        };
    }
    return true;
}

bool http_exchange::skipResponse()
{
    m_skipping = true;
    m_parser->sink = [](std::string_view) {
    };
    return ++m_skippedResponses <= maxSkippedResponses;
}

// Passes what one block of input held, since a call for each chunk would be slow if the server sends tiny ones.
void http_exchange::passBody()
{
    if (!m_body.empty()) {
        m_handlers.onChunk(std::exchange(m_body, {}));
    }
}

void http_exchange::complete()
{
    const bool reusable = m_request.reuseConnection && m_parser->keep_alive() && m_input.empty() && m_link->isOpen()
        && m_link->pending() == 0;
    if (reusable) {
        auto link = m_link;
        link->setEvents(nullptr);
        link->pauseReading(false);
        m_client.keep(m_request.address, std::move(link), idleTime());
    } else {
        m_link->close();
    }
    finish(client_error::None);
}

std::chrono::milliseconds http_exchange::idleTime() const
{
    const auto announced = announcedIdleTime(headerValue(m_parser->headers, "keep-alive"));
    if (!announced.has_value()) {
        return m_request.idleTime;
    }
    const auto usable = std::chrono::duration<double>(*announced) * usedPartOfIdleTime;
    return std::min(m_request.idleTime, std::chrono::duration_cast<std::chrono::milliseconds>(usable));
}

void http_exchange::onWritten()
{
    updateAccount();
    restartSilence();
}

void http_exchange::onClosed()
{
    const auto alive = shared_from_this();
    // A server that ends before it has read the request has most likely crashed: the end of the connection proves no
    // whole body then.
    if (m_parser->is_header_done() && !m_parser->is_done() && !m_skipping && m_link->endedByPeer() && isRequestSent()) {
        boost::beast::error_code failure;
        m_parser->put_eof(failure); // Completes a body that is delimited by the end of the connection.
        if (!failure && m_parser->is_done()) {
            complete();
            return;
        }
    }
    finish(bytesSent() ? client_error::ConnectionLost : client_error::ConnectFailed);
}

void http_exchange::onSilence()
{
    const bool connected = m_link != nullptr && m_link->isOpen();
    finish(connected ? client_error::Silent : client_error::ConnectFailed);
}

void http_exchange::onTimeout()
{
    finish(client_error::Timeout);
}

void http_exchange::fail(client_error reason)
{
    finish(reason);
}

void http_exchange::cancel()
{
    m_timeout.stop();
    m_silence.stop();
    m_connecting.stop();
    m_handlers.onResult = {};
    if (auto link = std::exchange(m_link, nullptr)) {
        link->close();
    }
}

void http_exchange::pause(bool paused)
{
    if (m_link != nullptr) {
        m_link->pauseReading(paused);
    }
}

void http_exchange::finish(client_error reason)
{
    if (!m_handlers.onResult) {
        return;
    }
    const auto alive = shared_from_this();
    client_result result;
    result.error = reason;
    result.bytesSent = bytesSent();
    result.status = static_cast<std::uint16_t>(m_parser->status);
    result.headers = std::move(m_parser->headers);
    result.body = std::move(m_parser->body);
    const auto handler = std::exchange(m_handlers.onResult, {});
    const auto link = std::exchange(m_link, nullptr);
    if (reason != client_error::None && link != nullptr) {
        link->close();
    }
    m_timeout.stop();
    m_silence.stop();
    m_connecting.stop();
    m_client.m_exchanges.erase(static_cast<std::uint64_t>(m_id));
    handler(std::move(result));
}

void http_exchange::restartSilence()
{
    if (m_request.silence.count() > 0 && m_handlers.onResult) {
        m_silence.start(m_request.silence);
    }
}

bool http_exchange::isRequestSent() const
{
    return m_link->handedBytes() - m_handedBefore >= m_requestBytes;
}

bool http_exchange::bytesSent() const
{
    return m_link != nullptr && m_link->handedBytes() > m_handedBefore;
}

idle_connection::idle_connection(http_client &client, transport &owner, std::string address, connection_ptr link,
                                 std::chrono::milliseconds idleTime)
    : m_client(client)
    , m_address(std::move(address))
    , m_link(std::move(link))
    , m_expiry(owner, [this] { discard(); })
{
    m_link->setEvents(this);
    m_expiry.start(idleTime);
}

connection_ptr idle_connection::take()
{
    if (m_link->hasUnread()) {
        m_link->close();
        return nullptr;
    }
    m_link->setEvents(nullptr);
    return std::move(m_link);
}

void idle_connection::onReceived(std::string_view /*bytes*/)
{
    discard(); // A byte without a request: the connection cannot be trusted any more.
}

void idle_connection::onClosed()
{
    m_client.forget(m_address, this);
}

void idle_connection::discard()
{
    m_link->close();
    m_client.forget(m_address, this);
}

http_client::http_client(transport &owner, memory_account &account, loop_counters &counters)
    : m_transport(owner)
    , m_account(account)
    , m_counters(counters)
{
}

client_id http_client::request(client_request request, exchange_handlers handlers)
{
    const client_id id{++m_lastId};
    ++m_counters.clientRequests;
    const std::string address = request.address;
    const bool reuse = request.reuseConnection;
    auto exchange = std::make_shared<http_exchange>(*this, m_transport, id, std::move(request), std::move(handlers));
    m_exchanges.emplace(static_cast<std::uint64_t>(id), exchange);
    begin(exchange, address, reuse);
    return id;
}

void http_client::begin(const std::shared_ptr<http_exchange> &exchange, const std::string &address, bool reuse)
{
    connection_ptr link = reuse ? takeIdle(address) : nullptr;
    if (link == nullptr) {
        link = m_transport.connect(address, exchange.get());
    }
    if (link != nullptr) {
        exchange->start(std::move(link));
        return;
    }
    m_transport.post([weak = std::weak_ptr(exchange)] {
        if (const auto self = weak.lock()) {
            self->fail(client_error::ConnectFailed);
        }
    });
}

void http_client::cancel(client_id id)
{
    if (const auto node = m_exchanges.extract(static_cast<std::uint64_t>(id))) {
        node.mapped()->cancel();
    }
}

void http_client::pause(client_id id, bool paused)
{
    if (const auto found = m_exchanges.find(static_cast<std::uint64_t>(id)); found != m_exchanges.end()) {
        found->second->pause(paused);
    }
}

connection_ptr http_client::takeIdle(const std::string &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    connection_ptr link;
    while (link == nullptr && !found->second.empty()) {
        link = found->second.back()->take();
        found->second.pop_back();
    }
    if (found->second.empty()) {
        m_idle.erase(found);
    }
    return link;
}

void http_client::keep(const std::string &address, connection_ptr link, std::chrono::milliseconds idleTime)
{
    auto &idle = m_idle[address];
    if (idle.size() >= maxIdlePerAddress) {
        link->close();
        return;
    }
    idle.push_back(std::make_unique<idle_connection>(*this, m_transport, address, std::move(link), idleTime));
}

void http_client::forget(const std::string &address, const idle_connection *which)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    std::erase_if(found->second, [which](const auto &entry) { return entry.get() == which; });
    if (found->second.empty()) {
        m_idle.erase(found);
    }
}

} // namespace jackdawpick::net::internal
