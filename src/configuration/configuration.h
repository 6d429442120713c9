#pragma once

// The cluster configuration that operators publish: ranks with targets and worth, services, model pools, customers and
// limits. Operators build it in a small C++ program and print it:
//
//   jackdawpick::configuration c;
//   c.ranks = {{.name = "tide", .programTarget = 20s, .worth = 100, .share = 0.8},
//              {.name = "routine", .programTarget = 600s, .worth = 1, .share = 0.2}};
//   c.pools = {{.model = "tide-7b", .pool = "tide-engines"}};
//   std::cout << jackdawpick::printConfiguration(c);
//
// In TOML the parts are [[rank]], [[model_pool]], [[service]], [[customer]] and [limits]; the keys are the members in
// snake case, times with "_ms", counts of tokens with "_tokens" (program_target_ms, call_cost_tokens, ...). Names of
// ranks, pools, services and customers are 1 to 64 letters, digits, '-', '_' or '.'; names of models, adapters and
// versions may also contain '/' and ':'.
//
// Thread compatible; no function keeps references to its arguments.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

// Ranks are listed from the most to the least urgent; at most maxRanks.
inline constexpr std::size_t maxRanks = 8;

struct rank_policy
{
    std::string name;
    std::chrono::milliseconds programTarget{60000}; // Latency of the whole program that is still good.
    std::chrono::milliseconds queueTarget{1700}; // Longest wait of one call for an endpoint before it is refused.
    double worth = 1; // Value of a program that meets its target, in the operator's own unit; above 0.
    double share = 0; // Smallest part of the service that the rank keeps in a flood, 0 to 1; the sum is at most 1.
    bool operator==(const rank_policy &) const = default;
};

// Engines of `pool` in the host list serve `model`.
struct model_pool
{
    std::string model; // Unique: a model is served by one pool.
    std::string pool; // May serve further models, but no service.
    std::vector<std::string> adapters{}; // Initialised, so that designated initialisers may leave them out.
    std::string version{};
    std::uint32_t minEngines = 0; // Engines kept loaded with the model even without demand.
    bool operator==(const model_pool &) const = default;
};

// Plain service whose instances are the hosts of `pool`.
struct service_definition
{
    std::string name;
    std::string pool{};
    std::vector<std::string> ranks{}; // Ranks of work that the service carries; the first is the default.
    std::uint64_t callCost = 0; // Tokens charged to the program's budget for one call.
    std::chrono::milliseconds timeout{30000};
    bool idempotentByDefault = false;
    bool operator==(const service_definition &) const = default;
};

struct customer_policy
{
    std::string name;
    std::uint64_t budgetTokens = 0; // Budget of a program; 0 takes the default of the limits.
    bool operator==(const customer_policy &) const = default;
};

struct limit_policy
{
    std::uint64_t defaultBudgetTokens = 500000;
    std::uint64_t maxBudgetTokens = 2000000;
    std::uint32_t maxTurns = 560;
    std::uint64_t maxHistoryTokens = 460000;
    std::uint32_t maxTokensPerCall = 8192;
    std::chrono::milliseconds programLease{600000}; // A program without a call for this long is closed.
    std::chrono::milliseconds callDeadline{120000};
    double retryRatio = 0.1; // Retries allowed as a part of first attempts, 0 to 1.
    double hedgeRatio = 0.02; // Hedged attempts allowed as a part of first attempts, 0 to 1.
    bool operator==(const limit_policy &) const = default;
};

struct configuration
{
    std::vector<rank_policy> ranks;
    std::vector<model_pool> pools;
    std::vector<service_definition> services;
    std::vector<customer_policy> customers; // Empty: every customer is served with the default budget.
    limit_policy limits;
    bool operator==(const configuration &) const = default;
};

// One error of a configuration text or value. `key` is a dotted path such as "rank[1].share".
struct configuration_error
{
    std::string key;
    std::uint32_t line = 0; // 1-based; 0 where the value did not come from a text.
    std::string expected;
};

struct parsed_configuration
{
    configuration value; // Meaningful only without errors.
    std::vector<configuration_error> errors;
};

// Reads TOML: unknown keys, wrong types and everything that validateConfiguration() finds, all errors at once.
// Deterministic, so that every daemon comes to the same verdict on the same text.
[[nodiscard]] parsed_configuration parseConfiguration(std::string_view text);

// Ranges, duplicates and references between parts.
[[nodiscard]] std::vector<configuration_error> validateConfiguration(const configuration &value);

// TOML text that parseConfiguration() reads back to an equal value. Throws error(ConfigurationInvalid) with all errors
// in the message if the value does not validate.
[[nodiscard]] std::string printConfiguration(const configuration &value);

// One line an error: "line 4: rank[1].share: expected a number from 0 to 1".
[[nodiscard]] std::string toString(const configuration_error &problem);

} // namespace jackdawpick
