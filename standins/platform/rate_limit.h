#pragma once

// Token bucket on virtual time.
//
//   rate_limit limit(300, 30);
//   if (!limit.take(now)) { refuse(limit.retryAfter(now)); }

#include "clock/clock.h"

namespace jackdawpick::standins
{

class rate_limit
{
public:
    // `perSecond` on average, at most `burst` (at least 1) at once.
    rate_limit(double perSecond, double burst);

    [[nodiscard]] bool take(time_point now);
    // Time until take() succeeds; 0 if it does now.
    [[nodiscard]] std::chrono::milliseconds retryAfter(time_point now) const;
    void setRate(double perSecond);

private:
    [[nodiscard]] double levelAt(time_point now) const;

    double m_perSecond;
    double m_burst;
    double m_level;
    time_point m_at{};
};

} // namespace jackdawpick::standins
