#pragma once

// Real daemons that are stopped and started again, one after the other and at the same time, while callers who never
// learn of it go on: which requests ended without a whole answer.
//
//   const auto report = runPlannedStops({.program = "jackdawpickd", .seed = 3});
//   EXPECT_EQ(report.lost, std::vector<std::string>());

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawpick::standins
{

struct planned_stops_options
{
    std::string program; // The daemon's.
    unsigned seed = 1; // Decides on daemons, callers, endpoints and stops.
};

struct planned_stops_report
{
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0; // As not run, with status 503.
    std::size_t otherStatus = 0;
    std::size_t unanswered = 0; // Sent while their connections were being closed; no endpoint ran them.
    std::size_t stops = 0;
    // What the rules forbid: a request that was run, or held, and got no whole answer; one that ran twice, or although
    // it was refused; a process that did not end in time or failed.
    std::vector<std::string> violations;
};

[[nodiscard]] planned_stops_report runPlannedStops(const planned_stops_options &options);

} // namespace jackdawpick::standins
