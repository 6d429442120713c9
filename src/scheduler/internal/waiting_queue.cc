#include "scheduler/internal/waiting_queue.h"

#include <algorithm>
#include <cmath>

namespace jackdawpick::internal
{

namespace
{

// The window covers several hundred dispatches of one daemon at the present size of the deployment; the figure depends
// on that size.
constexpr double decaySeconds = 5;

double secondsSinceEpoch(time_point when)
{
    return std::chrono::duration<double>(when.time_since_epoch()).count();
}

// Calls with lower keys are dispatched first. Ageing changes all waiting calls by the same amount per second, so keys
// never have to be updated.
double orderingKey(const first_come_first_served & /*order*/, const waiting_call &call)
{
    return secondsSinceEpoch(call.arrived);
}

double orderingKey(const rank_first & /*order*/, const waiting_call &call)
{
    return secondsSinceEpoch(call.arrived);
}

double orderingKey(const attained_service &order, const waiting_call &call)
{
    return static_cast<double>(call.attainedService) / order.ageingTokensPerSecond + secondsSinceEpoch(call.arrived);
}

} // namespace

void event_rate::add(double amount, time_point now)
{
    m_value = perSecond(now) * decaySeconds + amount;
    m_updated = now;
}

double event_rate::perSecond(time_point now) const
{
    return m_value * std::exp(-std::chrono::duration<double>(now - m_updated).count() / decaySeconds) / decaySeconds;
}

waiting_queue::waiting_queue(const order_policy &order)
    : m_order(order)
{
}

pool_queue &waiting_queue::pool(const std::string &name)
{
    const auto [entry, added] = m_poolIndex.try_emplace(name, static_cast<std::uint32_t>(m_pools.size()));
    if (added) {
        m_pools.emplace_back().name = name;
    }
    return m_pools[entry->second];
}

void waiting_queue::add(waiting_call call, time_point expiry)
{
    if (m_byHandle.contains(call.handle)) {
        return;
    }
    std::uint32_t slot = 0;
    if (m_freeSlots.empty()) {
        slot = static_cast<std::uint32_t>(m_calls.size());
        m_calls.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    call.rank = static_cast<rank_index>(std::min<std::size_t>(call.rank, maxRanks - 1));
    pool_queue &queue = pool(call.pool);
    stored_call &stored = m_calls[slot];
    stored.pool = m_poolIndex.find(call.pool)->second;
    stored.sequence = ++m_sequence;
    stored.lane = std::holds_alternative<first_come_first_served>(m_order) ? 0 : call.rank;
    stored.key = std::visit([&call](const auto &order) { return orderingKey(order, call); }, m_order);
    stored.call = std::move(call);
    m_byHandle.emplace(stored.call.handle, slot);
    queue.lanes.at(stored.lane).push(slot, {stored.key, stored.sequence});
    ++queue.waiting.at(stored.call.rank);
    ++m_waiting.at(stored.call.rank);
    m_expiry.push(slot, expiry);
}

bool waiting_queue::remove(std::uint64_t handle)
{
    const auto found = m_byHandle.find(handle);
    if (found == m_byHandle.end()) {
        return false;
    }
    erase(found->second);
    return true;
}

const waiting_call &waiting_queue::call(std::uint32_t slot) const
{
    return m_calls[slot].call;
}

std::uint32_t waiting_queue::popBest(pool_queue &pool, std::size_t lane)
{
    const std::uint32_t slot = pool.lanes.at(lane).topSlot();
    pool.lanes.at(lane).remove(slot);
    return slot;
}

void waiting_queue::reinsert(std::uint32_t slot)
{
    const stored_call &stored = m_calls[slot];
    m_pools[stored.pool].lanes.at(stored.lane).push(slot, {stored.key, stored.sequence});
}

void waiting_queue::erase(std::uint32_t slot)
{
    const stored_call &stored = m_calls[slot];
    pool_queue &queue = m_pools[stored.pool];
    queue.lanes.at(stored.lane).remove(slot);
    --queue.waiting.at(stored.call.rank);
    --m_waiting.at(stored.call.rank);
    m_expiry.remove(slot);
    m_byHandle.erase(stored.call.handle);
    m_freeSlots.push_back(slot);
}

std::optional<std::uint32_t> waiting_queue::expired(time_point now) const
{
    return m_expiry.empty() || m_expiry.topKey() > now ? std::nullopt : std::optional(m_expiry.topSlot());
}

std::optional<time_point> waiting_queue::firstExpiry() const
{
    return m_expiry.empty() ? std::nullopt : std::optional(m_expiry.topKey());
}

std::vector<pool_queue> &waiting_queue::pools()
{
    return m_pools;
}

std::size_t waiting_queue::size() const
{
    return m_expiry.size();
}

std::size_t waiting_queue::size(rank_index rank) const
{
    return rank < maxRanks ? m_waiting.at(rank) : 0;
}

} // namespace jackdawpick::internal
