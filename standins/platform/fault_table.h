#pragma once

// Faults of a stand-in by name. A stand-in declares the faults it knows; flags and admin calls switch them on.
//
//   fault_table faults({{"slow", 1.0}, {"crash_marker", std::string()}});
//   faults.set("slow", 4.0);
//   faults.assign("slow=4");

#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace jackdawpick::standins
{

using fault_value = std::variant<double, std::string>;

class fault_table
{
public:
    // Known faults and their values while off.
    explicit fault_table(std::map<std::string, fault_value> declared);

    // Throws error(MalformedRequest) for an unknown name or a value of the other type.
    void set(const std::string &name, const fault_value &value);
    // "name=value" as given on the command line; a name without value means 1.
    void assign(std::string_view text);

    // The name must be declared with that type.
    [[nodiscard]] double number(const std::string &name) const;
    [[nodiscard]] bool isOn(const std::string &name) const; // Number other than 0.
    [[nodiscard]] const std::string &text(const std::string &name) const;
    [[nodiscard]] const std::map<std::string, fault_value> &all() const;

private:
    std::map<std::string, fault_value> m_values;
};

} // namespace jackdawpick::standins
