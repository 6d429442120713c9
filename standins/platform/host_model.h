#pragma once

// Host list that shows each change only after a lag. Pure; the time comes in.
//
//   host_model list({.lag = 2s});
//   list.put(host, now);
//   std::vector<host_entry> seen = list.visible(now + 2s);

#include "model/model.h"
#include "platform/fault_table.h"

#include <deque>
#include <map>

namespace jackdawpick::standins
{

struct host_options
{
    std::chrono::milliseconds lag{1000};
};

// Faults: outage, hang, lag_ms (replaces the lag of the options if above 0).
class host_model
{
public:
    explicit host_model(const host_options &options);

    void replace(const std::vector<host_entry> &hosts, time_point now);
    void put(const host_entry &host, time_point now); // Adds or replaces the host of that name.
    void remove(const std::string &name, time_point now);
    // False if there is no such host.
    bool setLeaving(const std::string &name, bool leaving, time_point now);

    // The list as it was before the lag, by name.
    [[nodiscard]] std::vector<host_entry> visible(time_point now);
    [[nodiscard]] fault_table &faults();

private:
    using host_map = std::map<std::string, host_entry>;

    void change(host_map hosts, time_point now);

    host_options m_options;
    fault_table m_faults;
    host_map m_current;
    std::deque<std::pair<time_point, host_map>> m_versions; // The front is the oldest that may still be visible.
};

} // namespace jackdawpick::standins
