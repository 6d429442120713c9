#include "ctl/internal/printing.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jackdawpick
{

namespace
{

using json = nlohmann::json;

std::string valueText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::vector<std::string>> flatten(const json &value)
{
    std::vector<std::vector<std::string>> rows;
    const json flat = value.flatten();
    for (const auto &[path, leaf] : flat.items()) {
        std::string key = path.empty() ? path : path.substr(1);
        std::ranges::replace(key, '/', '.');
        rows.push_back({std::move(key), valueText(leaf)});
    }
    return rows;
}

} // namespace

std::string asLines(const json &value)
{
    return alignColumns(flatten(value));
}

std::string asOneLine(const json &value)
{
    std::string line;
    for (const auto &row : flatten(value)) {
        line += fmt::format("{}{}={}", line.empty() ? "" : " ", row[0], row[1]);
    }
    return line + "\n";
}

std::string asTable(const json &rows, const std::vector<std::string_view> &columns)
{
    std::vector<std::vector<std::string>> cells{{columns.begin(), columns.end()}};
    for (const json &row : rows) {
        auto &line = cells.emplace_back();
        std::ranges::transform(columns, std::back_inserter(line), [&row](std::string_view column) {
            const auto found = row.is_object() ? row.find(std::string(column)) : row.end();
            return found == row.end() ? std::string("-") : valueText(*found);
        });
    }
    return alignColumns(cells);
}

std::string alignColumns(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i) {
            text += fmt::format("{:<{}}  ", row[i], widths[i]);
        }
        text += (row.empty() ? std::string() : row.back()) + "\n";
    }
    return text;
}

} // namespace jackdawpick
