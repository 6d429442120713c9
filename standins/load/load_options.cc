#include "load/load_options.h"

#include "results/results.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <set>
#include <toml++/toml.h>

namespace jackdawpick::standins
{

namespace
{

// Takes keys out of one table and notes every error; keys that nobody took are unknown.
class table_reader
{
public:
    table_reader(const toml::table &table, std::string prefix, std::vector<std::string> &errors)
        : m_table(table)
        , m_prefix(std::move(prefix))
        , m_errors(errors)
    {
    }

    template<typename T> void take(const char *key, T &value, double least, double most)
    {
        const auto *node = find(key);
        if (node == nullptr) {
            return;
        }
        const auto given = node->value<double>();
        if (!given || *given < least || *given > most) {
            m_errors.push_back(fmt::format("{}{}: expected a number from {} to {}", m_prefix, key, least, most));
            return;
        }
        value = static_cast<T>(*given);
    }

    void take(const char *key, std::chrono::milliseconds &value, double most)
    {
        auto count = value.count();
        take(key, count, 0, most);
        value = std::chrono::milliseconds(count);
    }

    void take(const char *key, std::string &value)
    {
        if (const auto *node = find(key)) {
            const auto given = node->value<std::string>();
            if (!given || given->empty()) {
                m_errors.push_back(fmt::format("{}{}: expected a text", m_prefix, key));
            }
            value = given.value_or("");
        }
    }

    void take(const char *key, std::vector<std::string> &value)
    {
        const auto *node = find(key);
        if (node == nullptr) {
            return;
        }
        value.clear();
        const auto *list = node->as_array();
        for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
            value.push_back(list->get(index)->value_or(std::string()));
        }
        if (list == nullptr || std::ranges::find(value, std::string()) != value.end()) {
            m_errors.push_back(fmt::format("{}{}: expected a list of texts", m_prefix, key));
        }
    }

    // Calls `read` with a reader for each table of the array `key`.
    template<typename Function> void each(const char *key, const Function &read)
    {
        const auto *node = find(key);
        const auto *list = node == nullptr ? nullptr : node->as_array();
        for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
            if (const auto *entry = list->get(index)->as_table()) {
                table_reader reader(*entry, fmt::format("{}{}[{}].", m_prefix, key, index), m_errors);
                read(reader);
                reader.finish();
            }
        }
    }

    template<typename Function> void section(const char *key, const Function &read)
    {
        const auto *node = find(key);
        const auto *entry = node == nullptr ? nullptr : node->as_table();
        if (entry != nullptr) {
            table_reader reader(*entry, fmt::format("{}{}.", m_prefix, key), m_errors);
            read(reader);
            reader.finish();
        }
    }

    void finish()
    {
        for (const auto &[key, node] : m_table) {
            if (!m_taken.contains(std::string(key.str()))) {
                m_errors.push_back(fmt::format("{}{}: unknown key", m_prefix, std::string(key.str())));
            }
        }
    }

private:
    const toml::node *find(const char *key)
    {
        m_taken.insert(key);
        return m_table.get(key);
    }

    const toml::table &m_table;
    std::string m_prefix;
    std::vector<std::string> &m_errors;
    std::set<std::string> m_taken;
};

constexpr double maxMilliseconds = 3600000;

void readTop(table_reader &top, load_options &options)
{
    top.take("seed", options.seed, 0, 1e15);
    top.take("programs", options.programs, 1, 1e6);
    top.take("model", options.model);
    top.take("customers", options.customers);
    top.take("zones", options.zones);
    top.take("minted_share", options.mintedShare, 0, 1);
    top.take("deadline_ms", options.deadline, maxMilliseconds);
    top.take("give_up_ms", options.giveUp, maxMilliseconds);
    top.take("retry_ms", options.retry, maxMilliseconds);
    top.take("budget_tokens", options.budgetTokens, 0, 1e9);
    top.each("rank", [&options](table_reader &reader) {
        load_rank rank;
        reader.take("name", rank.name);
        reader.take("programs_per_second", rank.programsPerSecond, 0.001, 1e5);
        options.ranks.push_back(rank);
    });
    top.each("flood", [&options](table_reader &reader) {
        load_flood flood;
        reader.take("rank", flood.rank);
        reader.take("start_ms", flood.start, maxMilliseconds);
        reader.take("end_ms", flood.end, maxMilliseconds);
        reader.take("factor", flood.factor, 0, 1000);
        options.floods.push_back(flood);
    });
}

