// The division of the requests that the rule tolerates beyond the quota.

#include "quotas/quotas.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jackdawpick::quotas
{

namespace
{

using std::chrono::milliseconds;
using fractional_seconds = std::chrono::duration<double>;

// Fractions of rate x window and of the slack that all daemons together admit without a permit. They reduce the buckets
// of small tenants at all times, whose programs need many requests at once, so they are kept small.
constexpr double shareWithoutIssuer = 0.05;
constexpr double slackWithoutIssuer = 0.3;
// Of what is left: the part that takeovers may use up.
constexpr double takeoverShare = 0.3;
constexpr double maxRequests = 1e9; // In a window; higher limits are none.
// A new holder can take the lease this long after the former one was last known to have renewed it.
constexpr milliseconds minTakeoverInterval = group_lease::validity + group_lease::margin;

} // namespace

// Permits issued up to a lifetime before the window begins are used in it: rate x lifetime. Each takeover in the window
// adds the takeover level. What is left goes to the capacity.
excess_shares sharesOf(const quota_rule &rule, const tenant_limit &limit)
{
    const double perWindow = limit.ratePerSecond * fractional_seconds(rule.window).count();
    const double excess = rule.overrun * (perWindow + limit.burst) + rule.slack;
    const double rateShare = std::min(shareWithoutIssuer, rule.overrun / 2);
    const double withoutIssuer = std::clamp(rateShare * perWindow + slackWithoutIssuer * rule.slack, 0.0, maxRequests);
    const double rest = excess - withoutIssuer;
    const double lifetimeSeconds =
        std::min(fractional_seconds(maxPermitLifetime).count(), rest / 2 / std::max(limit.ratePerSecond, 1e-9));
    const double remaining = rest - limit.ratePerSecond * lifetimeSeconds;
    const double takeovers = std::ceil(fractional_seconds(rule.window) / fractional_seconds(minTakeoverInterval));
    return {.capacity = std::max(1.0, limit.burst + (1 - takeoverShare) * remaining),
            .takeoverLevel = takeoverShare * remaining / takeovers,
            .lifetime = std::chrono::floor<milliseconds>(fractional_seconds(lifetimeSeconds)),
            .withoutIssuer = static_cast<std::uint32_t>(withoutIssuer)};
}

std::uint32_t groupOf(std::string_view tenant, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(XXH3_64bits(tenant.data(), tenant.size()) % groups);
}

} // namespace jackdawpick::quotas
