#include "clock/clock.h"

#include <algorithm>

namespace jackdawpick
{

system_clock_source::system_clock_source(clock_reader reader)
    : m_reader(reader)
{
}

time_point system_clock_source::now() const
{
    timespec elapsed{};
    m_reader(CLOCK_BOOTTIME, &elapsed); // Cannot fail: the clock exists since Linux 2.6.39.
    return time_point(std::chrono::seconds(elapsed.tv_sec) + std::chrono::nanoseconds(elapsed.tv_nsec));
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
