#include "load/entry_list.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

using nlohmann::json;

entry_list::entry_list(std::vector<std::string> seeds)
    : m_seeds(std::move(seeds))
{
}

bool entry_list::update(const std::string &zone, const std::string &body, time_point now)
{
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return false;
    }
    zone_list list;
    std::string nearestZone;
    for (const auto &entry : answer.value("entries", json::array())) {
        if (!entry.is_object() || entry.value("address", "").empty()) {
            continue;
        }
        const std::string entryZone = entry.value("zone", "");
        nearestZone = list.addresses.empty() ? entryZone : nearestZone;
        list.addresses.push_back(entry.value("address", ""));
        list.nearest = entryZone == nearestZone ? list.addresses.size() : list.nearest;
    }
    if (list.addresses.empty()) {
        return false;
    }
    const json keep = answer.value("keep_seconds", json(5));
    list.validUntil = now + std::chrono::seconds(keep.is_number() ? keep.get<std::int64_t>() : 5);
    m_zones.insert_or_assign(zone, std::move(list));
    return true;
}

void entry_list::drop(const std::string &zone)
{
    const auto found = m_zones.find(zone);
    if (found != m_zones.end()) {
        found->second.validUntil = {};
    }
}

std::optional<std::string> entry_list::choose(const std::string &zone, const std::string &avoid, time_point now)
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end() || now >= found->second.validUntil) {
        return std::nullopt;
    }
    auto &list = found->second;
    const auto &nearest = list.addresses[list.next++ % list.nearest];
    if (nearest != avoid) {
        return nearest;
    }
    const auto other = std::ranges::find_if(list.addresses, [&avoid](const auto &address) { return address != avoid; });
    return other == list.addresses.end() ? nearest : *other;
}

std::vector<std::string> entry_list::sources(const std::string &zone) const
{
    std::vector<std::string> result;
    const auto found = m_zones.find(zone);
    if (found != m_zones.end()) {
        result = found->second.addresses;
    }
    std::ranges::copy_if(m_seeds, std::back_inserter(result), [&result](const std::string &seed) {
        return std::ranges::find(result, seed) == result.end();
    });
    return result;
}

} // namespace jackdawpick::standins
