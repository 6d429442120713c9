#include "fleet/affinity.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <optional>
#include <xxhash.h>

namespace jackdawpick::fleet
{

namespace
{

constexpr double maxLoadFactor = 1.25; // Of an endpoint's share of the load.
// Of the slots; nothing waits below. With half of the slots, the chance differences of some requests in flight moved
// 40% of the turns in uneven_engines_test.
constexpr double minBound = 0.75;
constexpr double lightLoad = 0.5; // Of the slots.

// A first part counts as shared from this many requests on.
constexpr std::uint32_t minUses = 3;
constexpr double ownTokensSmoothing = 0.05;
constexpr std::chrono::seconds shareUpdateInterval{1};
// In ascending order. Few steps, since each change moves conversations.
constexpr std::array<double, 4> shareSteps{first_parts::minHolderShare, 0.5, 2.0 / 3, 1};
// The share grows only if the memory holds this much more than what the larger share needs.
constexpr double growthMargin = 1.15;

} // namespace

std::uint64_t affinityKey(std::string_view value)
{
    return XXH3_64bits(value.data(), value.size());
}

double rendezvousScore(std::uint64_t key, std::string_view endpoint, double weight)
{
    const auto hash = XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), key);
    constexpr double range = 18446744073709551616.0; // 2^64
    const double fraction = (static_cast<double>(hash) + 1) / (range + 2); // In (0, 1).
    return -weight / std::log(fraction);
}

home_selection selectHome(std::uint64_t key, std::span<const affinity_target> targets)
{
    struct ranked
    {
        std::optional<std::size_t> index;
        double score = 0;
        void consider(std::size_t candidate, double candidateScore)
        {
            if (!index.has_value() || candidateScore > score) {
                index = candidate;
                score = candidateScore;
            }
        }
    };
    ranked first;
    ranked withRoom;
    ranked notSlow;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto &target = targets[i];
        const double score = rendezvousScore(key, target.id, target.weight);
        first.consider(i, score);
        if (target.hasRoom) {
            withRoom.consider(i, score);
        }
        if (!target.isSlow) {
            notSlow.consider(i, score);
        }
    }
    home_selection result{.first = first.index.value_or(0), .preferred = withRoom.index.value_or(*first.index)};
    if (targets[result.preferred].isSlow && notSlow.index.has_value() && targets[*notSlow.index].isLightlyLoaded) {
        result.preferred = *notSlow.index;
    }
    return result;
}

double loadBound(double total, double share, double slots)
{
    return std::max({maxLoadFactor * total * share, minBound * slots, 1.0});
}

bool isLightLoad(double load, double slots)
{
    return load <= std::max(lightLoad * slots, 1.0);
}

void first_parts::setMemory(double tokens)
{
    if (m_memory != tokens) {
        m_memory = tokens;
        // All parts in use are yet to be seen. Most services have few of them, which every engine can hold.
        m_share = tokens > 0 ? 1 : minHolderShare;
    }
}

void first_parts::onRequest(std::uint64_t key, double tokens, double ownTokens, double slots, time_point now)
{
    if (m_memory <= 0) {
        return;
    }
    count(key, tokens, now);
    m_ownTokens += (ownTokens - m_ownTokens) * (m_ownTokens > 0 ? ownTokensSmoothing : 1);
    if (now - m_updatedAt >= shareUpdateInterval) {
        m_updatedAt = now;
        std::erase_if(m_parts, [now](const part &each) { return now - each.usedAt >= retention; });
        updateShare(slots);
    }
}

void first_parts::count(std::uint64_t key, double tokens, time_point now)
{
    auto found = std::ranges::find(m_parts, key, &part::key);
    if (found == m_parts.end()) {
        if (m_parts.size() >= maxParts) {
            found = std::ranges::min_element(m_parts, {}, &part::usedAt);
            *found = {};
        } else {
            found = m_parts.insert(m_parts.end(), part{});
        }
        found->key = key;
    }
    found->tokens = tokens;
    found->uses = std::min(found->uses + 1, minUses);
    found->usedAt = now;
}

// Each engine holds the given share of the first parts, on average, beside what its requests occupy when all slots are
// taken.
void first_parts::updateShare(double slots)
{
    const double needed = std::accumulate(m_parts.begin(), m_parts.end(), 0.0, [](double sum, const part &each) {
        return sum + (each.uses >= minUses ? each.tokens : 0);
    });
    if (needed <= 0) {
        return;
    }
    const double possible = (m_memory - slots * m_ownTokens) / needed;
    double share = minHolderShare;
    for (const double step : shareSteps) {
        const double margin = step > m_share ? growthMargin : 1;
        share = possible >= step * margin ? step : share;
    }
    m_share = share;
}

double first_parts::holderShare() const
{
    return m_share;
}

} // namespace jackdawpick::fleet
