#pragma once

// The log of the users' platform as a model: topics with partitions, conditional appends, records with keys.
//
//   emulated_log log;
//   auto result = log.append("programs-0", 3, {"record"}, {});
//   auto records = log.read("programs-0", 3, 0);
//
// Pure; thread compatible.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jackdawpick::standins
{

struct append_result
{
    bool done = false;
    std::uint64_t offset = 0; // Of the first record.
    std::uint64_t end = 0;
};

struct keyed_entry
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

class emulated_log
{
public:
    // Appends all records; if `at` is set, only if the partition ends there.
    append_result append(const std::string &topic, std::uint32_t part, const std::vector<std::string> &records,
                         std::optional<std::uint64_t> at);
    // Sets or, with an empty value, removes a key of a topic with keys.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    // Records from the offset on; nothing if they have been deleted.
    [[nodiscard]] std::optional<std::vector<std::string>> read(const std::string &topic, std::uint32_t part,
                                                               std::uint64_t from) const;
    // The newest record of each key that has a value, sorted by key.
    [[nodiscard]] std::vector<keyed_entry> newest(const std::string &topic, std::uint32_t part) const;
    void trim(const std::string &topic, std::uint32_t part, std::uint64_t before);
    [[nodiscard]] std::uint64_t first(const std::string &topic, std::uint32_t part) const;
    [[nodiscard]] std::uint64_t end(const std::string &topic, std::uint32_t part) const;

private:
    struct partition
    {
        std::uint64_t first = 0;
        std::vector<std::string> records; // Those before `first` are empty.
    };

    [[nodiscard]] const partition &find(const std::string &topic, std::uint32_t part) const;

    std::map<std::pair<std::string, std::uint32_t>, partition> m_partitions;
};

// Key and value of the record of a topic with keys; nothing if it is malformed.
[[nodiscard]] std::optional<std::pair<std::string, std::string>> splitKeyed(const std::string &record);

} // namespace jackdawpick::standins
