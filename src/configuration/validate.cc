#include "configuration/configuration.h"

#include "configuration/internal/ranges.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <set>

namespace jackdawpick
{

namespace
{

using configuration_ranges::bounds;

constexpr std::size_t maxNameLength = 64;
constexpr std::string_view plainCharacters = "-_.";
// Models are named as "organisation/model:version" by many registries. Other names stand in paths of URLs or in
// "customer/program" and may not contain these.
constexpr std::string_view modelCharacters = "-_./:";
// Sums of shares such as 0.7 + 0.2 + 0.1 exceed 1 by a rounding error.
constexpr double shareTolerance = 1e-9;

class validator
{
public:
    explicit validator(const configuration &value)
        : m_value(value)
    {
    }

    std::vector<configuration_error> run()
    {
        checkRanks();
        checkPools();
        checkServices();
        checkCustomers();
        checkLimits();
        return std::move(m_errors);
    }

private:
    void fail(std::string key, std::string expected)
    {
        m_errors.push_back({std::move(key), 0, std::move(expected)});
    }

    void checkName(const std::string &key, std::string_view name, std::string_view further = plainCharacters)
    {
        const bool valid = !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, [&](char c) {
            return std::isalnum(static_cast<unsigned char>(c)) != 0 || further.find(c) != std::string_view::npos;
        });
        // "." and ".." would be steps of a path.
        if (!valid || name == "." || name == "..") {
            fail(key, fmt::format("expected 1 to {} letters, digits or any of \"{}\"", maxNameLength, further));
        }
    }

    // A name that appears for the second time; `first` holds where each was seen.
    void checkUnique(std::map<std::string_view, std::string> &first, const std::string &key, std::string_view name)
    {
        const auto [seen, isNew] = first.try_emplace(name, key);
        if (!isNew && !name.empty()) {
            fail(key, fmt::format("expected a name other than that of {}", seen->second));
        }
    }

    template<typename T> void checkRange(const std::string &key, T value, bounds range)
    {
        const auto number = configuration_ranges::asInteger(value);
        if (number < range.lowest || number > range.highest) {
            fail(key, fmt::format("expected an integer from {} to {}", range.lowest, range.highest));
        }
    }

    void checkPart(const std::string &key, double value)
    {
        if (!(value >= 0 && value <= 1)) {
            fail(key, "expected a number from 0 to 1");
        }
    }

    void checkRanks()
    {
        if (m_value.ranks.empty() || m_value.ranks.size() > maxRanks) {
            fail("rank", fmt::format("expected 1 to {} ranks", maxRanks));
        }
        double shares = 0;
        for (std::size_t i = 0; i < m_value.ranks.size(); ++i) {
            const auto &rank = m_value.ranks[i];
            const std::string path = fmt::format("rank[{}]", i);
            checkName(path + ".name", rank.name);
            checkUnique(m_ranks, path + ".name", rank.name);
            checkRange(path + ".program_target_ms", rank.programTarget, configuration_ranges::programTarget);
            checkRange(path + ".queue_target_ms", rank.queueTarget, configuration_ranges::queueTarget);
            if (rank.queueTarget > rank.programTarget) {
                fail(path + ".queue_target_ms", "expected at most program_target_ms");
            }
            if (!(rank.worth > 0 && std::isfinite(rank.worth))) {
                fail(path + ".worth", "expected a number above 0");
            }
            checkPart(path + ".share", rank.share);
            shares += rank.share;
        }
        if (shares > 1 + shareTolerance) {
            fail("rank", fmt::format("expected shares with a sum of at most 1, not {}", shares));
        }
    }

    void checkPools()
    {
        std::map<std::string_view, std::string> models;
        for (std::size_t i = 0; i < m_value.pools.size(); ++i) {
            const auto &pool = m_value.pools[i];
            const std::string path = fmt::format("model_pool[{}]", i);
            checkName(path + ".model", pool.model, modelCharacters);
            checkUnique(models, path + ".model", pool.model);
            checkName(path + ".pool", pool.pool);
            m_enginePools.emplace(pool.pool);
            std::map<std::string_view, std::string> adapters;
            for (const std::string &adapter : pool.adapters) {
                checkName(path + ".adapters", adapter, modelCharacters);
                checkUnique(adapters, path + ".adapters", adapter);
            }
            if (!pool.version.empty()) {
                checkName(path + ".version", pool.version, modelCharacters);
            }
            checkRange(path + ".min_engines", pool.minEngines, configuration_ranges::minEngines);
        }
    }

