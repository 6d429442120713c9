#include "store/path_selector.h"

namespace jackdawpick::store
{

std::optional<path> path_selector::choose(bool relayAvailable) const
{
    if (directUp()) {
        return path::Direct;
    }
    return relayAvailable ? std::optional(path::Relay) : std::nullopt;
}

void path_selector::onDirectReply(bool served, time_point now)
{
    if (!served) {
        ++m_failures;
        m_lastFailure = now;
        if (!directUp()) {
            m_upSince.reset();
        }
        return;
    }
    if (!directUp()) {
        m_upSince = now;
    }
    m_failures = 0;
}

bool path_selector::directUp() const
{
    return m_failures < failuresUntilDown;
}

std::optional<time_point> path_selector::upSince() const
{
    return m_upSince;
}

std::optional<time_point> path_selector::lastFailure() const
{
    return m_lastFailure;
}

} // namespace jackdawpick::store
