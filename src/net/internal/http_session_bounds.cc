// What sessions hold, and how they are kept within bounds.

#include "logging/logging.h"
#include "net/internal/http_server.h"

namespace jackdawpick::net::internal
{

namespace
{

// Requests that a client sends ahead of its answers. Beyond, nothing is read from it until they are answered.
constexpr std::size_t maxPipelinedBytes = 16384;
// While more of its answers is not taken by a client, no further request is read from it.
constexpr std::size_t maxUnreadBeforeRequest = 65536;
// Room that a connection keeps for the next request. More is given back, since there are thousands of connections.
constexpr std::size_t keptInputBytes = 4096;

} // namespace

void http_session::giveWay(scarce_resource resource)
{
    const auto alive = shared_from_this();
    const bool memory = resource == scarce_resource::Memory;
    const auto reason = memory ? turn_away_reason::Memory : turn_away_reason::Connections;
    // A refusal needs the connection for a while, and it would stand behind answers that are not read.
    if (memory && m_phase == phase::Reading && m_link->pending() == 0) {
        refuse(reason, result_code::TooManyConnections, "this daemon has no memory left for the request");
        return;
    }
    noteTurnedAway(reason);
    drop();
}

bool http_session::isBehind() const
{
    const bool unread = m_phase == phase::Reading && m_link->pending() > maxUnreadBeforeRequest;
    return unread || (m_phase == phase::Answering && m_input.size() > maxPipelinedBytes);
}

void http_session::pauseIfBehind()
{
    if (!m_paused && isBehind()) {
        m_paused = true;
        m_readTimer.stop(); // The client is waited for as long as it takes its answers.
        m_link->pauseReading(true);
    }
}

void http_session::resumeIfTaken()
{
    if (!m_paused || isBehind() || m_phase != phase::Reading) {
        return;
    }
    m_paused = false;
    m_link->pauseReading(false);
    if (m_input.empty()) {
        awaitRequest();
    } else {
        parseSoon();
    }
}

// Waits for the first byte of the next request.
void http_session::awaitRequest()
{
    m_started = false;
    m_readTimer.start(m_server.m_options.keepAliveTimeout);
}

// Parses the input that is there. Not at once, so that a client with many requests leaves time to the others.
void http_session::parseSoon()
{
    start();
    m_transport.post([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self != nullptr && !self->m_paused) {
            self->parse();
            self->settleAccount();
        }
    });
}

void http_session::updateAccount()
{
    if (!m_entry.has_value()) {
        return;
    }
    if (m_input.empty() && m_input.capacity() > keptInputBytes) {
        std::string().swap(m_input);
    }
    m_entry->hold(held_kind::Input, m_input.empty() ? 0 : m_input.capacity());
    m_entry->hold(held_kind::Head, m_servedHeadBytes + (m_parser ? m_parser->headBytes() : 0));
    m_entry->hold(held_kind::Body, m_servedBodyBytes + (m_parser ? m_parser->body.capacity() : 0));
    m_entry->hold(held_kind::Response, m_link->pending());
}

void http_session::settleAccount()
{
    updateAccount();
    if (m_server.m_account.isFull()) {
        m_server.m_account.relieve(time_point::clock::now());
    }
}

// A connection that gives way reports to its handler, which may be the one that writes now.
void http_session::relieveSoon()
{
    updateAccount();
    if (m_server.m_account.isFull()) {
        m_transport.post([&account = m_server.m_account] { account.relieve(time_point::clock::now()); });
    }
}

void http_session::noteTurnedAway(turn_away_reason reason)
{
    if (!m_entry.has_value() || std::exchange(m_turnedAway, true)) {
        return;
    }
    const auto now = time_point::clock::now();
    m_server.m_account.countTurnedAway(reason);
    if (const auto omitted = m_server.m_turnAwayLog.nextLine(now); omitted.has_value()) {
        logging::write(log_level::Warning, "client_turned_away",
                       {{"reason", net::nameOf(reason)},
                        {"port", m_server.m_port},
                        {"phase", nameOf(m_phase)},
                        {"request_open", m_request != 0},
                        {"held_bytes", m_entry->heldBytes()},
                        {"unread_bytes", m_link->pending()},
                        {"stalled_ms", millisecondsBetween({}, time_point(m_entry->stalledFor(now))).count()},
                        {"held_by_all", m_server.m_account.heldBytes()},
                        {"connections", m_server.m_account.usage().connections},
                        {"omitted", *omitted}});
    }
}

std::optional<std::uint64_t> turn_away_log::nextLine(time_point now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_lines = 0;
    }
    if (++m_lines > maxLinesPerSecond) {
        ++m_omitted;
        return std::nullopt;
    }
    return std::exchange(m_omitted, 0);
}

} // namespace jackdawpick::net::internal
