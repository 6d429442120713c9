#include "programs/programs.h"

#include <utility>

namespace jackdawpick::programs
{

turn_cache::turn_cache(std::size_t maxBytes, std::chrono::milliseconds retention)
    : m_maxBytes(maxBytes)
    , m_retention(retention)
{
}

void turn_cache::add(const std::string &id, std::string history, const turn_location &place, time_point now)
{
    auto [found, isNew] = m_entries.try_emplace(id);
    auto &value = found->second;
    if (!isNew && value.position != m_recent.end()) {
        m_bytes -= value.history.size();
        m_recent.erase(value.position);
    }
    value.place = place;
    value.seen = now;
    m_bytes += history.size();
    value.history = std::move(history);
    m_recent.push_front(id);
    value.position = m_recent.begin();
    evict();
}

// Keeps the newest text even if it alone exceeds the bound.
void turn_cache::evict()
{
    while (m_bytes > m_maxBytes && m_recent.size() > 1) {
        auto &oldest = m_entries.at(m_recent.back());
        m_bytes -= oldest.history.size();
        oldest.history = std::string();
        oldest.position = m_recent.end();
        m_recent.pop_back();
    }
}

const std::string *turn_cache::find(const std::string &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.position == m_recent.end()) {
        return nullptr;
    }
    m_recent.splice(m_recent.begin(), m_recent, found->second.position);
    return &found->second.history;
}

std::optional<turn_location> turn_cache::locate(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.place);
}

void turn_cache::evictExpired(time_point now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const bool expired = now - item.second.seen > m_retention;
        if (expired && item.second.position != m_recent.end()) {
            m_bytes -= item.second.history.size();
            m_recent.erase(item.second.position);
        }
        return expired;
    });
}

std::size_t turn_cache::bytes() const
{
    return m_bytes;
}

} // namespace jackdawpick::programs
