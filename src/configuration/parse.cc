#include "configuration/configuration.h"

#include "toml_text/toml_text.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>

namespace jackdawpick
{

namespace
{

// Reads the tree into the value and remembers the line of each key. Ranges are left to validateConfiguration(), so
// that a text and a value built by a program are judged by the same rules.
class configuration_reader
{
public:
    parsed_configuration read(std::string_view text)
    {
        if (const auto root = parseToml(text, m_errors)) {
            readRoot(*root);
            addValidationErrors();
        }
        parsed_configuration result;
        result.value = std::move(m_value);
        std::ranges::stable_sort(m_errors, {}, &toml_error::line);
        for (auto &problem : m_errors) {
            result.errors.push_back({std::move(problem.key), problem.line, std::move(problem.expected)});
        }
        return result;
    }

private:
    void readRoot(const toml_node &root)
    {
        table_reader top(root, "", m_errors);
        readAll(top, "rank", m_value.ranks, &configuration_reader::readRank);
        readAll(top, "model_pool", m_value.pools, &configuration_reader::readPool);
        readAll(top, "service", m_value.services, &configuration_reader::readService);
        readAll(top, "customer", m_value.customers, &configuration_reader::readCustomer);
        if (const toml_node *limits = top.table("limits")) {
            table_reader reader(*limits, "limits", m_errors);
            readLimits(reader, m_value.limits);
            reader.finish();
        }
        top.finish();
    }

    template<typename T>
    void readAll(table_reader &top, const std::string &key, std::vector<T> &target,
                 void (configuration_reader::*readOne)(table_reader &, T &))
    {
        m_lines[key] = top.has(key) ? top.lineOf(key) : 0;
        for (const toml_node *node : top.tables(key)) {
            const std::string path = fmt::format("{}[{}]", key, target.size());
            m_lines[path] = node->line;
            table_reader reader(*node, path, m_errors);
            (this->*readOne)(reader, target.emplace_back());
            reader.finish();
        }
    }

    void readRank(table_reader &reader, rank_policy &rank)
    {
        set(reader, "name", rank.name);
        set(reader, "program_target_ms", rank.programTarget);
        set(reader, "queue_target_ms", rank.queueTarget);
        set(reader, "worth", rank.worth);
        set(reader, "share", rank.share);
    }

    void readPool(table_reader &reader, model_pool &pool)
    {
        set(reader, "model", pool.model);
        set(reader, "pool", pool.pool);
        set(reader, "adapters", pool.adapters);
        set(reader, "version", pool.version);
        set(reader, "min_engines", pool.minEngines);
    }

    void readService(table_reader &reader, service_definition &service)
    {
        set(reader, "name", service.name);
        set(reader, "pool", service.pool);
        set(reader, "ranks", service.ranks);
        set(reader, "call_cost_tokens", service.callCost);
        set(reader, "timeout_ms", service.timeout);
        set(reader, "idempotent_by_default", service.idempotentByDefault);
    }

    void readCustomer(table_reader &reader, customer_policy &customer)
    {
        set(reader, "name", customer.name);
        set(reader, "budget_tokens", customer.budgetTokens);
    }

    void readLimits(table_reader &reader, limit_policy &limits)
    {
        m_lines["limits"] = 0;
        set(reader, "default_budget_tokens", limits.defaultBudgetTokens);
        set(reader, "max_budget_tokens", limits.maxBudgetTokens);
        set(reader, "max_turns", limits.maxTurns);
        set(reader, "max_history_tokens", limits.maxHistoryTokens);
        set(reader, "max_tokens_per_call", limits.maxTokensPerCall);
        set(reader, "program_lease_ms", limits.programLease);
        set(reader, "call_deadline_ms", limits.callDeadline);
        set(reader, "retry_ratio", limits.retryRatio);
        set(reader, "hedge_ratio", limits.hedgeRatio);
    }

    template<typename T> void set(table_reader &reader, std::string_view key, T &target)
    {
        if (reader.has(key)) {
            m_lines[reader.pathOf(key)] = reader.lineOf(key);
        }
        if (auto value = get(reader, key, target)) {
            target = std::move(*value);
        }
    }

    static std::optional<std::string> get(table_reader &reader, std::string_view key, const std::string & /*type*/)
    {
        return reader.text(key);
    }
    static std::optional<std::vector<std::string>> get(table_reader &reader, std::string_view key,
                                                       const std::vector<std::string> & /*type*/)
    {
        return reader.texts(key);
    }
    static std::optional<double> get(table_reader &reader, std::string_view key, const double & /*type*/)
    {
        return reader.number(key);
    }
    static std::optional<bool> get(table_reader &reader, std::string_view key, const bool & /*type*/)
    {
        return reader.boolean(key);
    }
    static std::optional<std::uint32_t> get(table_reader &reader, std::string_view key, const std::uint32_t & /*type*/)
    {
        return reader.integer(key, 0, std::numeric_limits<std::uint32_t>::max());
    }
    static std::optional<std::uint64_t> get(table_reader &reader, std::string_view key, const std::uint64_t & /*type*/)
    {
        return reader.integer(key, 0, std::numeric_limits<std::int64_t>::max());
    }
    static std::optional<std::chrono::milliseconds> get(table_reader &reader, std::string_view key,
                                                        const std::chrono::milliseconds & /*type*/)
    {
        const auto value = reader.integer(key, 0, std::numeric_limits<std::int64_t>::max());
        return value ? std::optional(std::chrono::milliseconds(*value)) : std::nullopt;
    }

    // Errors of the value, at the line of the key or of the part that lacks it. A key that already has an error of its
    // own kept its default, so that further errors about it would be misleading.
    void addValidationErrors()
    {
        const std::size_t readErrors = m_errors.size();
        for (auto &problem : validateConfiguration(m_value)) {
            const auto first = m_errors.begin();
            const auto last = first + static_cast<std::ptrdiff_t>(readErrors);
            if (std::find_if(first, last, [&](const toml_error &seen) { return seen.key == problem.key; }) == last) {
                m_errors.push_back({problem.key, lineOf(problem.key), std::move(problem.expected)});
            }
        }
    }

    [[nodiscard]] std::uint32_t lineOf(const std::string &key) const
    {
        if (const auto exact = m_lines.find(key); exact != m_lines.end()) {
            return exact->second;
        }
        const auto part = m_lines.find(key.substr(0, key.rfind('.')));
        return part != m_lines.end() ? part->second : 0;
    }

    configuration m_value;
    toml_errors m_errors;
    std::map<std::string, std::uint32_t> m_lines;
};

} // namespace

parsed_configuration parseConfiguration(std::string_view text)
{
    return configuration_reader().read(text);
}

} // namespace jackdawpick
