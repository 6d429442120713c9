#include "caller_api/internal/field_reader.h"

#include <algorithm>
#include <fmt/format.h>

namespace jackdawpick::caller_api_internal
{

field_reader::field_reader(const nlohmann::json &object, std::string prefix, std::size_t maxNameBytes)
    : m_object(object)
    , m_prefix(std::move(prefix))
    , m_maxNameBytes(maxNameBytes)
{
}

void field_reader::requireKnownKeys(std::initializer_list<std::string_view> keys) const
{
    for (const auto &[key, value] : m_object.items()) {
        if (std::ranges::find(keys, key) == keys.end()) {
            throw parse_error{result_code::MalformedRequest,
                              fmt::format("{}.{}: unknown field", m_prefix, key.substr(0, m_maxNameBytes))};
        }
    }
}

std::string field_reader::text(std::string_view key, std::size_t maxBytes) const
{
    const auto *value = find(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().size() > maxBytes) {
        fail(key, fmt::format("expected a string of at most {} bytes", maxBytes));
    }
    return value->get<std::string>();
}

std::string field_reader::name(std::string_view key) const
{
    constexpr unsigned char del = 0x7f;
    std::string value = text(key, m_maxNameBytes);
    const bool valid = std::ranges::none_of(value, [](unsigned char c) {
        return c <= ' ' || c == del || std::string_view("/?#%\"").find(static_cast<char>(c)) != std::string_view::npos;
    });
    if (!valid) {
        fail(key, "expected a name without white space, control characters and /?#%\"");
    }
    return value;
}

std::uint64_t field_reader::number(std::string_view key, std::uint64_t defaultValue, std::uint64_t minimum,
                                   std::uint64_t maximum) const
{
    const auto *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < minimum
        || value->get<std::uint64_t>() > maximum) {
        fail(key, fmt::format("expected an integer from {} to {}", minimum, maximum));
    }
    return value->get<std::uint64_t>();
}

bool field_reader::flag(std::string_view key) const
{
    const auto *value = find(key);
    if (value != nullptr && !value->is_boolean()) {
        fail(key, "expected true or false");
    }
    return value != nullptr && value->get<bool>();
}

const nlohmann::json *field_reader::find(std::string_view key) const
{
    const auto found = m_object.find(key);
    return found == m_object.end() || found->is_null() ? nullptr : &*found;
}

void field_reader::fail(std::string_view key, const std::string &expected) const
{
    throw parse_error{result_code::MalformedRequest,
                      fmt::format("{}{}{}: {}", m_prefix, m_prefix.empty() ? "" : ".", key, expected)};
}

} // namespace jackdawpick::caller_api_internal
