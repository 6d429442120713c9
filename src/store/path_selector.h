#pragma once

// Decides whether store calls go to the store itself or through another daemon. The store may turn some daemons away
// while it serves the others, so one failed call decides for the calls after it until a direct call succeeds again.
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
    // Direct calls that fail in a row before the direct path counts as down.
    static constexpr unsigned failuresUntilDown = 2;
    // Rate limits and lost replies count as failures once no call has been served for this long: the limit is meant for
    // all daemons together, and a store that loses some replies still serves.
    static constexpr std::chrono::milliseconds servedGrace{200};

    // Nothing if neither the store nor a daemon that reaches it is known to be reachable. After one failure already a
    // relay goes before the direct path, which then needs probes to count as sound again.
    [[nodiscard]] std::optional<path> choose(bool relayAvailable, time_point now) const;
    // The newest direct calls failed; a probe is due.
    [[nodiscard]] bool isSuspect(time_point now) const;
    void onDirectReply(const reply &result, time_point now);
    [[nodiscard]] bool isDirectPathUp(time_point now) const;
    // Whether the direct path is down or was so within `time` before now.
    [[nodiscard]] bool wasDownWithin(std::chrono::milliseconds time, time_point now) const;

private:
    [[nodiscard]] unsigned failures(time_point now) const;

    unsigned m_refused = 0; // Calls refused since the last one that was served.
    unsigned m_unanswered = 0; // Calls without reply, or over a rate limit, since then.
    std::optional<time_point> m_lastServed;
    std::optional<time_point> m_lastDown; // The newest moment at which the path was down.
};

} // namespace jackdawpick::store
