#include "toml_text/toml_text.h"

#include <algorithm>
#include <fmt/format.h>
#include <toml++/toml.h>

namespace jackdawpick
{

namespace
{

// Checks the bounds of toml_text.h before toml++ sees the text. Up to its first error of syntax a text means the same
// to this scanner and to toml++, and toml++ stops there.
class bounds_scanner
{
public:
    explicit bounds_scanner(toml_errors &errors)
        : m_errors(errors)
    {
    }

    bool accepts(std::string_view text)
    {
        if (text.size() > maxTomlBytes) {
            m_errors.push_back({"", 0, fmt::format("expected at most {} bytes of text", maxTomlBytes)});
            return false;
        }
        for (std::size_t i = 0; i < text.size() && m_errors.empty(); ++i) {
            i = step(text, i);
        }
        return m_errors.empty();
    }

private:
    // Handles the character at `i` and returns the position of the last one consumed.
    std::size_t step(std::string_view text, std::size_t i)
    {
        const char c = text[i];
        switch (c) {
        case '"':
        case '\'':
            return skipString(text, i);
        case '#':
            return std::min(text.find('\n', i), text.size()) - 1;
        case '.':
            if (++m_dots >= maxTomlDottedParts) {
                fail(fmt::format("expected a key of at most {} dotted parts", maxTomlDottedParts));
            }
            break;
        case '[':
        case '{':
            m_dots = 0;
            if (++m_depth > maxTomlDepth) {
                fail(fmt::format("expected at most {} levels of nesting", maxTomlDepth));
            }
            break;
        case ']':
        case '}':
            m_dots = 0;
            m_depth -= m_depth > 0 ? 1 : 0;
            break;
        case '\n':
            ++m_line;
            m_dots = 0;
            break;
        case '=':
        case ',':
            m_dots = 0;
            break;
        default:
            break;
        }
        return i;
    }

    std::size_t skipString(std::string_view text, std::size_t i)
    {
        const char quote = text[i];
        if (text.substr(i, 3) == std::string(3, quote)) {
            fail("expected no multi-line string");
            return i;
        }
        for (++i; i < text.size() && text[i] != quote && text[i] != '\n'; ++i) {
            if (quote == '"' && text[i] == '\\' && i + 1 < text.size() && text[i + 1] != '\n') {
                ++i;
            }
        }
        return i < text.size() && text[i] == '\n' ? i - 1 : i;
    }

    void fail(std::string expected)
    {
        m_errors.push_back({"", m_line, std::move(expected)});
    }

    toml_errors &m_errors;
    std::uint32_t m_line = 1;
    std::size_t m_dots = 0;
    std::size_t m_depth = 0;
};

toml_node convert(const toml::node &from)
{
    toml_node to;
    to.line = from.source().begin.line;
    if (const auto *table = from.as_table()) {
        toml_node::table entries;
        for (const auto &[key, node] : *table) {
            entries.push_back({std::string(key.str()), convert(node)});
            // Tables that exist only through a dotted key have no position of their own.
            if (entries.back().node.line == 0) {
                entries.back().node.line = key.source().begin.line;
            }
        }
        to.value = std::move(entries);
    } else if (const auto *array = from.as_array()) {
        toml_node::array elements;
        for (const toml::node &node : *array) {
            elements.push_back(convert(node));
        }
        to.value = std::move(elements);
    } else if (const auto *string = from.as_string()) {
        to.value = string->get();
    } else if (const auto *integer = from.as_integer()) {
        to.value = integer->get();
    } else if (const auto *number = from.as_floating_point()) {
        to.value = number->get();
    } else if (const auto *boolean = from.as_boolean()) {
        to.value = boolean->get();
    } else {
        to.value = toml_other{};
    }
    return to;
}

} // namespace

std::optional<toml_node> parseToml(std::string_view text, toml_errors &errors)
{
    toml_errors found;
    if (!bounds_scanner(found).accepts(text)) {
        errors.insert(errors.end(), found.begin(), found.end());
        return {};
    }
    try {
        return convert(toml::parse(text));
    } catch (const toml::parse_error &problem) {
        errors.push_back(
            {"", problem.source().begin.line, fmt::format("expected valid TOML: {}", problem.description())});
    } catch (const std::exception &problem) {
        errors.push_back({"", 0, fmt::format("expected valid TOML: {}", problem.what())});
    }
    return {};
}

table_reader::table_reader(const toml_node &node, std::string path, toml_errors &errors)
    : m_table(std::get_if<toml_node::table>(&node.value))
    , m_line(node.line)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (m_table == nullptr) {
        m_errors.push_back({m_path, node.line, "expected a table"});
    }
}

