#pragma once

// TOML text as a plain tree with line numbers, and a reader that checks keys, types and ranges and collects all errors.
// The only library that includes toml++, which dominates compile time.
//
//   toml_errors errors;
//   if (std::optional<toml_node> root = parseToml(text, errors)) {
//       table_reader reader(*root, "", errors);
//       if (auto port = reader.integer("port", 0, 65535)) { ... }
//       reader.finish(); // Reports keys that nobody asked for.
//   }
//
// Thread compatible.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdawpick
{

// Bounds on what parseToml() accepts. toml++ 3.3 recurses once per level and part of a dotted key, so that a text of
// a few hundred kilobytes could otherwise exhaust the stack of every daemon that reads it from the log.
inline constexpr std::size_t maxTomlBytes = 1U << 20U;
inline constexpr std::size_t maxTomlDottedParts = 8;
inline constexpr std::size_t maxTomlDepth = 16;

struct toml_error
{
    std::string key; // Dotted path such as "rank[1].share"; empty for an error of syntax.
    std::uint32_t line = 0; // 1-based; 0 for a missing key.
    std::string expected;
};

using toml_errors = std::vector<toml_error>;

struct toml_entry;

// Dates and times, which no table of this project uses.
struct toml_other
{
};

struct toml_node
{
    using table = std::vector<toml_entry>; // Sorted by key.
    using array = std::vector<toml_node>;
    std::variant<table, array, std::string, std::int64_t, double, bool, toml_other> value;
    std::uint32_t line = 0;
};

struct toml_entry
{
    std::string key;
    toml_node node;
};

// The root table, or nothing and one error. Multi-line strings are refused; see the bounds above. Never throws.
[[nodiscard]] std::optional<toml_node> parseToml(std::string_view text, toml_errors &errors);

// Reads one table. Each function returns the value, or nothing if the key is missing or an error was added.
class table_reader
{
public:
    // `table` must outlive the reader. `path` is the dotted path of the table, empty for the root. A node that is not a
    // table adds an error and reads as empty.
    table_reader(const toml_node &node, std::string path, toml_errors &errors);

    [[nodiscard]] bool has(std::string_view key) const;
    [[nodiscard]] std::optional<std::string> text(std::string_view key);
    [[nodiscard]] std::optional<std::int64_t> integer(std::string_view key, std::int64_t lowest, std::int64_t highest);
    // Accepts integers too.
    [[nodiscard]] std::optional<double> number(std::string_view key);
    [[nodiscard]] std::optional<bool> boolean(std::string_view key);
    [[nodiscard]] std::optional<std::vector<std::string>> texts(std::string_view key);
    // The table under `key`; null if missing.
    [[nodiscard]] const toml_node *table(std::string_view key);
    // The elements of the array of tables under `key`; empty if missing.
    [[nodiscard]] std::vector<const toml_node *> tables(std::string_view key);
    // Reports all keys that were not read.
    void finish();

    [[nodiscard]] std::string pathOf(std::string_view key) const;
    // Line of the key, or of the table if the key is missing.
    [[nodiscard]] std::uint32_t lineOf(std::string_view key) const;

private:
    [[nodiscard]] const toml_node *take(std::string_view key);
    void fail(std::string_view key, std::string expected);

    const toml_node::table *m_table = nullptr;
    std::uint32_t m_line = 0;
    std::string m_path;
    toml_errors &m_errors;
    std::set<std::string, std::less<>> m_read;
};

} // namespace jackdawpick
