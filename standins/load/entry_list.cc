#include "load/entry_list.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jackdawpick::standins
{

using nlohmann::json;

namespace
{

std::string addressOf(const json &entry)
{
    if (entry.is_string()) {
        return entry.get<std::string>();
    }
    if (entry.is_object() && entry.contains("address") && entry["address"].is_string()) {
        return entry["address"].get<std::string>();
    }
    return {};
}

} // namespace

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
    const json entries = answer.contains("addresses") ? answer["addresses"] : answer.value("entries", json::array());
    zone_list list;
    std::ranges::transform(entries, std::back_inserter(list.addresses), addressOf);
    std::erase(list.addresses, std::string());
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

std::optional<std::string> entry_list::choose(const std::string &zone, const std::string &avoid, time_point now) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end() || now >= found->second.validUntil) {
        return std::nullopt;
    }
    const auto &addresses = found->second.addresses;
    const auto other = std::ranges::find_if(addresses, [&avoid](const auto &address) { return address != avoid; });
    return other == addresses.end() ? addresses.front() : *other;
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
