#pragma once

// Who waits for which answer: HTTP clients and daemons that forwarded a call. Turns the reducer's answers into bytes.

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

    reply_table(net::loop &loop, peer_sender toPeer);

    // `streams`: the client asked for server-sent events.
    request_handle openHttp(net::request_id id, const std::string &requestId, bool streams);
    request_handle openPeer(const std::string &peer, std::uint64_t id, bool streams);

    // Forget clients that are gone; the handles are for the reducer.
    std::optional<request_handle> dropHttp(net::request_id id);
    std::optional<request_handle> dropPeer(const std::string &peer, std::uint64_t id);
    std::vector<request_handle> dropPeerLink(const std::string &peer);

    // Each ignores handles of clients that are gone.
    void apply(const stream_text &what);
    void apply(const finish_call &what);
    void apply(const refuse_call &what);
    void apply(const answer_query &what);

    [[nodiscard]] std::size_t size() const;

private:
    struct waiting_client
    {
        std::optional<net::request_id> http;
        std::string peer; // With `forwardId`, where the call came from another daemon.
        std::uint64_t forwardId = 0;
        std::string requestId;
        bool streams = false;
        bool begun = false;
    };

    request_handle add(waiting_client client);
    void erase(request_handle handle);
    waiting_client *find(request_handle handle);
    void beginStream(waiting_client &client);
    void endStream(const waiting_client &client, const std::string &lastEvents);
    void respond(const waiting_client &client, std::uint16_t status, std::chrono::milliseconds retryAfter,
                 const std::string &json);

    net::loop &m_loop;
    peer_sender m_toPeer;
    std::uint64_t m_lastHandle = 0;
    std::unordered_map<std::uint64_t, waiting_client> m_clients;
    std::unordered_map<std::uint64_t, request_handle> m_byHttp;
    std::map<std::pair<std::string, std::uint64_t>, request_handle> m_byPeer;
};

// Answers an HTTP request at once with a refusal.
void respondRefusal(net::loop &loop, net::request_id id, const refusal &reason);

} // namespace jackdawpick
