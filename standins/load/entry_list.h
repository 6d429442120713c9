#pragma once

// Entry addresses as a caller keeps them: the answer to GET /v1/entry for its time, the addresses given at start as a
// fallback.
//
//   entry_list list({"127.0.0.1:8001"});
//   list.update("zone-a", body, now);
//   auto address = list.choose("zone-a", {}, now);

#include "clock/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawpick::standins
{

class entry_list
{
public:
    explicit entry_list(std::vector<std::string> seeds);

    // The body of GET /v1/entry; false if it names no address. Without `keep_seconds` the list is kept for 5 s.
    bool update(const std::string &zone, const std::string &body, time_point now);
    // After a broken connection: the next choose() asks for a new list.
    void drop(const std::string &zone);
    // The daemons of the nearest zone in turn, then any other; `avoid` only if it is the sole one. Nothing if there is
    // no valid list.
    [[nodiscard]] std::optional<std::string> choose(const std::string &zone, const std::string &avoid, time_point now);
    // Where to ask for a list: the last known addresses, then those given at start.
    [[nodiscard]] std::vector<std::string> sources(const std::string &zone) const;

private:
    struct zone_list
    {
        std::vector<std::string> addresses; // Nearest first.
        std::size_t nearest = 1; // Addresses of the nearest zone.
        std::size_t next = 0;
        time_point validUntil{};
    };

    std::vector<std::string> m_seeds;
    std::map<std::string, zone_list> m_zones;
};

} // namespace jackdawpick::standins
