#include "clock/clock.h"

#include <algorithm>

namespace jackdawpick
{

time_point system_clock_source::now() const
{
    return std::chrono::steady_clock::now();
}

time_point manual_clock::now() const
{
    return m_now;
}

void manual_clock::advance(duration step)
{
    advanceTo(m_now + step);
}

void manual_clock::advanceTo(time_point when)
{
    m_now = std::max(m_now, when);
}

std::chrono::milliseconds millisecondsBetween(time_point from, time_point to)
{
    return std::chrono::floor<std::chrono::milliseconds>(to - from);
}

} // namespace jackdawpick
