#pragma once

// Whether the store has room for records, as the replies to this daemon's appends show.

#include "clock/clock.h"
#include "store/store.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace jackdawpick::gateway::internal
{

struct room_change
{
    bool full = false;
    std::string_view call; // Name of the call whose reply showed the change.
    store::partition where;
    std::chrono::milliseconds fullFor{0}; // How long the store had no room.
};

class store_room
{
public:
    // Only an append that is accepted this long after the last refusal ends the state. A store that is almost full
    // accepts some records and refuses others; this bounds the number of changes that are reported.
    static constexpr std::chrono::milliseconds minFullTime{1000};

    void onReply(std::string_view call, const store::partition &where, const store::reply &result, time_point now);
    [[nodiscard]] bool isFull() const;
    // The last change that has not been taken yet.
    [[nodiscard]] std::optional<room_change> takeChange();

private:
    std::optional<time_point> m_fullSince;
    time_point m_lastRefused{};
    std::optional<room_change> m_change;
};

} // namespace jackdawpick::gateway::internal