bool table_reader::has(std::string_view key) const
{
    return m_table != nullptr && std::ranges::find(*m_table, key, &toml_entry::key) != m_table->end();
}

std::string table_reader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
}

std::uint32_t table_reader::lineOf(std::string_view key) const
{
    if (m_table == nullptr) {
        return m_line;
    }
    const auto found = std::ranges::find(*m_table, key, &toml_entry::key);
    return found != m_table->end() ? found->node.line : m_line;
}

const toml_node *table_reader::take(std::string_view key)
{
    m_read.emplace(key);
    if (m_table == nullptr) {
        return nullptr;
    }
    const auto found = std::ranges::find(*m_table, key, &toml_entry::key);
    return found != m_table->end() ? &found->node : nullptr;
}

void table_reader::fail(std::string_view key, std::string expected)
{
    m_errors.push_back({pathOf(key), lineOf(key), std::move(expected)});
}

std::optional<std::string> table_reader::text(std::string_view key)
{
    const auto *node = take(key);
    if (node == nullptr) {
        return {};
    }
    if (const auto *value = std::get_if<std::string>(&node->value)) {
        return *value;
    }
    fail(key, "expected a string");
    return {};
}

std::optional<std::int64_t> table_reader::integer(std::string_view key, std::int64_t lowest, std::int64_t highest)
{
    const auto *node = take(key);
    if (node == nullptr) {
        return {};
    }
    const auto *value = std::get_if<std::int64_t>(&node->value);
    if (value == nullptr || *value < lowest || *value > highest) {
        fail(key, fmt::format("expected an integer from {} to {}", lowest, highest));
        return {};
    }
    return *value;
}

std::optional<double> table_reader::number(std::string_view key)
{
    const auto *node = take(key);
    if (node == nullptr) {
        return {};
    }
    if (const auto *value = std::get_if<double>(&node->value)) {
        return *value;
    }
    if (const auto *value = std::get_if<std::int64_t>(&node->value)) {
        return static_cast<double>(*value);
    }
    fail(key, "expected a number");
    return {};
}

std::optional<bool> table_reader::boolean(std::string_view key)
{
    const auto *node = take(key);
    if (node == nullptr) {
        return {};
    }
    if (const auto *value = std::get_if<bool>(&node->value)) {
        return *value;
    }
    fail(key, "expected true or false");
    return {};
}

std::optional<std::vector<std::string>> table_reader::texts(std::string_view key)
{
    const auto *node = take(key);
    if (node == nullptr) {
        return {};
    }
    const auto *elements = std::get_if<toml_node::array>(&node->value);
    const auto isText = [](const toml_node &element) {
        return std::holds_alternative<std::string>(element.value);
    };
    if (elements == nullptr || !std::ranges::all_of(*elements, isText)) {
        fail(key, "expected an array of strings");
        return {};
    }
    std::vector<std::string> values;
    std::ranges::transform(*elements, std::back_inserter(values),
                           [](const toml_node &element) { return std::get<std::string>(element.value); });
    return values;
}

const toml_node *table_reader::table(std::string_view key)
{
    const auto *node = take(key);
    if (node != nullptr && !std::holds_alternative<toml_node::table>(node->value)) {
        fail(key, "expected a table");
        return nullptr;
    }
    return node;
}

std::vector<const toml_node *> table_reader::tables(std::string_view key)
{
    const auto *node = take(key);
    if (node == nullptr) {
        return {};
    }
    const auto *elements = std::get_if<toml_node::array>(&node->value);
    const auto isTable = [](const toml_node &element) {
        return std::holds_alternative<toml_node::table>(element.value);
    };
    if (elements == nullptr || !std::ranges::all_of(*elements, isTable)) {
        fail(key, fmt::format("expected an array of tables, each written as [[{}]]", pathOf(key)));
        return {};
    }
    std::vector<const toml_node *> result;
    std::ranges::transform(*elements, std::back_inserter(result), [](const toml_node &element) { return &element; });
    return result;
}

void table_reader::finish()
{
    if (m_table == nullptr) {
        return;
    }
    for (const auto &[key, node] : *m_table) {
        if (!m_read.contains(key)) {
            m_errors.push_back({pathOf(key), node.line, "expected no such key"});
        }
    }
}

} // namespace jackdawpick
