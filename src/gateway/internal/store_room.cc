#include "gateway/internal/store_room.h"

#include <utility>

namespace jackdawpick::gateway::internal
{

void store_room::onReply(std::string_view call, const store::partition &where, const store::reply &result,
                         time_point now)
{
    const auto *reason = std::get_if<store::failure>(&result);
    if (reason != nullptr && *reason == store::failure::Full) {
        m_lastRefused = now;
        if (!m_fullSince.has_value()) {
            m_fullSince = now;
            m_change = {.full = true, .call = call, .where = where};
        }
    } else if (std::holds_alternative<store::appended>(result) && m_fullSince.has_value()
               && now - m_lastRefused >= minFullTime) {
        m_change = {.full = false, .call = call, .where = where, .fullFor = millisecondsBetween(*m_fullSince, now)};
        m_fullSince.reset();
    }
}

bool store_room::isFull() const
{
    return m_fullSince.has_value();
}

std::optional<room_change> store_room::takeChange()
{
    return std::exchange(m_change, std::nullopt);
}

} // namespace jackdawpick::gateway::internal
