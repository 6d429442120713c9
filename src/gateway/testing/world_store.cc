// The store of a gateway_world: listing and deleting records, and what tests ask of it and do to its records.

#include "gateway/testing/gateway_world.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jackdawpick::gateway::testing
{

store::reply gateway_world::execute(const store::trim_call &call)
{
    auto &content = m_partitions[call.where];
    for (; content.first < std::min<std::uint64_t>(call.before, content.records.size()); ++content.first) {
        m_storedBytes -= std::exchange(content.records[content.first].value, {}).size();
    }
    return store::trimmed{};
}

store::reply gateway_world::execute(const store::newest_call &call)
{
    const auto &records = m_partitions[call.where].records;
    std::map<std::string, store::record> newest;
    for (const auto &record : records) {
        newest[record.key] = record;
    }
    store::newest_page page{.records = {}, .end = records.size()};
    for (const auto &[key, record] : newest) {
        if (!record.value.empty()) {
            page.records.push_back(record);
        }
    }
    return page;
}

void gateway_world::replaceRecord(const store::partition &where, std::uint64_t offset, std::uint64_t copyOf)
{
    auto &records = m_partitions.at(where).records;
    records.at(offset).value = records.at(copyOf).value;
}

void gateway_world::deleteRecordsBefore(const store::partition &where, std::uint64_t offset)
{
    execute(store::trim_call{where, offset});
}

bool gateway_world::isFullFor(std::size_t bytes) const
{
    return m_options.storeBytes != 0 && m_storedBytes + bytes > m_options.storeBytes;
}

std::size_t gateway_world::storedBytes(std::string_view topicPrefix) const
{
    std::size_t bytes = 0;
    for (const auto &[where, content] : m_partitions) {
        if (where.topic.starts_with(topicPrefix)) {
            bytes = std::accumulate(content.records.begin(), content.records.end(), bytes,
                                    [](std::size_t sum, const auto &record) { return sum + record.value.size(); });
        }
    }
    return bytes;
}

std::size_t gateway_world::recordCount(std::string_view topicPrefix) const
{
    std::size_t count = 0;
    for (const auto &[where, content] : m_partitions) {
        count += where.topic.starts_with(topicPrefix) ? content.records.size() - content.first : 0;
    }
    return count;
}

std::set<std::string> gateway_world::topics() const
{
    std::set<std::string> names;
    for (const auto &[where, content] : m_partitions) {
        if (!content.records.empty()) {
            names.insert(where.topic);
        }
    }
    return names;
}

} // namespace jackdawpick::gateway::testing
