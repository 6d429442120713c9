#include "clock/clock.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

// The clocks of a host that was suspended for a minute of the hour since its start.
int readSuspendedHost(clockid_t clock, timespec *result)
{
    constexpr time_t hour = 3600;
    constexpr time_t suspended = 60;
    *result = {.tv_sec = clock == CLOCK_BOOTTIME ? hour : hour - suspended, .tv_nsec = 5};
    return 0;
}

} // namespace

// Guards against a lease or a permit that is used after its time because the clock stood still with the host.
TEST(Clock, CountsTheTimeForWhichTheHostWasSuspended)
{
    const system_clock_source clock(&readSuspendedHost);
    EXPECT_EQ(clock.now().time_since_epoch(), 1h + 5ns);
}

// Guards against a clock that stands still or goes back.
TEST(Clock, GoesOn)
{
    const system_clock_source clock;
    const auto before = clock.now();
    timespec pause{.tv_sec = 0, .tv_nsec = 2000000};
    nanosleep(&pause, nullptr);
    EXPECT_GE(clock.now() - before, 2ms);
}

} // namespace jackdawpick
