#pragma once

// Formats the JSON of the admin interface as text for operators.

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick
{

// One line "path.to.key  value" for each value.
[[nodiscard]] std::string asLines(const nlohmann::json &value);
// All values on one line: "path.to.key=value ...".
[[nodiscard]] std::string asOneLine(const nlohmann::json &value);
// A table of the objects in `rows`, one column per key; "-" where an object lacks the key.
[[nodiscard]] std::string asTable(const nlohmann::json &rows, const std::vector<std::string_view> &columns);
// Columns padded to the same width; the first row is the heading.
[[nodiscard]] std::string alignColumns(const std::vector<std::vector<std::string>> &rows);

} // namespace jackdawpick
