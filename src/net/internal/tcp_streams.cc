#include "net/internal/tcp_streams.h"

#include <optional>

namespace jackdawpick::net::internal
{

namespace
{

// A peer that falls further behind is cut off; the link is made anew.
constexpr std::size_t maxUnsentBytes = 64U << 20U;

} // namespace

tcp_stream::tcp_stream(tcp_streams &owner, stream_id id, std::shared_ptr<const tcp_handlers> handlers)
    : m_owner(owner)
    , m_id(id)
    , m_handlers(std::move(handlers))
    , m_entry(owner.m_account)
{
}

bool tcp_stream::isSilentIncoming() const
{
    return m_silentIncoming;
}

void tcp_stream::setIncoming()
{
    m_silentIncoming = true;
}

void tcp_stream::updateAccount()
{
    m_entry.hold(held_kind::Control, m_link->heldBytes());
}

void tcp_stream::onWritten()
{
    updateAccount();
}

void tcp_stream::start(connection_ptr link)
{
    m_link = std::move(link);
    m_link->setEvents(this);
}

void tcp_stream::send(std::string bytes)
{
    if (m_link == nullptr) {
        return;
    }
    m_owner.m_counters.tcpBytesOut += bytes.size();
    m_link->send(std::move(bytes));
    updateAccount();
    if (m_link->pending() > maxUnsentBytes) {
        m_owner.postLost(m_id);
    }
}

void tcp_stream::close()
{
    if (m_link != nullptr) {
        m_link->close();
    }
}

void tcp_stream::lost()
{
    close();
    onClosed();
}

void tcp_stream::onOpen()
{
    if (m_handlers->connected) {
        m_handlers->connected(m_id);
    }
}

void tcp_stream::onReceived(std::string_view bytes)
{
    const auto alive = m_owner.find(m_id);
    m_silentIncoming = false;
    m_owner.m_counters.tcpBytesIn += bytes.size();
    if (m_handlers->received) {
        m_handlers->received(m_id, bytes);
    }
}

void tcp_stream::onClosed()
{
    const auto node = m_owner.m_streams.extract(static_cast<std::uint64_t>(m_id));
    if (node && m_handlers->closed) {
        m_handlers->closed(m_id);
    }
}

tcp_streams::tcp_streams(transport &owner, memory_account &account, loop_counters &counters)
    : m_transport(owner)
    , m_account(account)
    , m_counters(counters)
{
}

std::uint16_t tcp_streams::listen(const listen_options &options, tcp_handlers handlers)
{
    auto shared = std::make_shared<const tcp_handlers>(std::move(handlers));
    const auto limit = options.maxConnections;
    const auto accept = [this, shared, limit](const connection_ptr &link) {
        if (m_streams.size() >= limit && !endSilentStream()) {
            link->close();
            return;
        }
        const auto stream = add(shared);
        stream->setIncoming();
        stream->start(link);
        static_cast<connection_events &>(*stream).onOpen();
    };
    return m_transport.listen(options.address, options.port, accept).port();
}

stream_id tcp_streams::connect(const std::string &address, tcp_handlers handlers)
{
    const auto stream = add(std::make_shared<const tcp_handlers>(std::move(handlers)));
    const stream_id id{m_lastId};
    if (auto link = m_transport.connect(address, stream.get())) {
        stream->start(std::move(link));
    } else {
        postLost(id);
    }
    return id;
}

void tcp_streams::send(stream_id id, std::string bytes)
{
    if (const auto stream = find(id)) {
        stream->send(std::move(bytes));
    }
}

void tcp_streams::close(stream_id id)
{
    if (const auto node = m_streams.extract(static_cast<std::uint64_t>(id))) {
        const auto stream = node.mapped();
        stream->close();
        // The stream may be inside one of its own callbacks.
        m_transport.post([stream] {});
    }
}

std::shared_ptr<tcp_stream> tcp_streams::add(std::shared_ptr<const tcp_handlers> handlers)
{
    const auto id = ++m_lastId;
    auto stream = std::make_shared<tcp_stream>(*this, stream_id{id}, std::move(handlers));
    m_streams.emplace(id, stream);
    return stream;
}

std::shared_ptr<tcp_stream> tcp_streams::find(stream_id id) const
{
    const auto found = m_streams.find(static_cast<std::uint64_t>(id));
    return found == m_streams.end() ? nullptr : found->second;
}

bool tcp_streams::endSilentStream()
{
    std::optional<std::uint64_t> oldest;
    for (const auto &[id, stream] : m_streams) {
        if (stream->isSilentIncoming() && id < oldest.value_or(id + 1)) {
            oldest = id;
        }
    }
    if (oldest.has_value()) {
        const auto stream = m_streams.at(*oldest); // Alive while it reports its end.
        stream->lost();
    }
    return oldest.has_value();
}

void tcp_streams::postLost(stream_id id)
{
    m_transport.post([this, id] {
        if (const auto stream = find(id)) {
            stream->lost();
        }
    });
}

} // namespace jackdawpick::net::internal
