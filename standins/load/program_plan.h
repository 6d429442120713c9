#pragma once

// What the programs of a run will do, drawn from one seed. The same options give the same plans.
//
//   std::vector<program_plan> plans = planPrograms(options);

#include "load/load_options.h"

namespace jackdawpick::standins
{

struct planned_call
{
    std::chrono::milliseconds pauseBefore{0}; // Tool pause after the previous answer.
    std::vector<std::size_t> children{}; // Sub-agents that run before the call, as indices of program_plan::children.
    std::string text{}; // New user message of a model call.
    std::uint32_t maxTokens = 0;
    std::string service{}; // Empty for a model call.
    bool idempotent = true;
};

struct program_plan
{
    std::string name; // Program id, or its last part for a sub-agent.
    std::string customer;
    std::string rank;
    std::string zone;
    std::chrono::milliseconds arrival{0}; // From the start of the run; 0 for sub-agents.
    bool minted = false; // The daemon chooses the id.
    std::uint64_t budgetTokens = 0;
    std::vector<planned_call> calls; // The first and the last one are model calls.
    std::vector<program_plan> children;
};

// By arrival.
[[nodiscard]] std::vector<program_plan> planPrograms(const load_options &options);

} // namespace jackdawpick::standins