    void checkServices()
    {
        std::map<std::string_view, std::string> names;
        for (std::size_t i = 0; i < m_value.services.size(); ++i) {
            const auto &service = m_value.services[i];
            const std::string path = fmt::format("service[{}]", i);
            checkName(path + ".name", service.name);
            checkUnique(names, path + ".name", service.name);
            checkName(path + ".pool", service.pool);
            if (m_enginePools.contains(service.pool) && !service.pool.empty()) {
                fail(path + ".pool", "expected a pool that no model_pool names");
            }
            checkServiceRanks(path + ".ranks", service.ranks);
            checkRange(path + ".call_cost_tokens", service.callCost, configuration_ranges::callCost);
            checkRange(path + ".timeout_ms", service.timeout, configuration_ranges::serviceTimeout);
        }
    }

    void checkServiceRanks(const std::string &key, const std::vector<std::string> &ranks)
    {
        if (ranks.empty()) {
            fail(key, "expected at least one rank; the first is the default");
        }
        std::set<std::string_view> seen;
        for (const std::string &rank : ranks) {
            if (!m_ranks.contains(rank)) {
                fail(key, fmt::format("expected names of ranks, not \"{}\"", rank));
            } else if (!seen.insert(rank).second) {
                fail(key, fmt::format("expected each rank once, not \"{}\" again", rank));
            }
        }
    }

    void checkCustomers()
    {
        std::map<std::string_view, std::string> names;
        for (std::size_t i = 0; i < m_value.customers.size(); ++i) {
            const auto &customer = m_value.customers[i];
            const std::string path = fmt::format("customer[{}]", i);
            checkName(path + ".name", customer.name);
            checkUnique(names, path + ".name", customer.name);
            if (customer.budgetTokens > m_value.limits.maxBudgetTokens) {
                fail(path + ".budget_tokens", "expected at most limits.max_budget_tokens");
            }
        }
    }

    void checkLimits()
    {
        const auto &limits = m_value.limits;
        checkRange("limits.default_budget_tokens", limits.defaultBudgetTokens, configuration_ranges::budgetTokens);
        checkRange("limits.max_budget_tokens", limits.maxBudgetTokens, configuration_ranges::budgetTokens);
        checkRange("limits.max_turns", limits.maxTurns, configuration_ranges::maxTurns);
        checkRange("limits.max_history_tokens", limits.maxHistoryTokens, configuration_ranges::historyTokens);
        checkRange("limits.max_tokens_per_call", limits.maxTokensPerCall, configuration_ranges::tokensPerCall);
        checkRange("limits.program_lease_ms", limits.programLease, configuration_ranges::programLease);
        checkRange("limits.call_deadline_ms", limits.callDeadline, configuration_ranges::callDeadline);
        checkPart("limits.retry_ratio", limits.retryRatio);
        checkPart("limits.hedge_ratio", limits.hedgeRatio);
        if (limits.defaultBudgetTokens > limits.maxBudgetTokens) {
            fail("limits.default_budget_tokens", "expected at most limits.max_budget_tokens");
        }
    }

    const configuration &m_value;
    std::vector<configuration_error> m_errors;
    std::map<std::string_view, std::string> m_ranks;
    std::set<std::string_view> m_enginePools;
};

} // namespace

std::vector<configuration_error> validateConfiguration(const configuration &value)
{
    return validator(value).run();
}

std::string toString(const configuration_error &problem)
{
    const std::string line = problem.line > 0 ? fmt::format("line {}: ", problem.line) : "";
    const std::string key = problem.key.empty() ? "" : problem.key + ": ";
    return line + key + problem.expected;
}

} // namespace jackdawpick
