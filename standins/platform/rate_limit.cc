#include "platform/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace jackdawpick::standins
{

rate_limit::rate_limit(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(std::max(1.0, burst))
    , m_level(m_burst)
{
}

double rate_limit::levelAt(time_point now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_at).count();
    return std::min(m_burst, m_level + elapsed * m_perSecond);
}

bool rate_limit::take(time_point now)
{
    m_level = levelAt(now);
    m_at = now;
    // The tolerance keeps a caller that waited exactly retryAfter() from being refused by rounding.
    if (m_level < 1 - 1e-9) {
        return false;
    }
    m_level -= 1;
    return true;
}

std::chrono::milliseconds rate_limit::retryAfter(time_point now) const
{
    const double missing = std::max(0.0, 1 - levelAt(now));
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(missing / m_perSecond * 1000)));
}

void rate_limit::setRate(double perSecond)
{
    m_perSecond = perSecond;
}

} // namespace jackdawpick::standins
