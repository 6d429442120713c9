#pragma once

// The state of the quotas of tenants at one daemon: the groups whose permits it may issue, and the requests that wait
// for permits. Empty where no tenant has a limit.

#include "gateway/events.h"
#include "quotas/quotas.h"

#include <map>
#include <set>

namespace jackdawpick::gateway::internal
{

struct quota_group
{
    quotas::group_lease lease;
    quotas::permit_issuer issuer;
    std::string firstDaemon; // The live daemon that should issue the permits.
    std::string namedHolder; // The daemon that issues them according to another one; empty if none is named.
    std::optional<time_point>
        undecidedSince; // No request was decided since then, and some were not for lack of an issuer.
    time_point undecidedAt{}; // The latest of these.
    time_point takenAt{};
};

// A request for permits that was sent to a peer.
struct pending_quota_request
{
    caller_id caller{};
    link_id link{};
    std::string tenant;
    std::uint32_t group = 0;
    time_point sent;
    bool abandoned = false; // The reply is overdue; the caller's request was sent again.
};

// Bounds the log lines about a tenant.
struct quota_log_state
{
    time_point nextAt{};
    unsigned omitted = 0;
};

struct quota_state
{
    explicit quota_state(const quotas::quota_rule &rule)
        : stock(rule)
    {
    }

    std::map<std::string, quotas::tenant_limit>
        limits; // Of the configuration in force; tenants without one are left out.
    std::vector<quota_group> groups; // Empty until a configuration has a tenant with a limit.
    quotas::permit_stock stock;
    std::map<std::uint64_t, pending_quota_request> pending; // In the order in which they were sent.
    std::set<std::pair<time_point, caller_id>> waiting; // Requests, and when they ask again.
    time_point rankAt{}; // When the daemons are ranked again.
    std::optional<time_point> startedAt;
    std::map<std::pair<std::string, std::string>, quota_log_state> logged; // By tenant and outcome.
};

// Owner of the calls for the lease of a group.
struct quota_owner
{
    std::uint32_t group = 0;
    bool trims = false;
};

} // namespace jackdawpick::gateway::internal
