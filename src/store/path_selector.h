#pragma once

// Selects whether store calls go directly to the store or through another daemon. The store may refuse some daemons
// while it serves others, so after one failed direct call a relay is preferred until a direct call is served again.
//
//   path_selector paths;
//   auto how = paths.choose(peersWithStore, now);     // Direct, Relay, or nothing: fail at once.
//   paths.onDirectReply(reply, now);
//
// Thread compatible.

#include "clock/clock.h"
#include "store/store.h"

#include <optional>

namespace jackdawpick::store
{

class path_selector
{
public:
    // Consecutive failed direct calls after which the direct path is considered down.
    static constexpr unsigned failuresUntilDown = 2;
    // Rate-limited and unanswered calls count as failures only if no call has been served within this time: the rate
    // limit applies to all daemons together, and a store that loses some replies is still available.
    static constexpr std::chrono::milliseconds servedWindow{200};

    // Returns nothing if neither the store nor a relay is known to be reachable. A relay is preferred after the first
    // failure; while relayed calls are made, probes are needed to detect that the direct path works again.
    [[nodiscard]] std::optional<path> choose(bool relayAvailable, time_point now) const;
    // Returns whether the most recent direct calls failed and the path should be probed.
    [[nodiscard]] bool isSuspect(time_point now) const;
    void onDirectReply(const reply &result, time_point now);
    [[nodiscard]] bool isDirectPathUp(time_point now) const;
    // Returns whether the direct path is down or was down within the last `time`.
    [[nodiscard]] bool wasDownWithin(std::chrono::milliseconds time, time_point now) const;

private:
    [[nodiscard]] unsigned failures(time_point now) const;

    unsigned m_refusedCalls = 0; // Since the last served call.
    unsigned m_unansweredCalls = 0; // Without a reply or rate-limited, since the last served call.
    std::optional<time_point> m_lastServedAt;
    std::optional<time_point> m_lastDownAt; // Last time at which the path was known to be down.
};

} // namespace jackdawpick::store
