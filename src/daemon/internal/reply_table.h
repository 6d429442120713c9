#pragma once

// The clients that wait for a response: HTTP clients, and daemons that forwarded a call. Writes the reducer's responses
// to them.

#include "core/events.h"
#include "net/net.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace jackdawpick
{

class reply_table
{
public:
    using peer_sender = std::function<void(const std::string &peer, peer_message message)>;

    reply_table(net::loop &loop, peer_sender sendToPeer);

    // `streams`: the client asked for server-sent events.
    request_handle openHttp(net::request_id id, const std::string &requestId, bool streams);
    request_handle openPeer(const std::string &peer, std::uint64_t id, bool streams);

    // Remove clients whose connection was closed or whose call was cancelled. Return the handles by which the reducer
    // knows them.
    std::optional<request_handle> dropHttp(net::request_id id);
    std::optional<request_handle> dropPeer(const std::string &peer, std::uint64_t id);
    std::vector<request_handle> dropPeerLink(const std::string &peer);

    // Handles of removed clients are ignored.
    void apply(const stream_text &chunk);
    void apply(const finish_call &finished);
    void apply(const refuse_call &refused);
    void apply(const answer_query &answer);

    [[nodiscard]] std::size_t size() const;

private:
    struct waiting_client
    {
        std::optional<net::request_id> http;
        std::string peer; // The daemon that forwarded the call as `forwardId`; empty for HTTP clients.
        std::uint64_t forwardId = 0;
        std::string requestId;
        bool streams = false;
        bool streamStarted = false;
    };

    request_handle add(waiting_client client);
    void erase(request_handle handle);
    waiting_client *find(request_handle handle);
    void beginStream(waiting_client &client);
    void endStream(const waiting_client &client, const std::string &lastEvents);
    void respond(const waiting_client &client, std::uint16_t status, std::chrono::milliseconds retryAfter,
                 const std::string &json);

    net::loop &m_loop;
    peer_sender m_sendToPeer;
    std::uint64_t m_lastHandle = 0;
    std::unordered_map<std::uint64_t, waiting_client> m_clients;
    std::unordered_map<std::uint64_t, request_handle> m_byHttp;
    std::map<std::pair<std::string, std::uint64_t>, request_handle> m_byPeer;
};

// Responds to an HTTP request with a refusal, without an entry in the table.
void respondRefusal(net::loop &loop, net::request_id id, const refusal &reason);

} // namespace jackdawpick
