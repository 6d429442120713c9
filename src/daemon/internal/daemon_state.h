#pragma once

// The reducer as the HTTP servers of the daemon see it. An interface, so that the servers can be tested without a
// reducer.

#include "core/events.h"

#include <nlohmann/json_fwd.hpp>

namespace jackdawpick
{

class daemon_state
{
public:
    virtual ~daemon_state() = default;
    virtual void post(event posted) = 0;
    [[nodiscard]] virtual bool ready() const = 0;
    [[nodiscard]] virtual bool draining() const = 0;
    [[nodiscard]] virtual std::vector<entry_address> entryAddresses(const std::string &zone) const = 0;
    [[nodiscard]] virtual std::chrono::seconds entryListLifetime() const = 0;
    [[nodiscard]] virtual std::string metricsText() = 0;
    [[nodiscard]] virtual const member_identity &self() const = 0;
    [[nodiscard]] virtual log_offset configurationVersion() const = 0;
    [[nodiscard]] virtual const std::string &configurationText() const = 0;
    [[nodiscard]] virtual nlohmann::json dump() const = 0;
    [[nodiscard]] virtual std::uint64_t randomNumber() = 0;
};

} // namespace jackdawpick
