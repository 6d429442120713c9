#include "quotas/quotas.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace jackdawpick::quotas
{

namespace
{

using std::chrono::milliseconds;
using fractional_seconds = std::chrono::duration<double>;

// Extra permits are issued while more than this share of the bucket is left.
constexpr double extraPermitsAbove = 0.5;
// All buckets are full after a longer time without permits.
constexpr milliseconds maxIdleTime{3600000};

double secondsBetween(time_point from, time_point to)
{
    return std::max(fractional_seconds(to - from).count(), 0.0);
}

} // namespace

permit_issuer::permit_issuer(const quota_rule &rule)
    : m_rule(rule)
{
}

void permit_issuer::begin(issuing_start start, time_point now)
{
    m_start = std::move(start);
    if (!m_start.trusted) {
        m_start.idleSince = std::max(m_start.idleSince, m_start.levelsAt);
    }
    m_began = now;
    m_buckets.clear();
}

double permit_issuer::startLevel(const std::string &tenant, const tenant_limit &limit, const excess_shares &shares,
                                 time_point now) const
{
    const auto earnedSince = [&](time_point when) {
        return limit.ratePerSecond * secondsBetween(when, now);
    };
    const auto stated = std::ranges::find(m_start.levels, tenant, &tenant_level::tenant);
    double level = stated == m_start.levels.end() ? shares.takeoverLevel + earnedSince(m_start.idleSince)
                                                  : stated->level + earnedSince(m_start.levelsAt);
    if (!m_start.trusted) {
        level = std::min(level, shares.takeoverLevel + earnedSince(m_start.idleSince));
    }
    return std::min(level, shares.capacity);
}

std::chrono::duration<double> permit_issuer::averagingTime(const tenant_limit &limit)
{
    return std::clamp(fractional_seconds(averagedRequests / limit.ratePerSecond), fractional_seconds(minAveragingTime),
                      fractional_seconds(maxAveragingTime));
}

permit_issuer::bucket permit_issuer::filled(const bucket &value, time_point now) const
{
    bucket result = value;
    const double seconds = secondsBetween(value.filledAt, now);
    const double earned = value.limit.ratePerSecond * seconds;
    result.level = std::min(value.level + earned, value.shares.capacity);
    result.deferred = std::max(value.deferred - earned, 0.0);
    result.requestRate = value.requestRate * std::exp(-seconds / averagingTime(value.limit).count());
    result.filledAt = std::max(value.filledAt, now);
    return result;
}

permit_grant permit_issuer::take(const std::string &tenant, const tenant_limit &limit, const permit_request &asked,
                                 time_point now)
{
    auto found = m_buckets.find(tenant);
    if (found == m_buckets.end()) {
        const auto shares = sharesOf(m_rule, limit);
        found = m_buckets
                    .emplace(tenant,
                             bucket{.limit = limit,
                                    .shares = shares,
                                    .level = startLevel(tenant, limit, shares, now),
                                    .filledAt = now})
                    .first;
    }
    auto &entry = found->second;
    entry = filled(entry, now);
    if (entry.limit != limit) {
        entry.limit = limit;
        entry.shares = sharesOf(m_rule, limit);
        entry.level = std::min(entry.level, entry.shares.capacity);
    }
    entry.requestRate += ((asked.repeated ? 0.0 : 1.0) + asked.used) / averagingTime(limit).count();
    permit_grant result{.lifetime = entry.shares.lifetime, .pressure = entry.requestRate / limit.ratePerSecond};
    if (entry.level >= 1) {
        result.granted = 1;
        entry.level -= 1;
        const auto extras = std::min(asked.count > 0 ? asked.count - 1 : 0, maxExtraPermits);
        while (result.granted <= extras && entry.level >= 1
               && entry.level > extraPermitsAbove * entry.shares.capacity) {
            ++result.granted;
            entry.level -= 1;
        }
    } else {
        // Those denied before come back for the permits that are issued first.
        const fractional_seconds wait((1 - entry.level + entry.deferred) / limit.ratePerSecond);
        result.retryAfter = std::chrono::ceil<milliseconds>(std::min(wait, fractional_seconds(maxRetryDelay)));
        result.provisional = !m_start.trusted && now - m_began < provisionalTime;
        entry.deferred += result.provisional ? 0 : 1;
    }
    result.level = entry.level;
    return result;
}

std::vector<tenant_level> permit_issuer::levels(time_point now) const
{
    std::vector<tenant_level> result;
    for (const auto &[tenant, value] : m_buckets) {
        const auto entry = filled(value, now);
        if (entry.level < entry.shares.capacity) {
            result.push_back({tenant, entry.level});
        }
    }
    // What tenants without requests since the takeover have earned meanwhile is left out.
    std::ranges::copy_if(m_start.levels, std::back_inserter(result),
                         [&](const auto &stated) { return !m_buckets.contains(stated.tenant); });
    std::ranges::sort(result, {}, &tenant_level::level);
    result.resize(std::min(result.size(), maxStatedLevels));
    return result;
}

milliseconds permit_issuer::idleTime(time_point now) const
{
    const bool statesAll = m_buckets.size() + m_start.levels.size() <= maxStatedLevels;
    return statesAll ? std::clamp(millisecondsBetween(m_start.idleSince, now), milliseconds(0), maxIdleTime)
                     : milliseconds(0);
}

void permit_issuer::evictFull(time_point now)
{
    std::erase_if(m_buckets, [&](const auto &entry) {
        const bool isFull = now - entry.second.filledAt > maxAveragingTime
            && filled(entry.second, now).level >= entry.second.shares.capacity;
        if (isFull) { // The level that the former issuer stated is out of date.
            std::erase_if(m_start.levels, [&](const auto &stated) { return stated.tenant == entry.first; });
        }
        return isFull;
    });
}

std::size_t permit_issuer::bucketCount() const
{
    return m_buckets.size();
}

std::vector<permit_issuer::bucket_report> permit_issuer::report(time_point now) const
{
    std::vector<bucket_report> result;
    std::ranges::transform(m_buckets, std::back_inserter(result), [&](const auto &item) {
        const auto entry = filled(item.second, now);
        return bucket_report{
            .tenant = item.first, .level = entry.level, .pressure = entry.requestRate / entry.limit.ratePerSecond};
    });
    return result;
}

} // namespace jackdawpick::quotas
