#include "quotas/quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace jackdawpick::quotas
{

namespace
{

using fractional_seconds = std::chrono::duration<double>;

} // namespace

permit_stock::permit_stock(const quota_rule &rule)
    : m_rule(rule)
{
}

std::optional<permit> permit_stock::take(const std::string &tenant, bool repeated, time_point now)
{
    auto &state = m_tenants[tenant];
    if (!repeated) {
        const fractional_seconds passed = now - state.lastAt;
        const fractional_seconds average = averagingTime;
        state.requestRate = state.requestRate * std::exp(-std::max(passed / average, 0.0)) + 1 / average.count();
        state.lastAt = now;
    }
    while (!state.permits.empty()) {
        const auto first = state.permits.front();
        state.permits.pop_front();
        if (now < first.validUntil) {
            state.used += repeated ? 0 : 1;
            return first;
        }
    }
    return std::nullopt;
}

// Permits beyond the bound are lost.
void permit_stock::add(const std::string &tenant, std::size_t count, const permit &each, time_point now)
{
    auto &permits = m_tenants[tenant].permits;
    std::erase_if(permits, [now](const permit &held) { return held.validUntil <= now; });
    for (; count > 0 && permits.size() < maxPermits && now < each.validUntil; --count) {
        const auto place = std::ranges::upper_bound(permits, each.validUntil, {}, &permit::validUntil);
        permits.insert(place, each);
    }
}

permit_request permit_stock::requestFor(const std::string &tenant, const tenant_limit &limit)
{
    auto &state = m_tenants[tenant];
    const fractional_seconds lifetime = sharesOf(m_rule, limit).lifetime;
    const double expected = std::floor(state.requestRate * lifetime.count());
    const auto extras = std::min(static_cast<std::uint32_t>(expected), permit_issuer::maxExtraPermits);
    return {.count = 1 + extras, .used = std::exchange(state.used, 0U)};
}

void permit_stock::setPressure(const std::string &tenant, double pressure)
{
    m_tenants[tenant].pressure = pressure;
}

std::optional<double> permit_stock::pressureOf(const std::string &tenant) const
{
    const auto found = m_tenants.find(tenant);
    return found == m_tenants.end() ? std::nullopt : found->second.pressure;
}

// The whole requests that all daemons together may admit in a window are divided among the known daemons. What does not
// divide goes to those that rank first for the tenant, so that the sum is kept also where each share is below one.
bool permit_stock::admitWithoutPermit(const std::string &tenant, const tenant_limit &limit,
                                      const std::vector<std::string> &names, const std::string &self, time_point now)
{
    const auto total = sharesOf(m_rule, limit).withoutIssuer;
    const auto seed = XXH3_64bits(tenant.data(), tenant.size());
    const auto weight = [seed](const std::string &name) {
        return XXH3_64bits_withSeed(name.data(), name.size(), seed);
    };
    const auto own = weight(self);
    const auto rank = std::ranges::count_if(names, [&](const std::string &name) { return weight(name) > own; });
    const auto count = names.size() + 1;
    const auto share = total / count + (static_cast<std::size_t>(rank) < total % count ? 1 : 0);
    auto &admitted = m_tenants[tenant].admitted;
    std::erase_if(admitted, [&](time_point when) { return now - when > m_rule.window; });
    if (admitted.size() >= share) {
        return false;
    }
    admitted.push_back(now);
    return true;
}

void permit_stock::evictIdle(time_point now)
{
    const auto longest = std::max<std::chrono::milliseconds>(retention, m_rule.window * 2);
    std::erase_if(m_tenants, [&](const auto &entry) { return now - entry.second.lastAt > longest; });
}

std::size_t permit_stock::size(time_point now) const
{
    std::size_t count = 0;
    for (const auto &[tenant, state] : m_tenants) {
        count += static_cast<std::size_t>(
            std::ranges::count_if(state.permits, [now](const permit &held) { return now < held.validUntil; }));
    }
    return count;
}

} // namespace jackdawpick::quotas
