#pragma once

// Decides whether store calls go to the store itself or through another daemon. The store may turn some daemons away
// while it serves the others, so one failed call decides for the calls after it until a direct call succeeds again.
//
//   path_selector paths;
//   auto how = paths.choose(peersWithStore);          // Direct, Relay, or nothing: fail at once.
//   paths.onDirectReply(ok, now);
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

    // Nothing if neither the store nor a daemon that reaches it is known to be reachable.
    [[nodiscard]] std::optional<path> choose(bool relayAvailable) const;
    void onDirectReply(bool served, time_point now);
    [[nodiscard]] bool directUp() const;
    // When the direct path last began to serve after it was down; nothing while it is down or if it never was.
    [[nodiscard]] std::optional<time_point> upSince() const;
    // The newest direct call that failed; nothing if none did.
    [[nodiscard]] std::optional<time_point> lastFailure() const;

private:
    unsigned m_failures = 0;
    std::optional<time_point> m_upSince;
    std::optional<time_point> m_lastFailure;
};

} // namespace jackdawpick::store
