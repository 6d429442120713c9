#pragma once

// Settings of the load tool, read from TOML. Every key has a default except `model` and `[[rank]]`.
//
//   load_options options = parseLoadOptions(text, "load.toml");

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::standins
{

struct load_rank
{
    std::string name;
    double programsPerSecond = 1;
};

// Multiplies the arrivals of a rank for a while.
struct load_flood
{
    std::string rank;
    std::chrono::milliseconds start{0};
    std::chrono::milliseconds end{0};
    double factor = 1;
};

struct load_options
{
    std::uint64_t seed = 1;
    std::uint32_t programs = 100; // Without sub-agents.
    std::string model;
    std::vector<std::string> customers{"wanza"};
    std::vector<std::string> zones; // Of the callers; empty: callers state no zone.
    double mintedShare = 0.5; // Programs whose id is left to the daemon.
    std::chrono::milliseconds deadline{20000}; // Sent with each call.
    std::chrono::milliseconds giveUp{40000}; // A turn without a final answer for this long ends its program.
    std::chrono::milliseconds retry{200}; // First wait after a broken connection; doubles up to ten times as much.
    std::uint64_t budgetTokens = 200000;
    std::vector<load_rank> ranks;
    std::vector<load_flood> floods;
    // [chain]: Pareto distribution of the number of turns.
    std::uint32_t minTurns = 2;
    std::uint32_t maxTurns = 20;
    double chainExponent = 1.5;
    // [pause]: log-normal tool pauses between turns.
    std::chrono::milliseconds pauseMedian{200};
    double pauseSigma = 1;
    std::chrono::milliseconds pauseMost{5000};
    // [tokens]
    std::uint32_t firstPromptTokens = 400;
    std::uint32_t promptTokens = 60;
    std::uint32_t answerTokens = 96;
    // [sub_agents]
    double subAgentShare = 0.15; // Programs that start sub-agents once.
    std::uint32_t subAgentsMost = 2;
    std::uint32_t subAgentTurns = 3;
    std::uint64_t subAgentBudgetTokens = 20000;
    // [services]
    std::vector<std::string> services;
    std::string servicePath = "run";
    double serviceShare = 0.3; // Turns between the first and the last one that call a service.
    double nonIdempotentShare = 0.5; // Of the service calls.
};

// Throws error(SettingsInvalid) with all errors in the message, one a line.
[[nodiscard]] load_options parseLoadOptions(std::string_view text, const std::string &file);
// Reads the file; throws error(SettingsInvalid).
[[nodiscard]] load_options loadLoadOptions(const std::string &file);

} // namespace jackdawpick::standins
