#include "gateway/internal/store_access.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::gateway::internal
{

namespace
{

std::chrono::milliseconds waitOf(const store::call &call)
{
    const auto *read = std::get_if<store::read_call>(&call);
    return read == nullptr ? std::chrono::milliseconds(0) : read->wait;
}

const store::partition &partitionOf(const store::call &call)
{
    return std::visit([](const auto &body) -> const store::partition & { return body.where; }, call);
}

// All daemons write to the partition of their records at about the same time, for example when all have started. That
// such a write fails says nothing of the path.
bool isEvidenceOfPath(const store_call_owner &owner, const store::reply &result)
{
    const bool isSharedRecord = std::holds_alternative<registration_owner>(owner)
        || std::holds_alternative<crash_record_owner>(owner) || std::holds_alternative<gone_daemon_owner>(owner);
    return store::isServed(result) || !isSharedRecord;
}

bool requiresDirectPath(const store_call_owner &owner)
{
    return std::holds_alternative<peer_owner>(owner) || std::holds_alternative<probe_owner>(owner);
}

} // namespace

void store_access::start(store_call_owner owner, store::call call, std::optional<link_id> relay, time_point now,
                         std::vector<effect> &out)
{
    const bool isProbe = std::holds_alternative<probe_owner>(owner);
    const bool directOnly = requiresDirectPath(owner);
    const auto path = isProbe ? std::optional(store::path::Direct)
                              : m_paths.choose(partitionOf(call), relay.has_value() && !directOnly, now);
    if (!path.has_value()) {
        m_completed.push_back({std::move(owner), store::failure::Refused});
    } else if (*path == store::path::Relay) {
        startRelayed(std::move(owner), std::move(call), *relay, now, out);
    } else {
        const auto wait = waitOf(call);
        // Watches do not use the longer timeout after time-outs: a lost reply would delay the changes too long.
        const bool isWatch = std::holds_alternative<watch_owner>(owner);
        m_direct.emplace(++m_lastCall,
                         direct_call{std::move(owner), store::nameOf(call), partitionOf(call), wait, now});
        out.emplace_back(
            make_store_call{store_call_id{m_lastCall}, std::move(call), (isWatch ? baseTimeout() : timeout()) + wait});
    }
}

void store_access::startRelayed(store_call_owner owner, store::call call, link_id relay, time_point now,
                                std::vector<effect> &out)
{
    const auto deadline = now + timeout() + relayOverhead + waitOf(call);
    m_relayed.emplace(++m_lastCall, relayed_call{std::move(owner), relay, deadline});
    out.emplace_back(send_message{relay, peers::store_request{m_lastCall, std::move(call)}});
}

void store_access::onDirectReply(const store_replied &received, time_point now)
{
    auto node = m_direct.extract(static_cast<std::uint64_t>(received.call));
    if (!node) {
        return;
    }
    if (isEvidenceOfPath(node.mapped().owner, received.result)) {
        m_paths.onDirectReply(node.mapped().where, received.result, now);
    }
    m_room.onReply(node.mapped().name, node.mapped().where, received.result, now);
    updateLatency(node.mapped(), received.result, now);
    m_completed.push_back({std::move(node.mapped().owner), received.result});
}

// Doubles with each consecutive call without a reply, so that a store that has become slow gets the time to answer.
std::chrono::milliseconds store_access::timeout() const
{
    constexpr unsigned maxDoublings = 4;
    return std::min<std::chrono::milliseconds>(baseTimeout() * (1U << std::min(m_consecutiveTimeouts, maxDoublings)),
                                               maxTimeout);
}

std::chrono::milliseconds store_access::baseTimeout() const
{
    return std::clamp<std::chrono::milliseconds>(smoothedLatency() * timeoutLatencyFactor, minTimeout, maxTimeout);
}

std::chrono::milliseconds store_access::smoothedLatency() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_smoothedLatency);
}

void store_access::updateLatency(const direct_call &call, const store::reply &result, time_point now)
{
    // Increases take effect at once, decreases are smoothed: a call that times out while the store still executes it
    // has to be checked by a read and repeated, which costs more than a timeout that is too long.
    constexpr double sampleWeight = 0.2;
    const auto *reason = std::get_if<store::failure>(&result);
    if (reason != nullptr) {
        m_consecutiveTimeouts += *reason == store::failure::NoReply ? 1 : 0;
        return;
    }
    m_consecutiveTimeouts = 0;
    if (call.wait.count() == 0) {
        const std::chrono::duration<double, std::milli> took = now - call.started;
        m_smoothedLatency = std::max(took, m_smoothedLatency * (1 - sampleWeight) + took * sampleWeight);
    }
}

bool store_access::onRelayReply(link_id link, const peers::store_response &response)
{
    const auto found = m_relayed.find(response.id);
    if (found == m_relayed.end() || found->second.link != link) {
        return true;
    }
    m_completed.push_back({std::move(found->second.owner), response.result});
    m_relayed.erase(found);
    const auto *reason = std::get_if<store::failure>(&response.result);
    return reason == nullptr || *reason != store::failure::NoReply;
}

void store_access::onLinkClosed(link_id link)
{
    std::erase_if(m_relayed, [&](auto &item) {
        if (item.second.link != link) {
            return false;
        }
        m_completed.push_back({std::move(item.second.owner), store::failure::NoReply});
        return true;
    });
}

std::vector<link_id> store_access::tick(time_point now)
{
    std::vector<link_id> timedOut;
    std::erase_if(m_relayed, [&](auto &item) {
        if (item.second.deadline > now) {
            return false;
        }
        timedOut.push_back(item.second.link);
        m_completed.push_back({std::move(item.second.owner), store::failure::NoReply});
        return true;
    });
    return timedOut;
}

std::optional<time_point> store_access::nextDeadline() const
{
    const auto first =
        std::ranges::min_element(m_relayed, std::less<>(), [](const auto &item) { return item.second.deadline; });
    return first == m_relayed.end() ? std::nullopt : std::optional(first->second.deadline);
}

std::deque<store_completion> store_access::takeCompletions()
{
    return std::exchange(m_completed, {});
}

const store::path_selector &store_access::paths() const
{
    return m_paths;
}

store_room &store_access::room()
{
    return m_room;
}

const store_room &store_access::room() const
{
    return m_room;
}

} // namespace jackdawpick::gateway::internal
