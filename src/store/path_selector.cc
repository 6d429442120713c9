#include "store/path_selector.h"

namespace jackdawpick::store
{

std::optional<path> path_selector::choose(const partition &where, bool relayAvailable, time_point now) const
{
    if (relayAvailable && (isSuspect(now) || isRefused(where, now))) {
        return path::Relay;
    }
    return isDirectPathUp(now) ? std::optional(path::Direct) : std::nullopt;
}

unsigned path_selector::failures(time_point now) const
{
    const bool servedRecently = m_lastServedAt.has_value() && now - *m_lastServedAt < servedWindow;
    return servedRecently ? 0 : m_unansweredCalls + static_cast<unsigned>(m_refusedPartitions.size());
}

bool path_selector::isSuspect(time_point now) const
{
    return failures(now) > 0;
}

bool path_selector::isDirectPathUp(time_point now) const
{
    return failures(now) < failuresUntilDown;
}

bool path_selector::isRefused(const partition &where, time_point now) const
{
    const auto found = m_refusals.find(where);
    return found != m_refusals.end() && !found->second.servedSince && now - found->second.at < refusedPartitionTime;
}

bool path_selector::wasRefusedWithin(const partition &where, std::chrono::milliseconds time, time_point now) const
{
    const auto found = m_refusals.find(where);
    return found != m_refusals.end() && now - found->second.at <= time;
}

void path_selector::onDirectReply(const partition &where, const reply &result, time_point now)
{
    if (!isDirectPathUp(now)) {
        m_lastDownAt = now;
    }
    std::erase_if(m_refusals, [now](const auto &entry) { return now - entry.second.at > refusalRetention; });
    if (isServed(result)) {
        m_unansweredCalls = 0;
        m_refusedPartitions.clear();
        m_lastServedAt = now;
        if (const auto found = m_refusals.find(where); found != m_refusals.end()) {
            found->second.servedSince = true;
        }
        return;
    }
    if (std::get<failure>(result) == failure::Refused) {
        m_refusedPartitions.insert(where);
        m_refusals.insert_or_assign(where, refusal{.at = now});
    } else {
        ++m_unansweredCalls;
    }
}

bool path_selector::wasDownWithin(std::chrono::milliseconds time, time_point now) const
{
    return !isDirectPathUp(now) || (m_lastDownAt.has_value() && now - *m_lastDownAt <= time);
}

} // namespace jackdawpick::store
