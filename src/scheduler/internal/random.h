#pragma once

// Seeded pseudo-random generator (SplitMix64): eight bytes of state, and equal seeds give equal sequences on every
// platform.

#include <cstdint>

namespace jackdawpick::internal
{

class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    // Uniform in [0, bound); `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

    // Uniform in [0, 1).
    double unit()
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(next() >> 11U) * scale;
    }

private:
    std::uint64_t m_state;
};

} // namespace jackdawpick::internal
