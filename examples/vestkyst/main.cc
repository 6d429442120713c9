// Prints the configuration of Vestkyst Bølgeskole Styrelse, west coast: 4 availability zones, 11 model engines, 12
// endpoints of the bookings and roster application. A tide briefing goes before everything else; routine work keeps its
// share also while briefings flood in.
//
//   ./vestkyst > vestkyst.toml
//   jackdawpickctl validate vestkyst.toml
//   jackdawpickctl --admin 127.0.0.1:7102 publish vestkyst.toml --base 0

#include "configuration/configuration.h"

#include <iostream>

using namespace std::chrono_literals;

namespace
{

jackdawpick::configuration vestkyst()
{
    jackdawpick::configuration c;

    // From the most to the least urgent. The shares sum to 1: each rank's part is promised in full. A briefing is worth
    // a hundred routine programs, but a day of briefings must not stop the roster.
    c.ranks = {
        {.name = "tide", .programTarget = 20s, .queueTarget = 1s, .worth = 100, .share = 0.8},
        {.name = "routine", .programTarget = 10min, .queueTarget = 60s, .worth = 1, .share = 0.2},
    };

    // Three engines hold the tide model even without demand, so that a briefing never waits for weights.
    c.pools = {
        {.model = "tide-7b",
         .pool = "tide-engines",
         .adapters = {"north", "south"},
         .version = "2026-11",
         .minEngines = 3},
        {.model = "lesson-7b", .pool = "tide-engines", .version = "2026-08"},
    };

    // A booking made twice or a lifeguard called out twice is worse than an answer "unknown": the caller then asks the
    // service. Reading the roster changes nothing and may be repeated, so that callers mark those calls idempotent.
    c.services = {
        {.name = "bookings",
         .pool = "bookings",
         .ranks = {"routine", "tide"},
         .callCost = 250,
         .timeout = 15s,
         .idempotentByDefault = false},
        {.name = "roster",
         .pool = "roster",
         .ranks = {"routine", "tide"},
         .callCost = 400,
         .timeout = 15s,
         .idempotentByDefault = false},
        {.name = "lifeguard-callout",
         .pool = "roster",
         .ranks = {"tide"},
         .callCost = 100,
         .timeout = 5s,
         .idempotentByDefault = false},
    };

    c.customers = {
        {.name = "vestkyst", .budgetTokens = 0}, // The default budget.
        {.name = "vestkyst-lessons", .budgetTokens = 300000},
    };

    c.limits.defaultBudgetTokens = 500000;
    c.limits.maxBudgetTokens = 1000000;
    c.limits.maxTurns = 200;
    c.limits.maxTokensPerCall = 4096;
    c.limits.callDeadline = 90s;
    return c;
}

} // namespace

int main()
{
    try {
        std::cout << jackdawpick::printConfiguration(vestkyst());
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return 1;
    }
    return 0;
}
