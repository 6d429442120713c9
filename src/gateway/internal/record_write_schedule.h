#pragma once

// Decides when this daemon writes records of the store that every daemon knows and any one may write.
//
// All daemons rank themselves for each record. The first one writes it; each next one does later, unless a watch has
// shown the record meanwhile. A write that fails, or that no watch shows, is repeated ever more rarely, so that records
// which the store refuses for good cost few calls in a deployment of any size.
//
//   record_write_schedule schedule;
//   for (const auto record : schedule.takeDue(missing, rankOf, aliveDaemons, now)) { ... }    // write it
//
// Performs no I/O; thread-compatible.

#include "clock/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace jackdawpick::gateway::internal
{

class record_write_schedule
{
public:
    using record_id = std::uint64_t;

    // How long a daemon leaves a record to each daemon that is ranked before it.
    static constexpr std::chrono::milliseconds delayPerRank{500};
    // Time after which a daemon that waits for others looks at its rank again.
    static constexpr std::chrono::milliseconds rankCheckInterval{2000};
    // Time between two writes of the same record by this daemon; doubles with each one.
    static constexpr std::chrono::milliseconds minRetryDelay{1000};
    static constexpr std::chrono::milliseconds maxRetryDelay{32000};
    // Up to this share of a delay is added at random: daemons that begin together must not write together.
    static constexpr double maxJitter = 0.5;
    // Writes of such records by all daemons together. The store limits the calls of all daemons to some hundred a
    // second, and turns need them.
    static constexpr double sharedWritesPerSecond = 50;
    // Writes that a daemon may make at once after it has made none for some time.
    static constexpr double burst = 4;

    explicit record_write_schedule(std::uint64_t seed);

    // Returns the records to write now, of those that are `missing` in the store. `rankOf` gives the position of this
    // daemon for a record, 0 being the first; `daemons` is the number of live daemons, this one included.
    [[nodiscard]] std::vector<record_id> takeDue(const std::set<record_id> &missing,
                                                 const std::function<std::size_t(record_id)> &rankOf,
                                                 std::size_t daemons, time_point now);

private:
    struct planned_write
    {
        bool missing = true;
        time_point missingSince;
        time_point due; // Not before this.
        unsigned writes = 0; // By this daemon.
    };

    void plan(const std::set<record_id> &missing, time_point now);
    void refill(std::size_t daemons, time_point now);
    [[nodiscard]] std::chrono::milliseconds retryDelay(unsigned writes);

    std::mt19937_64 m_random;
    std::map<record_id, planned_write> m_planned;
    double m_allowance = 1; // Writes that may be made now.
    std::optional<time_point> m_refilledAt;
};

} // namespace jackdawpick::gateway::internal
