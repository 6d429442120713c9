#include "store/path_selector.h"

namespace jackdawpick::store
{

std::optional<path> path_selector::choose(bool relayAvailable) const
{
    if (relayAvailable && isSuspect()) {
        return path::Relay;
    }
    return directUp() ? std::optional(path::Direct) : std::nullopt;
}

bool path_selector::isSuspect() const
{
    return m_failures > 0;
}

void path_selector::onDirectReply(const reply &result, time_point now)
{
    const auto *reason = std::get_if<failure>(&result);
    if (reason == nullptr || *reason == failure::Rejected) {
        m_lastDown = directUp() ? m_lastDown : now;
        m_failures = 0;
        m_lastServed = now;
        return;
    }
    const bool servesOthers =
        *reason != failure::Refused && m_lastServed.has_value() && now - *m_lastServed < servedGrace;
    m_failures += servesOthers ? 0 : 1;
    m_lastDown = directUp() ? m_lastDown : now;
}

bool path_selector::directUp() const
{
    return m_failures < failuresUntilDown;
}

bool path_selector::wasDownWithin(std::chrono::milliseconds time, time_point now) const
{
    return !directUp() || (m_lastDown.has_value() && now - *m_lastDown <= time);
}

} // namespace jackdawpick::store
