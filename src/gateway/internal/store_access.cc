#include "gateway/internal/store_access.h"

#include <algorithm>
#include <utility>

namespace jackdawpick::gateway::internal
{

namespace
{

std::chrono::milliseconds waitOf(const store::call &what)
{
    const auto *read = std::get_if<store::read_call>(&what);
    return read == nullptr ? std::chrono::milliseconds(0) : read->wait;
}

bool mustGoDirectly(const store_owner &owner)
{
    return std::holds_alternative<for_peer>(owner) || std::holds_alternative<for_probe>(owner);
}

bool isServed(const store::reply &result)
{
    const auto *reason = std::get_if<store::failure>(&result);
    return reason == nullptr || *reason == store::failure::Rejected;
}

} // namespace

void store_access::start(store_owner owner, store::call what, std::optional<link_id> relay, time_point now,
                         std::vector<effect> &out)
{
    const bool probe = std::holds_alternative<for_probe>(owner);
    const bool direct = mustGoDirectly(owner);
    const auto way = probe ? std::optional(store::path::Direct) : m_paths.choose(relay.has_value() && !direct, now);
    if (!way.has_value()) {
        m_completed.push_back({std::move(owner), store::failure::Refused});
    } else if (*way == store::path::Relay) {
        startRelayed(std::move(owner), std::move(what), *relay, now, out);
    } else {
        const auto wait = waitOf(what);
        // A watch that waited long for a lost reply would learn late what changed meanwhile.
        const bool watches = std::holds_alternative<for_watch>(owner);
        m_direct.emplace(++m_lastCall, direct_call{std::move(owner), wait, now});
        out.emplace_back(
            make_store_call{store_call_id{m_lastCall}, std::move(what), (watches ? firstTimeout() : timeout()) + wait});
    }
}

void store_access::startRelayed(store_owner owner, store::call what, link_id relay, time_point now,
                                std::vector<effect> &out)
{
    const auto deadline = now + timeout() + relayTime + waitOf(what);
    m_relayed.emplace(++m_lastCall, relayed_call{std::move(owner), relay, deadline});
    out.emplace_back(send_message{relay, peers::store_request{m_lastCall, std::move(what)}});
}

void store_access::onDirectReply(const store_replied &what, time_point now)
{
    auto node = m_direct.extract(static_cast<std::uint64_t>(what.call));
    if (!node) {
        return;
    }
    m_paths.onDirectReply(what.result, now);
    learnTime(node.mapped(), what.result, now);
    m_completed.push_back({std::move(node.mapped().owner), what.result});
}

// Each call in a row without a reply doubles the time for the next, so that a store that has become slow is waited for.
std::chrono::milliseconds store_access::timeout() const
{
    constexpr unsigned mostDoublings = 4;
    return std::min<std::chrono::milliseconds>(firstTimeout() * (1U << std::min(m_timeoutsInRow, mostDoublings)),
                                               longestTimeout);
}

std::chrono::milliseconds store_access::firstTimeout() const
{
    return std::clamp<std::chrono::milliseconds>(usualTime() * usualTimes, shortestTimeout, longestTimeout);
}

std::chrono::milliseconds store_access::usualTime() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_usualTime);
}

void store_access::learnTime(const direct_call &call, const store::reply &result, time_point now)
{
    // A store that has become slow is believed at once: calls that are given up while it still works on them have to be
    // read back and repeated.
    constexpr double newestWeight = 0.2;
    const auto *reason = std::get_if<store::failure>(&result);
    if (reason != nullptr) {
        m_timeoutsInRow += *reason == store::failure::NoReply ? 1 : 0;
        return;
    }
    m_timeoutsInRow = 0;
    if (call.wait.count() == 0) {
        const std::chrono::duration<double, std::milli> took = now - call.started;
        m_usualTime = std::max(took, m_usualTime * (1 - newestWeight) + took * newestWeight);
    }
}

bool store_access::onRelayReply(link_id link, const peers::store_response &what)
{
    const auto found = m_relayed.find(what.id);
    if (found == m_relayed.end() || found->second.link != link) {
        return true;
    }
    m_completed.push_back({std::move(found->second.owner), what.result});
    m_relayed.erase(found);
    return isServed(what.result);
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
    std::vector<link_id> late;
    std::erase_if(m_relayed, [&](auto &item) {
        if (item.second.deadline > now) {
            return false;
        }
        late.push_back(item.second.link);
        m_completed.push_back({std::move(item.second.owner), store::failure::NoReply});
        return true;
    });
    return late;
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

} // namespace jackdawpick::gateway::internal