void readSections(table_reader &top, load_options &options)
{
    top.section("chain", [&options](table_reader &reader) {
        reader.take("min_turns", options.minTurns, 1, 560);
        reader.take("max_turns", options.maxTurns, 1, 560);
        reader.take("exponent", options.chainExponent, 0.1, 100);
    });
    top.section("pause", [&options](table_reader &reader) {
        reader.take("median_ms", options.pauseMedian, maxMilliseconds);
        reader.take("sigma", options.pauseSigma, 0, 5);
        reader.take("most_ms", options.pauseMost, maxMilliseconds);
    });
    top.section("tokens", [&options](table_reader &reader) {
        reader.take("first_prompt", options.firstPromptTokens, 1, 460000);
        reader.take("prompt", options.promptTokens, 1, 460000);
        reader.take("answer", options.answerTokens, 4, 8192);
    });
    top.section("sub_agents", [&options](table_reader &reader) {
        reader.take("share", options.subAgentShare, 0, 1);
        reader.take("most", options.subAgentsMost, 1, 100);
        reader.take("turns", options.subAgentTurns, 1, 560);
        reader.take("budget_tokens", options.subAgentBudgetTokens, 0, 1e9);
    });
    top.section("services", [&options](table_reader &reader) {
        reader.take("names", options.services);
        reader.take("path", options.servicePath);
        reader.take("share", options.serviceShare, 0, 1);
        reader.take("non_idempotent_share", options.nonIdempotentShare, 0, 1);
    });
}

void check(const load_options &options, std::vector<std::string> &errors)
{
    if (options.model.empty()) {
        errors.emplace_back("model: expected a text");
    }
    if (options.ranks.empty()) {
        errors.emplace_back("rank: expected at least one [[rank]]");
    }
    if (options.customers.empty()) {
        errors.emplace_back("customers: expected at least one");
    }
    if (options.minTurns > options.maxTurns) {
        errors.emplace_back("chain.max_turns: expected at least chain.min_turns");
    }
    for (const auto &flood : options.floods) {
        if (std::ranges::find(options.ranks, flood.rank, &load_rank::name) == options.ranks.end()) {
            errors.push_back(fmt::format("flood.rank: expected one of [[rank]], not {}", flood.rank));
        }
    }
}

} // namespace

load_options parseLoadOptions(std::string_view text, const std::string &file)
{
    load_options options;
    std::vector<std::string> errors;
    try {
        const auto table = toml::parse(text, file);
        table_reader top(table, "", errors);
        readTop(top, options);
        readSections(top, options);
        top.finish();
        check(options, errors);
    } catch (const toml::parse_error &problem) {
        errors.push_back(fmt::format("line {}: {}", problem.source().begin.line, problem.description()));
    }
    if (!errors.empty()) {
        std::string message;
        for (const auto &line : errors) {
            message += fmt::format("{}{}: {}", message.empty() ? "" : "\n", file, line);
        }
        throw error(result_code::SettingsInvalid, message);
    }
    return options;
}

load_options loadLoadOptions(const std::string &file)
{
    std::ifstream input(file);
    if (!input) {
        throw error(result_code::SettingsInvalid, fmt::format("{}: cannot be read", file));
    }
    const std::string text{std::istreambuf_iterator<char>(input), {}};
    return parseLoadOptions(text, file);
}

} // namespace jackdawpick::standins
