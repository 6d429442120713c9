#pragma once

// Raw TCP connections by id.

#include "net/internal/memory_account.h"
#include "net/internal/transport.h"
#include "net/net.h"

#include <unordered_map>

namespace jackdawpick::net::internal
{

class tcp_streams;

class tcp_stream final : public connection_events
{
public:
    tcp_stream(tcp_streams &owner, stream_id id, std::shared_ptr<const tcp_handlers> handlers);

    void start(connection_ptr link);
    void send(std::string bytes);
    void close();
    // Ends the stream and reports it.
    void lost();
    // Accepted, and nothing was received from it yet.
    [[nodiscard]] bool isSilentIncoming() const;
    void setIncoming();

private:
    void onOpen() override;
    void onReceived(std::string_view bytes) override;
    void onWritten() override;
    void onClosed() override;
    void updateAccount();

    tcp_streams &m_owner;
    stream_id m_id;
    std::shared_ptr<const tcp_handlers> m_handlers;
    account_entry m_entry;
    connection_ptr m_link;
    bool m_silentIncoming = false;
};

class tcp_streams
{
public:
    tcp_streams(transport &owner, memory_account &account, loop_counters &counters);

    std::uint16_t listen(const listen_options &options, tcp_handlers handlers);
    stream_id connect(const std::string &address, tcp_handlers handlers);
    void send(stream_id id, std::string bytes);
    void close(stream_id id);

private:
    friend class tcp_stream;
    std::shared_ptr<tcp_stream> add(std::shared_ptr<const tcp_handlers> handlers);
    [[nodiscard]] std::shared_ptr<tcp_stream> find(stream_id id) const;
    void postLost(stream_id id);
    // Ends the oldest stream that was accepted and has sent nothing. Returns false if there is none.
    bool endSilentStream();

    transport &m_transport;
    memory_account &m_account;
    loop_counters &m_counters;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<tcp_stream>> m_streams;
};

} // namespace jackdawpick::net::internal
