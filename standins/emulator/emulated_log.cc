#include "emulator/emulated_log.h"

#include <algorithm>

namespace jackdawpick::standins
{

append_result emulated_log::append(const std::string &topic, std::uint32_t part,
                                   const std::vector<std::string> &records, std::optional<std::uint64_t> at)
{
    auto &where = m_partitions[{topic, part}];
    const std::uint64_t end = where.records.size();
    if (at.has_value() && *at != end) {
        return {.done = false, .end = end};
    }
    where.records.insert(where.records.end(), records.begin(), records.end());
    return {.done = true, .offset = end, .end = where.records.size()};
}

void emulated_log::put(const std::string &topic, const std::string &key, const std::string &value)
{
    append(topic, 0, {std::string(1, static_cast<char>(key.size())) + key + value}, std::nullopt);
}

const emulated_log::partition &emulated_log::find(const std::string &topic, std::uint32_t part) const
{
    static const partition empty;
    const auto found = m_partitions.find({topic, part});
    return found == m_partitions.end() ? empty : found->second;
}

std::optional<std::vector<std::string>> emulated_log::read(const std::string &topic, std::uint32_t part,
                                                           std::uint64_t from) const
{
    const auto &where = find(topic, part);
    if (from < where.first) {
        return std::nullopt;
    }
    const auto start = std::min<std::uint64_t>(from, where.records.size());
    return std::vector(where.records.begin() + static_cast<std::ptrdiff_t>(start), where.records.end());
}

std::vector<keyed_entry> emulated_log::newest(const std::string &topic, std::uint32_t part) const
{
    std::map<std::string, keyed_entry> entries;
    std::uint64_t offset = 0;
    for (const auto &record : find(topic, part).records) {
        if (const auto split = splitKeyed(record); split.has_value()) {
            entries[split->first] = {.key = split->first, .value = split->second, .offset = offset};
        }
        ++offset;
    }
    std::vector<keyed_entry> result;
    for (auto &[key, entry] : entries) {
        if (!entry.value.empty()) {
            result.push_back(std::move(entry));
        }
    }
    return result;
}

void emulated_log::trim(const std::string &topic, std::uint32_t part, std::uint64_t before)
{
    auto &where = m_partitions[{topic, part}];
    const auto last = std::min<std::uint64_t>(before, where.records.size());
    for (; where.first < last; ++where.first) {
        where.records[where.first].clear();
    }
}

std::uint64_t emulated_log::first(const std::string &topic, std::uint32_t part) const
{
    return find(topic, part).first;
}

std::uint64_t emulated_log::end(const std::string &topic, std::uint32_t part) const
{
    return find(topic, part).records.size();
}

std::optional<std::pair<std::string, std::string>> splitKeyed(const std::string &record)
{
    const std::size_t length = record.empty() ? 0 : static_cast<unsigned char>(record.front());
    if (record.size() < 1 + length || length == 0) {
        return std::nullopt;
    }
    return std::pair(record.substr(1, length), record.substr(1 + length));
}

} // namespace jackdawpick::standins
