#include "store/path_selector.h"

namespace jackdawpick::store
{

std::optional<path> path_selector::choose(bool relayAvailable, time_point now) const
{
    if (relayAvailable && isSuspect(now)) {
        return path::Relay;
    }
    return isDirectPathUp(now) ? std::optional(path::Direct) : std::nullopt;
}

unsigned path_selector::failures(time_point now) const
{
    const bool servedRecently = m_lastServedAt.has_value() && now - *m_lastServedAt < servedWindow;
    return m_refusedCalls + (servedRecently ? 0 : m_unansweredCalls);
}

bool path_selector::isSuspect(time_point now) const
{
    return failures(now) > 0;
}

bool path_selector::isDirectPathUp(time_point now) const
{
    return failures(now) < failuresUntilDown;
}

void path_selector::onDirectReply(const reply &result, time_point now)
{
    if (!isDirectPathUp(now)) {
        m_lastDownAt = now;
    }
    if (isServed(result)) {
        m_refusedCalls = 0;
        m_unansweredCalls = 0;
        m_lastServedAt = now;
    } else {
        ++(std::get<failure>(result) == failure::Refused ? m_refusedCalls : m_unansweredCalls);
    }
}

bool path_selector::wasDownWithin(std::chrono::milliseconds time, time_point now) const
{
    return !isDirectPathUp(now) || (m_lastDownAt.has_value() && now - *m_lastDownAt <= time);
}

} // namespace jackdawpick::store
