#pragma once

// The clock as an interface, so that tests and randomised runs decide the time.
//
//   jackdawpick::manual_clock clock;
//   clock.advance(std::chrono::seconds(3));
//   jackdawpick::time_point now = clock.now();

#include <chrono>
#include <ctime>

namespace jackdawpick
{

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Source of monotonic time. Implementations need not be thread safe: the daemon runs one loop on one thread.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual time_point now() const = 0;
};

// The monotonic clock of the operating system that also counts the time for which the host was suspended: deadlines and
// permissions run out meanwhile, and the steady clock would not show it.
class system_clock_source final : public clock_source
{
public:
    // Reads a clock of the system as clock_gettime() does.
    using clock_reader = int (*)(clockid_t, timespec *);

    explicit system_clock_source(clock_reader reader = &clock_gettime);
    [[nodiscard]] time_point now() const override;

private:
    clock_reader m_reader;
};

// A clock that moves only when told to. Starts one hour after the epoch so that subtraction never underflows.
class manual_clock final : public clock_source
{
public:
    [[nodiscard]] time_point now() const override;
    void advance(duration step);
    // Moves to `when`; earlier times are ignored, since the clock is monotonic.
    void advanceTo(time_point when);

private:
    time_point m_now{std::chrono::hours(1)};
};

// Milliseconds from `from` to `to`, rounded down; negative when `to` is earlier.
[[nodiscard]] std::chrono::milliseconds millisecondsBetween(time_point from, time_point to);

} // namespace jackdawpick
