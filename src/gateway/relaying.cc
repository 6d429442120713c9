// Paths to the endpoints, and requests that go through a peer because this daemon has none. Only the dispatch is
// relayed: the daemon that serves the caller keeps the decisions, so that a request is sent once more only by it.

#include "gateway/internal/implementation.h"

#include <algorithm>

namespace jackdawpick::gateway
{

namespace
{

using std::chrono::milliseconds;

// Requests of peers that a daemon sends at the same time.
constexpr std::size_t maxRelayedRequests = 128;
// Longer requests are not relayed: a link takes messages of 16 MB, and each holds its body several times on its way.
constexpr std::size_t maxRelayedBodyBytes = 8U << 20U;
// A response beyond this size is not relayed: the peer may take it more slowly than the endpoint sends it.
constexpr std::size_t maxRelayedResponseBytes = 4U << 20U;
constexpr milliseconds silenceCheckInterval{100};

} // namespace

// ---- Paths to the endpoints ----

void gateway::implementation::noteResponse(request_context &context, time_point now)
{
    context.heardFromEndpoint = true;
    if (!context.relay.has_value()) {
        m_lastHeardAt = now;
    }
}

// Whether several endpoints have open requests of this daemon and nothing was received from any endpoint for a while.
bool gateway::implementation::isSilent(time_point now) const
{
    constexpr auto silence = reachability::path_monitor::silenceUntilProbe;
    if (m_dispatches.size() < reachability::path_monitor::silentEndpointsUntilProbe || now - m_lastHeardAt < silence) {
        return false;
    }
    std::set<std::string_view> silent;
    for (const auto &[dispatch, caller] : m_dispatches) {
        const auto &context = m_requests.at(caller);
        if (!context.relay.has_value() && !context.heardFromEndpoint && now - context.dispatchedAt >= silence) {
            silent.insert(context.endpoint);
        }
    }
    return silent.size() >= reachability::path_monitor::silentEndpointsUntilProbe;
}

void gateway::implementation::checkPaths(time_point now)
{
    if (m_silenceCheckAt <= now) {
        m_silenceCheckAt = now + silenceCheckInterval;
        if (isSilent(now)) {
            m_paths.onSilence(now);
        }
    }
    if (!m_paths.isProbeDue(now)) {
        return;
    }
    const auto addresses = m_pool.sampleAddresses(reachability::path_monitor::probesPerRound, random(), now);
    m_paths.beginProbes(addresses.size(), now);
    for (const auto &address : addresses) {
        m_effects.emplace_back(probe_endpoint{probe_id{++m_lastProbe}, address});
    }
}

void gateway::implementation::on(const probe_finished &received, time_point now)
{
    if (const auto node = m_verifications.extract(received.probe)) {
        onEndpointVerified(node.mapped(), received.reached, now);
        return;
    }
    const auto change = m_paths.onProbeFinished(received.reached, now);
    if (change == reachability::path_change::None) {
        return;
    }
    const bool lost = change == reachability::path_change::Lost;
    const auto relays = std::ranges::count_if(m_peers.ready(now), &internal::peer_table::ready_peer::relays);
    log(lost ? log_level::Warning : log_level::Info, lost ? "endpoints_lost" : "endpoints_regained",
        {{"endpoints", m_pool.size()},
         {"last_heard_ms", millisecondsBetween(m_lastHeardAt, now).count()},
         {"relays", relays}});
    m_pool.forgetFailures();
    requestHeartbeat(internal::peer_table::urgency::Soon);
    if (lost) {
        repeatUnanswered(now);
    }
}

// Sends the requests that may run more than once through a peer, if nothing was received for them. All others keep
// waiting: their endpoints may have run them, and the paths may be back before their deadline.
void gateway::implementation::repeatUnanswered(time_point now)
{
    std::vector<caller_id> callers;
    for (const auto &[dispatch, caller] : m_dispatches) {
        const auto &context = m_requests.at(caller);
        const bool isOpenHere = !context.relay.has_value() && !context.heardFromEndpoint;
        // The failure that is still to be counted uses up one attempt.
        if (isOpenHere && canRetry(context, now) && context.attempts + 1 < context.route->maxAttempts) {
            callers.push_back(caller);
        }
    }
    for (const auto caller : callers) {
        auto &context = m_requests.at(caller);
        cancelDispatch(context);
        onDispatchFailed(context, dispatch_outcome::Lost, failure_site::Path, now);
    }
}

// ---- At the daemon that serves the caller ----

bool gateway::implementation::needsRelay(const request_context &context) const
{
    return m_paths.isCutOff() || context.unsentDirectly;
}

// Prefers peers in the zone of this daemon or of the endpoint, since bytes between zones are priced.
std::optional<gateway::implementation::relay_choice>
gateway::implementation::chooseRelay(const request_context &context, const std::string &zone, time_point now) const
{
    if (context.history.size() + context.input.size() > maxRelayedBodyBytes) {
        return std::nullopt;
    }
    auto peers = m_peers.ready(now);
    std::erase_if(peers, [&](const auto &peer) {
        return !peer.relays || !peer.link.has_value() || context.refusingPeers.contains(peer.name)
            || (context.tenant != nullptr && !peer.knowsTenants);
    });
    const auto endOfNear = std::stable_partition(peers.begin(), peers.end(), [&](const auto &peer) {
        return peer.zone == m_options.self.zone || peer.zone == zone;
    });
    if (endOfNear != peers.begin()) {
        peers.erase(endOfNear, peers.end());
    }
    if (peers.empty()) {
        return std::nullopt;
    }
    const auto &chosen = peers[static_cast<std::size_t>(random() * static_cast<double>(peers.size()))];
    return relay_choice{.peer = chosen.name, .link = *chosen.link};
}

void gateway::implementation::cancelDispatch(const request_context &context)
{
    if (context.relay.has_value()) {
        m_effects.emplace_back(
            send_message{*context.relay, peers::relayed_cancel{static_cast<std::uint64_t>(*context.dispatch)}});
    } else {
        m_effects.emplace_back(cancel_dispatch{*context.dispatch});
    }
}

internal::request_context *gateway::implementation::relayedRequest(link_id link, std::uint64_t id)
{
    const auto found = m_dispatches.find(dispatch_id{id});
    auto *context = found == m_dispatches.end() ? nullptr : findRequest(found->second);
    return context != nullptr && context->relay == link ? context : nullptr;
}

void gateway::implementation::on(link_id link, const peers::relayed_head &message, time_point now)
{
    if (relayedRequest(link, message.id) != nullptr) {
        response_head received{dispatch_id{message.id}, message.head};
        on(received, now);
    }
}

void gateway::implementation::on(link_id link, const peers::relayed_chunk &message, time_point now)
{
    if (relayedRequest(link, message.id) != nullptr) {
        on(response_chunk{dispatch_id{message.id}, message.bytes}, now);
    }
}

void gateway::implementation::on(link_id link, const peers::relayed_end &message, time_point now)
{
    auto *context = relayedRequest(link, message.id);
    if (context == nullptr) {
        return;
    }
    if (message.accepted) {
        on(dispatch_finished{dispatch_id{message.id}, message.outcome}, now);
        return;
    }
    if (message.endpointLeaving) {
        applyLeavingReports(m_peers.nameOf(link), {context->endpointIncarnation()}, now);
    } else {
        context->refusingPeers.insert(m_peers.nameOf(link));
    }
    onDispatchFailed(*context, dispatch_outcome::NotSent, failure_site::Path, now);
}

// The link to a peer is lost; whether its endpoints have run the requests that it relays is not known.
void gateway::implementation::onRelayLost(link_id link, time_point now)
{
    std::vector<caller_id> callers;
    for (const auto &[dispatch, caller] : m_dispatches) {
        if (m_requests.at(caller).relay == link) {
            callers.push_back(caller);
        }
    }
    for (const auto caller : callers) {
        if (auto *context = findRequest(caller); context != nullptr) {
            onDispatchFailed(*context, dispatch_outcome::Lost, failure_site::Path, now);
        }
    }
}

// ---- At the daemon that sends the request for a peer ----

void gateway::implementation::on(link_id link, const peers::relayed_request &message, time_point now)
{
    const bool blocked = m_crashes.isBlocked(message.request.identity, now);
    const bool leaving = m_pool.isLeaving({message.request.endpoint, message.request.endpointBorn});
    const auto bytes = message.request.body.size();
    const bool hasMemory = makeTextRoom(bytes);
    const bool canRelay =
        m_relayed.size() < maxRelayedRequests && hasMemory && !m_paths.isCutOff() && !refusesArrivals(now);
    const bool accepted = canRelay && !blocked && !leaving;
    log(log_level::Info, accepted ? "request_relayed" : "relay_refused",
        {{"request", message.request.attempt},
         {"endpoint", message.request.endpoint},
         {"peer", m_peers.nameOf(link)},
         {"relayed", m_relayed.size()},
         {"blocked", blocked},
         {"leaving", leaving},
         {"memory_left", hasMemory},
         {"stopping", m_shutdownBegan.has_value()},
         {"endpoints_reachable", !m_paths.isCutOff()}});
    if (!accepted) {
        m_effects.emplace_back(increment_counter{metric::RelayedRequests, "refused", {}});
        m_effects.emplace_back(
            send_message{link, peers::relayed_end{message.id, dispatch_outcome::NotSent, false, leaving}});
        return;
    }
    const dispatch_id dispatch{++m_lastDispatch};
    m_relayed.emplace(dispatch,
                      relayed_dispatch{.link = link,
                                       .request = message.id,
                                       .endpoint = {message.request.endpoint, message.request.endpointBorn},
                                       .identity = message.request.identity,
                                       .memory = m_texts.reserve(bytes)});
    m_crashes.onSent(message.request.identity, {message.request.endpoint, message.request.endpointBorn}, now);
    m_effects.emplace_back(start_dispatch{dispatch, message.request});
}

void gateway::implementation::relayHead(response_head &received, time_point now)
{
    if (const auto found = m_relayed.find(received.dispatch); found != m_relayed.end()) {
        m_lastHeardAt = now;
        found->second.status = received.head.status;
        found->second.notExecuted =
            received.head.notExecuted || received.head.status == endpoint_calls::misdirectedRequest;
        found->second.endsWithConnection = received.head.endsWithConnection;
        noteLeaving(found->second.endpoint, received.head, now);
        m_effects.emplace_back(
            send_message{found->second.link, peers::relayed_head{found->second.request, std::move(received.head)}});
    }
}

void gateway::implementation::relayChunk(const response_chunk &received, time_point now)
{
    const auto found = m_relayed.find(received.dispatch);
    if (found == m_relayed.end()) {
        return;
    }
    m_lastHeardAt = now;
    found->second.bytes += received.bytes.size();
    if (found->second.bytes > maxRelayedResponseBytes) {
        m_effects.emplace_back(cancel_dispatch{received.dispatch});
        noteOutcomeUnknown(found->second.identity, found->second.endpoint, now);
        endRelayed(received.dispatch, dispatch_outcome::Lost);
        return;
    }
    m_effects.emplace_back(
        send_message{found->second.link, peers::relayed_chunk{found->second.request, received.bytes}});
}

void gateway::implementation::relayEnd(const dispatch_finished &received, time_point now)
{
    const auto found = m_relayed.find(received.dispatch);
    if (found == m_relayed.end()) {
        return;
    }
    noteRelayedRunEnd(found->second, received.outcome, now);
    m_lastRequestFinishedAt = now;
    endRelayed(received.dispatch, received.outcome);
}

void gateway::implementation::noteRelayedRunEnd(const relayed_dispatch &dispatch, dispatch_outcome outcome,
                                                time_point now)
{
    const bool isWholeSuccess =
        outcome == dispatch_outcome::Complete && dispatch.status / 100 == 2 && !dispatch.endsWithConnection;
    if (outcome == dispatch_outcome::NotSent) {
        m_paths.onConnectFailed(dispatch.endpoint.id, now);
    }
    if (outcome == dispatch_outcome::NotSent || dispatch.notExecuted) {
        m_crashes.onNotRun(dispatch.identity, dispatch.endpoint);
    } else if (outcome == dispatch_outcome::Lost && !m_paths.isCutOff()) {
        m_crashes.onEndpointFailed(dispatch.identity, dispatch.endpoint, now);
    } else if (isWholeSuccess) {
        m_crashes.onAnswered(dispatch.identity, dispatch.endpoint, now);
    } else {
        noteOutcomeUnknown(dispatch.identity, dispatch.endpoint, now);
    }
}

void gateway::implementation::endRelayed(dispatch_id dispatch, dispatch_outcome outcome)
{
    const auto node = m_relayed.extract(dispatch);
    m_effects.emplace_back(increment_counter{metric::RelayedRequests, std::string(nameOf(outcome)), {}});
    m_effects.emplace_back(send_message{node.mapped().link, peers::relayed_end{node.mapped().request, outcome, true}});
}

void gateway::implementation::cancelRelayed(dispatch_id id, const relayed_dispatch &dispatch, time_point now)
{
    m_effects.emplace_back(cancel_dispatch{id});
    if (dispatch.notExecuted) {
        m_crashes.onNotRun(dispatch.identity, dispatch.endpoint);
    } else {
        noteOutcomeUnknown(dispatch.identity, dispatch.endpoint, now);
    }
}

void gateway::implementation::on(link_id link, const peers::relayed_cancel &message, time_point now)
{
    const auto found = std::ranges::find_if(
        m_relayed, [&](const auto &entry) { return entry.second.link == link && entry.second.request == message.id; });
    if (found != m_relayed.end()) {
        cancelRelayed(found->first, found->second, now);
        m_relayed.erase(found);
    }
}

void gateway::implementation::cancelRelayedFor(link_id link, time_point now)
{
    std::erase_if(m_relayed, [&](const auto &entry) {
        const bool isOfLink = entry.second.link == link;
        if (isOfLink) {
            cancelRelayed(entry.first, entry.second, now);
        }
        return isOfLink;
    });
}

} // namespace jackdawpick::gateway
