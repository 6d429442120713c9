#include "configuration/configuration.h"

#include "results/results.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iterator>

namespace jackdawpick
{

namespace
{

// Names that validate contain no character that TOML escapes.
std::string quoted(const std::string &name)
{
    return fmt::format("\"{}\"", name);
}

std::string list(const std::vector<std::string> &names)
{
    std::vector<std::string> parts;
    std::ranges::transform(names, std::back_inserter(parts), quoted);
    return fmt::format("[{}]", fmt::join(parts, ", "));
}

void printTo(std::string &text, const rank_policy &rank)
{
    text +=
        fmt::format("\n[[rank]]\nname = {}\nprogram_target_ms = {}\nqueue_target_ms = {}\nworth = {}\nshare = {}\n",
                    quoted(rank.name), rank.programTarget.count(), rank.queueTarget.count(), rank.worth, rank.share);
}

void printTo(std::string &text, const model_pool &pool)
{
    text +=
        fmt::format("\n[[model_pool]]\nmodel = {}\npool = {}\nadapters = {}\nversion = {}\nmin_engines = {}\n",
                    quoted(pool.model), quoted(pool.pool), list(pool.adapters), quoted(pool.version), pool.minEngines);
}

void printTo(std::string &text, const service_definition &service)
{
    text += fmt::format("\n[[service]]\nname = {}\npool = {}\nranks = {}\ncall_cost_tokens = {}\ntimeout_ms = {}\n"
                        "idempotent_by_default = {}\n",
                        quoted(service.name), quoted(service.pool), list(service.ranks), service.callCost,
                        service.timeout.count(), service.idempotentByDefault);
}

void printTo(std::string &text, const customer_policy &customer)
{
    text +=
        fmt::format("\n[[customer]]\nname = {}\nbudget_tokens = {}\n", quoted(customer.name), customer.budgetTokens);
}

void printTo(std::string &text, const limit_policy &limits)
{
    text += fmt::format("\n[limits]\ndefault_budget_tokens = {}\nmax_budget_tokens = {}\nmax_turns = {}\n"
                        "max_history_tokens = {}\nmax_tokens_per_call = {}\nprogram_lease_ms = {}\n"
                        "call_deadline_ms = {}\nretry_ratio = {}\nhedge_ratio = {}\n",
                        limits.defaultBudgetTokens, limits.maxBudgetTokens, limits.maxTurns, limits.maxHistoryTokens,
                        limits.maxTokensPerCall, limits.programLease.count(), limits.callDeadline.count(),
                        limits.retryRatio, limits.hedgeRatio);
}

void throwOnErrors(const configuration &value)
{
    const auto errors = validateConfiguration(value);
    if (errors.empty()) {
        return;
    }
    std::vector<std::string> lines;
    std::ranges::transform(errors, std::back_inserter(lines),
                           [](const configuration_error &problem) { return toString(problem); });
    throw error(result_code::ConfigurationInvalid, fmt::format("{}", fmt::join(lines, "\n")));
}

} // namespace

std::string printConfiguration(const configuration &value)
{
    throwOnErrors(value);
    std::string text = "# jackdawpick configuration. Ranks are listed from the most to the least urgent.\n";
    const auto printAll = [&text](const auto &parts) {
        for (const auto &part : parts) {
            printTo(text, part);
        }
    };
    printAll(value.ranks);
    printAll(value.pools);
    printAll(value.services);
    printAll(value.customers);
    printTo(text, value.limits);
    return text;
}

} // namespace jackdawpick
