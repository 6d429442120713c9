#pragma once

// Selects whether store calls go directly to the store or through another daemon. The store may refuse some daemons
// while it serves others, so after a failed direct call a relay is preferred until a direct call is served again.
//
//   path_selector paths;
//   auto how = paths.choose(where, peersWithStore, now);     // Direct, Relay, or nothing: fail at once.
//   paths.onDirectReply(where, reply, now);
//
// A failed call is evidence against the path only if no other call is served: the store refuses the calls to a
// partition with too many waiting appends, rate-limits all daemons together and may lose some replies, and is available
// all the same. Thread compatible.

#include "clock/clock.h"
#include "store/store.h"

#include <map>
#include <optional>
#include <set>

namespace jackdawpick::store
{

class path_selector
{
public:
    // Failures in a row after which the direct path is considered down: calls without a reply or rate-limited, and
    // partitions to which calls were refused.
    static constexpr unsigned failuresUntilDown = 2;
    // Failed calls count against the path only if no call has been served within this time.
    static constexpr std::chrono::milliseconds servedWindow{200};
    // How long a relay is preferred for a partition after the store has refused a direct call to it.
    static constexpr std::chrono::milliseconds refusedPartitionTime{1000};
    // How long it is known that calls to a partition were refused.
    static constexpr std::chrono::seconds refusalRetention{5};

    // Returns nothing if neither the store nor a relay is known to be reachable. A relay is preferred after the first
    // failure; while relayed calls are made, probes are needed to detect that the direct path works again.
    [[nodiscard]] std::optional<path> choose(const partition &where, bool relayAvailable, time_point now) const;
    // Returns whether the most recent direct calls failed and the path should be probed.
    [[nodiscard]] bool isSuspect(time_point now) const;
    void onDirectReply(const partition &where, const reply &result, time_point now);
    [[nodiscard]] bool isDirectPathUp(time_point now) const;
    // Returns whether the direct path is down or was down within the last `time`.
    [[nodiscard]] bool wasDownWithin(std::chrono::milliseconds time, time_point now) const;
    // Returns whether the store has refused a direct call to the partition within refusedPartitionTime and served none
    // since.
    [[nodiscard]] bool isRefused(const partition &where, time_point now) const;
    // Returns whether the store has refused a direct call to the partition within the last `time`, at most
    // refusalRetention.
    [[nodiscard]] bool wasRefusedWithin(const partition &where, std::chrono::milliseconds time, time_point now) const;

private:
    [[nodiscard]] unsigned failures(time_point now) const;

    unsigned m_unansweredCalls = 0; // Without a reply or rate-limited, since the last served call.
    std::set<partition> m_refusedPartitions; // Since the last served call.
    struct refusal
    {
        time_point at;
        bool servedSince = false;
    };

    std::map<partition, refusal> m_refusals; // The latest ones of direct calls.
    std::optional<time_point> m_lastServedAt;
    std::optional<time_point> m_lastDownAt; // Last time at which the path was known to be down.
};

} // namespace jackdawpick::store
