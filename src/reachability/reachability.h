#pragma once

// Whether this daemon can connect to the endpoints at all, as opposed to single endpoints that fail.
//
//   path_monitor paths;
//   paths.onConnectFailed("endpoint-1", now);
//   if (paths.isProbeDue(now)) { paths.beginProbes(3, now); ... }   // connect to three endpoints
//   if (paths.onProbeFinished(false, now) == path_change::Lost) { ... }
//
// Failed and silent requests only lead to probes; the state changes by their results alone. So neither an endpoint that
// is silent for a while nor a few that have crashed look like a lost path. No I/O; thread compatible.

#include "clock/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jackdawpick::reachability
{

enum class path_change : std::uint8_t {
    None,
    Lost, // No endpoint can be reached any more.
    Regained,
};

class path_monitor
{
public:
    // Distinct endpoints to which connections failed within `failureWindow` that lead to probes.
    static constexpr std::size_t failedEndpointsUntilProbe = 2;
    static constexpr std::chrono::milliseconds failureWindow{1000};
    // Nothing was received from any endpoint for this long, although several have open requests.
    static constexpr std::chrono::milliseconds silenceUntilProbe{500};
    static constexpr std::size_t silentEndpointsUntilProbe = 2;
    static constexpr std::size_t probesPerRound = 3;
    // Between the rounds of probes while no endpoint can be reached.
    static constexpr std::chrono::milliseconds probeInterval{500};
    // After a round that reached an endpoint, the next one starts no sooner.
    static constexpr std::chrono::milliseconds minTimeBetweenChecks{1000};

    void onConnectFailed(const std::string &endpoint, time_point now);
    // Several endpoints with open requests, and nothing received from any endpoint, for `silenceUntilProbe`.
    void onSilence(time_point now);

    // Whether a round of probes is to begin; none does while another is under way.
    [[nodiscard]] bool isProbeDue(time_point now) const;
    // When the next round is due; nothing while no round is needed or one is under way.
    [[nodiscard]] std::optional<time_point> nextProbe() const;
    void beginProbes(std::size_t count, time_point now);
    // The paths are lost if no probe of a round reached its endpoint, and regained if most of them did.
    path_change onProbeFinished(bool reached, time_point now);

    [[nodiscard]] bool isCutOff() const;

private:
    void requestProbes(time_point now);

    std::map<std::string, time_point> m_failures; // By endpoint: the last failed connection.
    std::optional<time_point> m_probeAt;
    time_point m_checkedAt{}; // When a round last reached an endpoint.
    std::size_t m_probesLeft = 0;
    std::size_t m_probes = 0; // Of the current round.
    std::size_t m_reached = 0;
    bool m_cutOff = false;
};

} // namespace jackdawpick::reachability
