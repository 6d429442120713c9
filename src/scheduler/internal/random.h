#pragma once

// Small seeded generator (SplitMix64), so that one state costs eight bytes and equal seeds give equal runs everywhere.

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

    // From 0 to bound - 1; `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

    // From 0 up to but not including 1.
    double unit()
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(next() >> 11U) * scale;
    }

private:
    std::uint64_t m_state;
};

} // namespace jackdawpick::internal
