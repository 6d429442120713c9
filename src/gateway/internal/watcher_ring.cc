#include "gateway/internal/watcher_ring.h"

#include <xxhash.h>

namespace jackdawpick::gateway::internal
{

watcher_ring::watcher_ring(const std::string &self)
    : m_self(positionOf(self))
{
}

watcher_ring::position watcher_ring::positionOf(const std::string &name)
{
    return {XXH3_64bits(name.data(), name.size()), name};
}

void watcher_ring::add(const std::string &name)
{
    m_others.insert(positionOf(name));
}

void watcher_ring::remove(const std::string &name)
{
    m_others.erase(positionOf(name));
}

std::vector<std::string> watcher_ring::watchers(const std::function<bool(const std::string &)> &isAlive) const
{
    std::vector<std::string> found;
    auto next = m_others.lower_bound(m_self);
    for (std::size_t visited = 0; visited < m_others.size() && found.size() < watchersPerDaemon; ++visited) {
        if (next == m_others.end()) {
            next = m_others.begin();
        }
        if (isAlive(next->second)) {
            found.push_back(next->second);
        }
        ++next;
    }
    return found;
}

} // namespace jackdawpick::gateway::internal
