// Prints the configuration of Wanza Board Oils PLC, Addis: 3 availability zones, 12 model engines, 7 endpoints of the
// order and payment application. Wanza's fleet is small and traders leave when they have to wait, so that a trader's
// question goes before the routine reorder plans.
//
//   ./wanza > wanza.toml
//   jackdawpickctl validate wanza.toml
//   jackdawpickctl --admin 127.0.0.1:7102 publish wanza.toml --base 0

#include "configuration/configuration.h"

#include <iostream>

using namespace std::chrono_literals;

namespace
{

jackdawpick::configuration wanza()
{
    jackdawpick::configuration c;

    // From the most to the least urgent. In a flood of traders' questions the reorder plans keep a quarter of the
    // service, so that stock still gets ordered. The remaining 0.15 goes wherever it earns most.
    c.ranks = {
        {.name = "trader", .programTarget = 15s, .queueTarget = 1500ms, .worth = 60, .share = 0.6},
        {.name = "routine", .programTarget = 15min, .queueTarget = 60s, .worth = 1, .share = 0.25},
    };

    // Both models run on the same 12 engines. Two engines keep the trading model even without demand, since loading
    // weights takes longer than a trader waits.
    c.pools = {
        {.model = "trade-13b", .pool = "engines", .adapters = {"prices"}, .version = "2026-10", .minEngines = 2},
        {.model = "plan-13b", .pool = "engines", .version = "2026-09"},
    };

    // Money moves once: a payment, refund or order whose outcome is unknown is reported as unknown and never repeated.
    // A call is charged to the program's budget at about the tokens that its answer adds to the next prompt.
    c.services = {
        {.name = "payment",
         .pool = "payment",
         .ranks = {"trader", "routine"},
         .callCost = 200,
         .timeout = 10s,
         .idempotentByDefault = false},
        {.name = "refund",
         .pool = "payment",
         .ranks = {"trader", "routine"},
         .callCost = 200,
         .timeout = 10s,
         .idempotentByDefault = false},
        {.name = "orders",
         .pool = "orders",
         .ranks = {"routine", "trader"},
         .callCost = 300,
         .timeout = 20s,
         .idempotentByDefault = false},
    };

    c.customers = {
        {.name = "wanza", .budgetTokens = 0}, // The default budget.
        {.name = "wanza-planning", .budgetTokens = 1500000}, // Plans run over many turns.
    };

    c.limits.defaultBudgetTokens = 400000;
    c.limits.maxBudgetTokens = 2000000;
    c.limits.maxTurns = 120;
    c.limits.maxTokensPerCall = 4096;
    c.limits.callDeadline = 60s;
    // A larger part would let retries double a flood on a fleet of 12 engines.
    c.limits.retryRatio = 0.1;
    return c;
}

} // namespace

int main()
{
    try {
        std::cout << jackdawpick::printConfiguration(wanza());
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return 1;
    }
    return 0;
}
