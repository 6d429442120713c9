#pragma once

// The client side of HTTP/1.1: one exchange per request, idle connections kept for requests that allow reuse.

#include "net/internal/memory_account.h"
#include "net/internal/message_parser.h"
#include "net/internal/transport.h"
#include "net/net.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace jackdawpick::net::internal
{

class http_client;

struct exchange_handlers
{
    result_handler onResult;
    chunk_handler onChunk;
    head_handler onHead;
};

class http_exchange final : public connection_events, public std::enable_shared_from_this<http_exchange>
{
public:
    http_exchange(http_client &client, transport &owner, client_id id, client_request request,
                  exchange_handlers handlers);

    void start(connection_ptr link);
    void fail(client_error reason);
    void cancel();
    void pause(bool paused);

private:
    void onOpen() override;
    void onReceived(std::string_view bytes) override;
    void onWritten() override;
    void onClosed() override;
    void onSilence();
    void onTimeout();
    void sendRequest();
    void resetParser();
    void parse();
    bool parseStep();
    bool takeHead();
    bool skipResponse();
    void passBody();
    void complete();
    [[nodiscard]] std::chrono::milliseconds idleTime() const;
    void finish(client_error reason);
    void restartSilence();
    void updateAccount();
    [[nodiscard]] bool bytesSent() const;
    [[nodiscard]] bool isRequestSent() const; // The kernel has taken the whole request.

    http_client &m_client;
    client_id m_id;
    client_request m_request;
    exchange_handlers m_handlers;
    account_entry m_entry;
    connection_ptr m_link;
    std::uint64_t m_handedBefore = 0; // By earlier exchanges on the same connection.
    std::uint64_t m_requestBytes = 0; // Head and body, once they are queued.
    std::unique_ptr<message_parser<false>> m_parser;
    bool m_skipping = false; // The answer being read belongs to another request.
    unsigned m_skippedResponses = 0;
    std::string m_input;
    std::string m_body; // Parsed and not yet passed to the handler.
    timer m_timeout;
    timer m_silence;
    timer m_connecting;
};

// A connection that waits for its next exchange.
class idle_connection final : public connection_events
{
public:
    idle_connection(http_client &client, transport &owner, std::string address, connection_ptr link,
                    std::chrono::milliseconds idleTime);
    // Null if the peer has sent bytes or has closed the connection; it must not be used then.
    connection_ptr take();

private:
    void onReceived(std::string_view bytes) override;
    void onClosed() override;
    void discard();

    http_client &m_client;
    std::string m_address;
    connection_ptr m_link;
    timer m_expiry;
};

class http_client
{
public:
    http_client(transport &owner, memory_account &account, loop_counters &counters);

    client_id request(client_request request, exchange_handlers handlers);
    void cancel(client_id id);
    void pause(client_id id, bool paused);

private:
    friend class http_exchange;
    friend class idle_connection;
    void begin(const std::shared_ptr<http_exchange> &exchange, const std::string &address, bool reuse);
    connection_ptr takeIdle(const std::string &address);
    void keep(const std::string &address, connection_ptr link, std::chrono::milliseconds idleTime);
    void forget(const std::string &address, const idle_connection *which);

    transport &m_transport;
    memory_account &m_account;
    loop_counters &m_counters;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<http_exchange>> m_exchanges;
    std::map<std::string, std::vector<std::unique_ptr<idle_connection>>, std::less<>> m_idle;
};

} // namespace jackdawpick::net::internal
