#include "net/internal/memory_account.h"

#include <algorithm>
#include <numeric>

namespace jackdawpick::net::internal
{

namespace
{

// Added to the time without progress, so that of two connections that have just made progress the larger one is named.
constexpr std::chrono::milliseconds leastStall{1};

constexpr std::size_t indexOf(held_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

memory_account::memory_account(client_limits limits)
    : m_limits(limits)
{
}

void memory_account::setLimits(const client_limits &limits)
{
    m_limits = limits;
}

const client_limits &memory_account::limits() const
{
    return m_limits;
}

const client_usage &memory_account::usage() const
{
    return m_usage;
}

std::size_t memory_account::heldBytes() const
{
    return m_heldBytes;
}

bool memory_account::isFull() const
{
    return m_heldBytes > m_limits.heldBytes;
}

bool memory_account::mayServe(std::size_t bytes) const
{
    const double share = bytes <= smallRequestBytes ? 1 : servedShare;
    const auto texts = m_usage.heldBytes[indexOf(held_kind::Text)];
    return m_servedBytes + texts + bytes <= static_cast<std::size_t>(share * static_cast<double>(m_limits.heldBytes));
}

void memory_account::relieve(time_point now)
{
    while (isFull()) {
        const auto before = m_heldBytes;
        auto *entry = nextToGiveWay(scarce_resource::Memory, now);
        if (entry == nullptr) {
            return;
        }
        entry->m_client->giveWay(scarce_resource::Memory);
        if (m_heldBytes >= before) {
            return;
        }
    }
}

bool memory_account::makeRoomForConnection(time_point now)
{
    while (m_entries.size() >= m_limits.connections) {
        const auto before = m_entries.size();
        auto *entry = nextToGiveWay(scarce_resource::Connections, now);
        if (entry == nullptr) {
            return false;
        }
        entry->m_client->giveWay(scarce_resource::Connections);
        if (m_entries.size() >= before) {
            return false;
        }
    }
    return true;
}

account_entry *memory_account::nextToGiveWay(scarce_resource resource, time_point now) const
{
    account_entry *chosen = nullptr;
    std::optional<account_entry::priority> best;
    for (auto *entry : m_entries) {
        const auto value = entry->priorityFor(resource, now);
        const bool earlier = value.has_value()
            && (!best.has_value() || value->rank < best->rank
                || (value->rank == best->rank && value->weight > best->weight));
        if (earlier) {
            chosen = entry;
            best = value;
        }
    }
    return chosen;
}

void memory_account::countTurnedAway(turn_away_reason reason)
{
    ++m_usage.turnedAway.at(static_cast<std::size_t>(reason));
}

account_entry::account_entry(memory_account &account)
    : m_account(account)
{
}

account_entry::account_entry(memory_account &account, account_client &client, time_point now)
    : m_account(account)
    , m_client(&client)
    , m_index(account.m_entries.size())
    , m_standing(standing::Incomplete)
    , m_progressAt(now)
{
    account.m_entries.push_back(this);
    account.m_usage.connections = account.m_entries.size();
}

account_entry::~account_entry()
{
    setStanding(standing::Control);
    for (std::size_t i = 0; i < m_held.size(); ++i) {
        hold(static_cast<held_kind>(i), 0);
    }
    if (m_client != nullptr) {
        auto &entries = m_account.m_entries;
        entries[m_index] = entries.back();
        entries[m_index]->m_index = m_index;
        entries.pop_back();
        m_account.m_usage.connections = entries.size();
    }
}

void account_entry::hold(held_kind kind, std::size_t bytes)
{
    auto &own = m_held[indexOf(kind)];
    if (own == bytes) {
        return;
    }
    const auto difference = bytes - own; // Modulo the range of the type, which the additions undo.
    own = bytes;
    m_account.m_heldBytes += difference;
    m_account.m_usage.heldBytes[indexOf(kind)] += difference;
    if (m_standing == standing::Serving && (kind == held_kind::Head || kind == held_kind::Body)) {
        m_account.m_servedBytes += difference;
    }
}

void account_entry::setStanding(standing value)
{
    const bool served = m_standing == standing::Serving;
    if (served != (value == standing::Serving)) {
        m_account.m_servedBytes += served ? -requestBytes() : requestBytes();
    }
    m_standing = value;
}

void account_entry::noteMoved(std::size_t bytes, time_point now)
{
    m_moved += bytes;
    if (m_moved >= memory_account::progressBytes) {
        noteProgress(now);
    }
}

void account_entry::noteProgress(time_point now)
{
    m_moved = 0;
    m_progressAt = now;
}

std::size_t account_entry::held(held_kind kind) const
{
    return m_held[indexOf(kind)];
}

std::size_t account_entry::heldBytes() const
{
    return std::accumulate(m_held.begin(), m_held.end(), std::size_t{0});
}

duration account_entry::stalledFor(time_point now) const
{
    return std::max(now - m_progressAt, duration::zero());
}

std::size_t account_entry::requestBytes() const
{
    return held(held_kind::Head) + held(held_kind::Body);
}

std::optional<account_entry::priority> account_entry::priorityFor(scarce_resource resource, time_point now) const
{
    const auto unread = held(held_kind::Response);
    const bool needed = m_standing == standing::Serving || m_standing == standing::Control;
    std::size_t amount = 0;
    if (resource == scarce_resource::Memory) {
        amount = needed ? unread : heldBytes();
    } else if (!needed) {
        amount = 1;
    }
    if (m_standing == standing::Control || amount == 0) {
        return std::nullopt;
    }
    // An answer that is still being written is needed as much as a request that is still arriving. For the sake of a
    // descriptor it goes no earlier than an idle connection: an answer given just now is unread until the loop writes
    // it.
    const auto whileUnread = resource == scarce_resource::Memory ? standing::Incomplete : standing::Idle;
    const auto rank = unread > 0 ? whileUnread : m_standing;
    const std::chrono::duration<double> stalled = stalledFor(now) + leastStall;
    return priority{.rank = rank, .weight = static_cast<double>(amount) * stalled.count()};
}

} // namespace jackdawpick::net::internal
