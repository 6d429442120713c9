#include "programs/programs.h"

#include <utility>

namespace jackdawpick::programs
{

turn_cache::turn_cache(std::size_t maxBytes, std::chrono::milliseconds retention)
    : m_maxBytes(maxBytes)
    , m_retention(retention)
{
}

void turn_cache::add(const std::string &id, std::string history, turn_chain chain, time_point now)
{
    auto [found, isNew] = m_entries.try_emplace(id);
    auto &value = found->second;
    if (!isNew && value.position != m_byRecency.end()) {
        m_bytes -= value.history.size();
        m_byRecency.erase(value.position);
    }
    value.chain = std::move(chain);
    value.added = now;
    m_bytes += history.size();
    value.history = std::move(history);
    m_byRecency.push_front(id);
    value.position = m_byRecency.begin();
    evict();
}

void turn_cache::addChain(const std::string &id, turn_chain chain, time_point now)
{
    m_entries.try_emplace(id, entry{.chain = std::move(chain), .added = now, .position = m_byRecency.end()});
}

// Keeps the most recent history even if it alone exceeds the limit.
void turn_cache::evict()
{
    while (m_bytes > m_maxBytes && m_byRecency.size() > 1) {
        auto &oldest = m_entries.at(m_byRecency.back());
        m_bytes -= oldest.history.size();
        oldest.history = std::string();
        oldest.position = m_byRecency.end();
        m_byRecency.pop_back();
    }
}

const std::string *turn_cache::find(const std::string &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.position == m_byRecency.end()) {
        return nullptr;
    }
    m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->second.position);
    return &found->second.history;
}

const turn_chain *turn_cache::chainOf(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.chain;
}

void turn_cache::evictExpired(time_point now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const bool expired = now - item.second.added > m_retention;
        if (expired && item.second.position != m_byRecency.end()) {
            m_bytes -= item.second.history.size();
            m_byRecency.erase(item.second.position);
        }
        return expired;
    });
}

std::size_t turn_cache::bytes() const
{
    return m_bytes;
}

} // namespace jackdawpick::programs
