#include "core/internal/state.h"

#include <algorithm>

namespace jackdawpick
{

namespace
{

// Extra time for the owner to answer after the deadline of the call; after that its link is considered lost.
constexpr std::chrono::milliseconds forwardGrace{2000};
// A daemon may stop being suspected without any record in the log, so the choice of shards is also repeated
// periodically.
constexpr std::chrono::milliseconds shardChoiceInterval{2000};

std::vector<std::string> namesOf(const std::vector<member_identity> &peers)
{
    std::vector<std::string> names;
    std::ranges::transform(peers, std::back_inserter(names),
                           [](const member_identity &peer) { return peer.daemon.name; });
    return names;
}

} // namespace

// ---- Forwarded calls ----

bool core::implementation::forward(const call_arrived &received, const shard_owner &owner)
{
    const bool reachable =
        !owner.released && owner.daemon.name != options.self.daemon.name && !members.isSuspect(owner.daemon.name, now);
    if (!reachable || owner.peerAddress.empty()) {
        return false;
    }
    const std::uint64_t id = ++lastForward;
    ++counters.callsForwarded;
    const auto allowed = received.call.deadline.value_or(configurations.current().limits.callDeadline);
    forwardedCalls[id] = {
        .request = received.request, .peer = owner.daemon.name, .deadline = now + allowed + forwardGrace};
    forwardByRequest[received.request] = id;
    emit(send_to_peer{.peer = owner.daemon.name,
                      .address = owner.peerAddress,
                      .message = forward_call{.id = id,
                                              .path = received.call.path,
                                              .body = received.call.body ? *received.call.body : std::string{}}});
    return true;
}

void core::implementation::on(const forward_chunk &message, const std::string &peer)
{
    const auto found = forwardedCalls.find(message.id);
    if (found == forwardedCalls.end() || found->second.peer != peer) {
        ++counters.lateAnswers;
        return;
    }
    emit(stream_text{found->second.request, message.text});
}

void core::implementation::on(const forward_end &message, const std::string &peer)
{
    const auto found = forwardedCalls.find(message.id);
    if (found == forwardedCalls.end() || found->second.peer != peer) {
        ++counters.lateAnswers;
        return;
    }
    emit(answer_query{.request = found->second.request, .httpStatus = message.httpStatus, .json = message.body});
    forwardByRequest.erase(found->second.request);
    forwardedCalls.erase(found);
}

void core::implementation::on(peer_link_changed &received)
{
    if (received.connected) {
        return;
    }
    members.onLinkLost(received.peer, now);
    std::erase_if(forwardedCalls, [&](const auto &entry) {
        const auto &call = entry.second;
        if (call.peer != received.peer) {
            return false;
        }
        forwardByRequest.erase(call.request);
        refuseRequest(call.request,
                      {.code = result_code::OwnershipLost,
                       .message = "lost the connection to the program's owner",
                       .retryAfter = {}});
        return true;
    });
}

void core::implementation::expireForwardedCalls()
{
    std::erase_if(forwardedCalls, [this](const auto &entry) {
        const auto &[id, call] = entry;
        if (now < call.deadline && !members.isSuspect(call.peer, now)) {
            return false;
        }
        emit(send_to_peer{.peer = call.peer, .address = {}, .message = forward_cancel{id}});
        forwardByRequest.erase(call.request);
        refuseRequest(
            call.request,
            {.code = result_code::OwnershipLost, .message = "the program's owner does not respond", .retryAfter = {}});
        return true;
    });
}

// ---- Notices ----

void core::implementation::on(peer_message_received &received)
{
    std::visit(
        [&](const auto &message) {
            using message_type = std::decay_t<decltype(message)>;
            // The I/O layer converts hello, forward_call and forward_cancel to other events.
            if constexpr (
                !std::is_same_v<
                    message_type,
                    hello> && !std::is_same_v<message_type, forward_call> && !std::is_same_v<message_type, forward_cancel>) {
                on(message, received.peer);
            }
        },
        received.message);
}

void core::implementation::on(const heartbeat &message, const std::string &)
{
    members.onHeartbeat(message, now);
    if (message.configurationVersion > configurations.version()) {
        configurationStream.requestRead();
    }
}

void core::implementation::on(const quarantine_notice &message, const std::string &)
{
    endpoints.addQuarantine(message.content, now);
}

void core::implementation::on(const leaving_notice &message, const std::string &)
{
    endpoints.markLeaving(message.endpoint, now);
}

void core::implementation::on(const configuration_hint &message, const std::string &)
{
    if (message.version > configurations.version()) {
        configurationStream.requestRead();
    }
}

void core::implementation::notifyPeers(const peer_message &message, const std::vector<member_identity> &peers)
{
    for (const auto &peer : peers) {
        if (peer.daemon.name != options.self.daemon.name) {
            emit(send_to_peer{.peer = peer.daemon.name, .address = peer.peerAddress, .message = message});
        }
    }
}

void core::implementation::onEndpointLeaving(const std::string &endpoint)
{
    if (endpoints.markLeaving(endpoint, now)) {
        log(log_level::Info, "endpoint_leaving", {{"endpoint", endpoint}});
        notifyPeers(leaving_notice{endpoint}, members.neighbours());
    }
}

// Notifies all daemons, not only the neighbours: the caller may send the request again to any of them. This is rare.
void core::implementation::onQuarantined(const std::vector<digest> &contents)
{
    for (const auto content : contents) {
        log(log_level::Warning, "request_quarantined", {{"digest", fmt::format("{:016x}", content)}});
        notifyPeers(quarantine_notice{content}, members.liveDaemons(now));
    }
}

// ---- Membership and drain ----

void core::implementation::maintainMembership()
{
    const auto peers = members.neighbours();
    if (namesOf(peers) != namesOf(linkedPeers)) {
        linkedPeers = peers;
        emit(retain_peer_links{peers});
    }
    for (const auto &heartbeatMessage : members.dueHeartbeats(configurations.version(), now)) {
        notifyPeers(heartbeatMessage, peers);
    }
    if (ownershipEstablished && !drain) {
        maintainShards();
    }
}

void core::implementation::maintainShards()
{
    auto live = members.liveDaemons(now);
    const auto sameDaemon = [](const member_identity &a, const member_identity &b) {
        return a.daemon == b.daemon;
    };
    const bool unchanged = shardChoicePosition == ownershipStream.readPosition()
        && std::ranges::equal(live, shardChoiceMembers, sameDaemon);
    if (unchanged && now < nextShardChoice) {
        return;
    }
    const auto daemons = std::max<std::size_t>(live.size(), 1);
    journal.setMinAppendInterval(std::chrono::milliseconds(1000 * daemons / std::max(options.logAppendsPerSecond, 1U)));
    shardChoiceMembers = std::move(live);
    shardChoicePosition = ownershipStream.readPosition();
    nextShardChoice = now + shardChoiceInterval;

    std::vector<shard_claim_view> claims;
    claims.reserve(shardCount);
    for (shard_index shard = 0; shard < shardCount; ++shard) {
        const auto *owner = owners.ownerOf(shard);
        claims.push_back(owner == nullptr
                             ? shard_claim_view{.shard = shard, .owner = {}}
                             : shard_claim_view{shard, owner->daemon.name, owner->daemon.incarnation, owner->released});
    }
    owners.setWantedShards(members.shardsToClaim(claims, now), now);
    releaseIdleShards(members.shardsToRelease(claims, now));
}

// Releases the shards that have no call in flight; the others are released once their calls have ended. Settle records
// must reach the journal before the release reaches the ownership stream.
void core::implementation::releaseIdleShards(std::vector<shard_index> shards)
{
    std::erase_if(shards,
                  [this](shard_index shard) { return programs.hasCallInFlight(shard) || !owners.serves(shard); });
    if (shards.empty() || journal.unconfirmedRecords() > 0) {
        return;
    }
    std::ranges::for_each(shards, [this](shard_index shard) { stopServingShard(shard); });
    owners.releaseShards(shards, now);
}

// Hands over shards as soon as none of their calls is in flight. The process may exit once all calls have ended and all
// shards are released, or when the drain timeout has passed.
void core::implementation::advanceDrain()
{
    if (!drain || drainReported) {
        return;
    }
    const auto served = owners.servedShards();
    releaseIdleShards({served.begin(), served.end()});
    const bool done = calls.empty() && forwardedCalls.empty() && owners.servedShards().empty()
        && ownershipStream.unconfirmedRecords() == 0 && journal.unconfirmedRecords() == 0;
    if (done || now >= drainDeadline) {
        drainReported = true;
        log(done ? log_level::Info : log_level::Warning, "drain_finished",
            {{"complete", done}, {"calls", calls.size()}});
        emit(drained{});
    }
}

} // namespace jackdawpick
