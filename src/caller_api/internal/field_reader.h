#pragma once

// Typed access to the fields of a JSON object. Errors name the field.

#include "results/results.h"

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace jackdawpick::caller_api_internal
{

// Thrown to stop the parsing of a call; parseCall() converts it to a refusal.
struct parse_error
{
    result_code code = result_code::MalformedRequest;
    std::string message;
};

class field_reader
{
public:
    // Keeps a reference to `object`.
    field_reader(const nlohmann::json &object, std::string prefix, std::size_t maxNameBytes);

    // Throws parse_error if the object has a key that is not in `keys`.
    void requireKnownKeys(std::initializer_list<std::string_view> keys) const;
    // The getters throw parse_error for a value of the wrong type or range. They return the default (empty,
    // `defaultValue`, false) if the field is absent or null.
    [[nodiscard]] std::string text(std::string_view key, std::size_t maxBytes) const;
    // A string that is safe in a path and a header: without white space, control characters and /?#%".
    [[nodiscard]] std::string name(std::string_view key) const;
    [[nodiscard]] std::uint64_t number(std::string_view key, std::uint64_t defaultValue, std::uint64_t minimum,
                                       std::uint64_t maximum) const;
    [[nodiscard]] bool flag(std::string_view key) const;

private:
    [[nodiscard]] const nlohmann::json *find(std::string_view key) const;
    [[noreturn]] void fail(std::string_view key, const std::string &expected) const;

    const nlohmann::json &m_object;
    std::string m_prefix;
    std::size_t m_maxNameBytes;
};

} // namespace jackdawpick::caller_api_internal
