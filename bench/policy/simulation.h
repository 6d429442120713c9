#pragma once

// Runs one workload against one set of policies on virtual time: callers, daemons, network delays and engines.

#include "daemon_model.h"
#include "workload.h"

namespace jackdawpick::bench
{

struct fault_plan
{
    bool crash = false; // Engine 0 dies 20 s into the flood and is back 15 s later.
    bool lateReports = false; // Load reports take 2 s instead of 0.25 s during the flood.
};

struct run_plan
{
    fleet_shape fleet;
    scheduler_options options;
    double load = 0.7;
    flood_plan flood;
    fault_plan faults;
    double arrivalsEnd = 420;
    double end = 1200; // Programs that have not ended then count as abandoned.
    std::uint64_t seed = 1;
};

struct program_result
{
    double start = 0;
    double latency = 0; // Infinite for a program that was given up.
    double ideal = 0;
    rank_index rank = 0;
    bool ofFlood = false;
    bool refused = false; // Its first call was refused at least once.
};

struct call_result
{
    double finished = 0;
    double slotSeconds = 0; // At full batch with a cached prefix: the useful work.
    double queued = 0; // Seconds in the engine's queue.
    double prefill = 0; // Seconds from the slot to the first token.
    double decode = 0;
    double output = 0;
    double uncached = 0;
    rank_index rank = 0;
    bool useful = false; // The program was completed.
};

struct run_result
{
    std::vector<program_result> programs; // Without sub-agents.
    std::vector<call_result> calls;
    slot_windows windows; // Of all engines.
    double wastedTokens = 0; // History that was computed again.
    double servedTokens = 0; // Prompt and output of finished calls.
    double lastRefusalAfterFlood = 0; // Seconds after the end of the flood; of normal programs that started since.
    double fleetSlots = 0;
};

[[nodiscard]] run_result simulate(const run_plan &plan);

} // namespace jackdawpick::bench
