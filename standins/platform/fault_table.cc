#include "platform/fault_table.h"

#include "results/results.h"

#include <charconv>
#include <fmt/format.h>

namespace jackdawpick::standins
{

fault_table::fault_table(std::map<std::string, fault_value> declared)
    : m_values(std::move(declared))
{
}

void fault_table::set(const std::string &name, const fault_value &value)
{
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        throw error(result_code::MalformedRequest, fmt::format("unknown fault {}", name));
    }
    if (found->second.index() != value.index()) {
        throw error(result_code::MalformedRequest, fmt::format("fault {}: value of the wrong type", name));
    }
    found->second = value;
}

void fault_table::assign(std::string_view text)
{
    const auto equals = text.find('=');
    const std::string name(text.substr(0, equals));
    const std::string_view value = equals == std::string_view::npos ? "1" : text.substr(equals + 1);
    const auto found = m_values.find(name);
    if (found != m_values.end() && std::holds_alternative<std::string>(found->second)) {
        set(name, std::string(value));
        return;
    }
    double parsed = 0;
    const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (status != std::errc{} || end != value.data() + value.size()) {
        throw error(result_code::MalformedRequest, fmt::format("fault {}: expected a number", name));
    }
    set(name, parsed);
}

double fault_table::number(const std::string &name) const
{
    return std::get<double>(m_values.at(name));
}

bool fault_table::isOn(const std::string &name) const
{
    return number(name) != 0;
}

const std::string &fault_table::text(const std::string &name) const
{
    return std::get<std::string>(m_values.at(name));
}

const std::map<std::string, fault_value> &fault_table::all() const
{
    return m_values;
}

} // namespace jackdawpick::standins
