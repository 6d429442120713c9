// Real daemons that are stopped while callers go on. JACKDAWPICK_STOP_SEEDS="FIRST LAST" plays other seeds,
// JACKDAWPICK_STOP_DAEMON=FILE the daemon of another build.

#include "emulator/planned_stops.h"

#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sstream>

namespace jackdawpick::standins
{

namespace
{

struct seed_range
{
    unsigned first = 1;
    unsigned last = 3;
};

seed_range seeds()
{
    seed_range range;
    if (const char *given = std::getenv("JACKDAWPICK_STOP_SEEDS"); given != nullptr) { // NOLINT(concurrency-mt-unsafe)
        std::istringstream(given) >> range.first >> range.last;
    }
    return range;
}

std::string daemonProgram()
{
    const char *given = std::getenv("JACKDAWPICK_STOP_DAEMON"); // NOLINT(concurrency-mt-unsafe)
    return given != nullptr ? given : DAEMON_PROGRAM;
}

} // namespace

// Guards against requests that a stopping daemon has passed on, or holds, and ends without a whole answer: it closed
// all idle connections at one moment, accepted new requests to its end, and cut them off there.
TEST(PlannedStops, LoseNoRequest)
{
    const auto [first, last] = seeds();
    for (unsigned seed = first; seed <= last; ++seed) {
        const auto report = runPlannedStops({.program = daemonProgram(), .seed = seed});
        EXPECT_EQ(report.violations, std::vector<std::string>()) << "seed " << seed;
        EXPECT_GT(report.served, report.requests / 2) << "seed " << seed;
        fmt::print("seed {}: {} requests, {} served, {} refused, {} other, {} unanswered, {} stops, {} violations\n",
                   seed, report.requests, report.served, report.refused, report.otherStatus, report.unanswered,
                   report.stops, report.violations.size());
        std::fflush(stdout);
    }
}

} // namespace jackdawpick::standins
