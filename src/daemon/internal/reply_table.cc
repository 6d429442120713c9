#include "daemon/internal/reply_table.h"

#include "caller_api/caller_api.h"

#include <fmt/format.h>

namespace jackdawpick
{

namespace
{

net::http_head responseHead(std::uint16_t status, std::chrono::milliseconds retryAfter)
{
    net::http_head head;
    head.status = status;
    if (retryAfter.count() > 0) {
        head.headers.emplace_back("Retry-After",
                                  fmt::format("{}", std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
    }
    return head;
}

} // namespace

void respondRefusal(net::loop &loop, net::request_id id, const refusal &reason)
{
    loop.respond(id, responseHead(describe(reason.code).httpStatus, reason.retryAfter), refusalJson(reason));
}

reply_table::reply_table(net::loop &loop, peer_sender sendToPeer)
    : m_loop(loop)
    , m_sendToPeer(std::move(sendToPeer))
{
}

request_handle reply_table::openHttp(net::request_id id, const std::string &requestId, bool streams)
{
    waiting_client client;
    client.http = id;
    client.requestId = requestId;
    client.streams = streams;
    const auto handle = add(std::move(client));
    m_byHttp[static_cast<std::uint64_t>(id)] = handle;
    return handle;
}

request_handle reply_table::openPeer(const std::string &peer, std::uint64_t id, bool streams)
{
    waiting_client client;
    client.peer = peer;
    client.forwardId = id;
    client.streams = streams;
    const auto handle = add(std::move(client));
    m_byPeer[{peer, id}] = handle;
    return handle;
}

request_handle reply_table::add(waiting_client client)
{
    m_clients.emplace(++m_lastHandle, std::move(client));
    return request_handle{m_lastHandle};
}

void reply_table::erase(request_handle handle)
{
    const auto node = m_clients.extract(static_cast<std::uint64_t>(handle));
    if (node && node.mapped().http) {
        m_byHttp.erase(static_cast<std::uint64_t>(*node.mapped().http));
    } else if (node) {
        m_byPeer.erase({node.mapped().peer, node.mapped().forwardId});
    }
}

reply_table::waiting_client *reply_table::find(request_handle handle)
{
    const auto found = m_clients.find(static_cast<std::uint64_t>(handle));
    return found == m_clients.end() ? nullptr : &found->second;
}

std::optional<request_handle> reply_table::dropHttp(net::request_id id)
{
    const auto found = m_byHttp.find(static_cast<std::uint64_t>(id));
    if (found == m_byHttp.end()) {
        return std::nullopt;
    }
    const auto handle = found->second;
    erase(handle);
    return handle;
}

std::optional<request_handle> reply_table::dropPeer(const std::string &peer, std::uint64_t id)
{
    const auto found = m_byPeer.find({peer, id});
    if (found == m_byPeer.end()) {
        return std::nullopt;
    }
    const auto handle = found->second;
    erase(handle);
    return handle;
}

std::vector<request_handle> reply_table::dropPeerLink(const std::string &peer)
{
    std::vector<request_handle> handles;
    for (auto entry = m_byPeer.lower_bound({peer, 0}); entry != m_byPeer.end() && entry->first.first == peer; ++entry) {
        handles.push_back(entry->second);
    }
    for (const auto handle : handles) {
        erase(handle);
    }
    return handles;
}

void reply_table::beginStream(waiting_client &client)
{
    if (!client.streamStarted) {
        client.streamStarted = true;
        m_loop.beginStream(*client.http, {.status = 200, .contentType = "text/event-stream"});
    }
}

void reply_table::endStream(const waiting_client &client, const std::string &lastEvents)
{
    m_loop.writeStream(*client.http, lastEvents);
    m_loop.endStream(*client.http);
}

void reply_table::respond(const waiting_client &client, std::uint16_t status, std::chrono::milliseconds retryAfter,
                          const std::string &json)
{
    if (client.http) {
        m_loop.respond(*client.http, responseHead(status, retryAfter), json);
    } else {
        m_sendToPeer(client.peer,
                     forward_end{.id = client.forwardId,
                                 .httpStatus = status,
                                 .retryAfterMs = static_cast<std::uint32_t>(retryAfter.count()),
                                 .body = json});
    }
}

void reply_table::apply(const stream_text &chunk)
{
    auto *client = find(chunk.request);
    if (client == nullptr || !client->streams) {
        return; // A client that does not stream gets the complete text with the response.
    }
    if (!client->http) {
        m_sendToPeer(client->peer, forward_chunk{.id = client->forwardId, .text = chunk.text});
        return;
    }
    beginStream(*client);
    m_loop.writeStream(*client->http, streamEvent(client->requestId, chunk.text));
}

void reply_table::apply(const finish_call &finished)
{
    auto *client = find(finished.request);
    if (client == nullptr) {
        return;
    }
    if (client->http && client->streams) {
        beginStream(*client);
        endStream(*client, streamEnd(finished));
    } else {
        respond(*client, describe(result_code::Ok).httpStatus, {}, responseJson(finished));
    }
    erase(finished.request);
}

void reply_table::apply(const refuse_call &refused)
{
    const auto *client = find(refused.request);
    if (client == nullptr) {
        return;
    }
    if (client->streamStarted) {
        endStream(*client, streamRefusal(refused.reason));
    } else {
        respond(*client, describe(refused.reason.code).httpStatus, refused.reason.retryAfter,
                refusalJson(refused.reason));
    }
    erase(refused.request);
}

// Also used for the response of a call that another daemon ran.
void reply_table::apply(const answer_query &answer)
{
    auto *client = find(answer.request);
    if (client == nullptr) {
        return;
    }
    const bool failed = answer.httpStatus / 100 != 2;
    if (client->http && client->streams && (client->streamStarted || !failed)) {
        beginStream(*client);
        endStream(*client,
                  failed ? fmt::format("data: {}\n\ndata: [DONE]\n\n", answer.json) : streamEndFromJson(answer.json));
    } else {
        respond(*client, answer.httpStatus, retryAfterFromJson(answer.json), answer.json);
    }
    erase(answer.request);
}

std::size_t reply_table::size() const
{
    return m_clients.size();
}

} // namespace jackdawpick
