#pragma once

// What a daemon keeps of the reports of use by which budgets are settled, and of who has the texts of turns.

#include "clock/clock.h"
#include "peers/peers.h"
#include "programs/programs.h"

#include <string>
#include <vector>

namespace jackdawpick::gateway::internal
{

// A daemon that has the text of a turn.
struct turn_holder
{
    std::string daemon;
    time_point since;
};

// A report of use that was sent to a decider.
struct sent_usage
{
    std::string decider;
    peers::budget_use use;
    time_point at;
};

// A look for the turns of unsettled reservations of a program.
struct settlement_check
{
    struct denied_request
    {
        programs::reservation request;
        time_point deadline;
    };

    std::vector<std::string> turns;
    std::vector<denied_request> denied; // Decided again when the check ends.
    std::size_t openReads = 0;
    bool incomplete = false; // A partition could not be read to its end.
};

} // namespace jackdawpick::gateway::internal
