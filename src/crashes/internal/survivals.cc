#include "crashes/internal/survivals.h"

#include <algorithm>
#include <functional>

namespace jackdawpick::crashes::internal
{

void survivals::add(const endpoint_calls::request_identity &request, time_point at)
{
    const std::pair key(request.content, request.caller);
    if (m_last.size() >= maxRequests && !m_last.contains(key)) {
        m_last.erase(std::ranges::min_element(m_last, std::less<>(), [](const auto &item) { return item.second; }));
    }
    auto &last = m_last.try_emplace(key, at).first->second;
    last = std::max(last, at);
}

std::optional<time_point> survivals::lastOf(const endpoint_calls::request_identity &request) const
{
    const auto found = m_last.find({request.content, request.caller});
    return found == m_last.end() ? std::nullopt : std::optional(found->second);
}

std::map<std::uint64_t, time_point> survivals::ofContent(std::uint64_t content) const
{
    std::map<std::uint64_t, time_point> byCaller;
    for (auto place = m_last.lower_bound({content, 0}); place != m_last.end() && place->first.first == content;
         ++place) {
        byCaller.emplace(place->first.second, place->second);
    }
    return byCaller;
}

void survivals::eraseBefore(time_point time)
{
    std::erase_if(m_last, [time](const auto &item) { return item.second < time; });
}

} // namespace jackdawpick::crashes::internal
