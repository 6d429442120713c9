#include "limits/limits.h"

#include <algorithm>
#include <cmath>

namespace jackdawpick::limits
{

namespace
{

using fractional_seconds = std::chrono::duration<double>;

} // namespace

void permit_issuer::fill(bucket &value, time_point now)
{
    const double burst = minBurst + value.rate * fractional_seconds(burstTime).count();
    const double added = value.rate * fractional_seconds(now - value.filledAt).count();
    value.permits = std::min(value.permits + added, burst);
    value.filledAt = now;
}

void permit_issuer::issueFor(const std::vector<endpoint_limit> &endpoints, time_point now)
{
    std::map<std::string, bucket> buckets;
    for (const auto &limit : endpoints) {
        bucket entry{.filledAt = now};
        if (const auto found = m_buckets.find(limit.endpoint); found != m_buckets.end()) {
            entry = found->second;
            fill(entry, now);
        }
        entry.rate = std::max(limit.rate, minRate);
        buckets.emplace(limit.endpoint, entry);
    }
    m_buckets = std::move(buckets);
}

permit_decision permit_issuer::take(const std::string &endpoint, double reserve, time_point now)
{
    const auto found = m_buckets.find(endpoint);
    if (found == m_buckets.end()) {
        constexpr std::chrono::milliseconds unknownEndpointRetryDelay{200};
        return {.granted = false, .retryAfter = unknownEndpointRetryDelay};
    }
    auto &entry = found->second;
    fill(entry, now);
    const double missing = 1 + reserve - entry.permits;
    if (missing > 0) {
        constexpr double millisecondsPerSecond = 1000;
        const auto wait = static_cast<std::int64_t>(std::ceil(missing / entry.rate * millisecondsPerSecond));
        return {.granted = false, .retryAfter = std::chrono::milliseconds(wait)};
    }
    entry.permits -= 1;
    return {.granted = true};
}

} // namespace jackdawpick::limits
