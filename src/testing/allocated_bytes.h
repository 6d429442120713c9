#pragma once

// Counts the bytes that the program holds through operator new. Linking this library replaces the global operators.
// Resident memory would not do: it depends on the allocator and on the sanitizers.
//
//   peak_allocation peak;
//   work();
//   EXPECT_LE(peak.bytes(), maxHeldBytes);
//
// The counters are thread safe; at most one peak_allocation may exist at a time.

#include <cstddef>

namespace jackdawpick::testing
{

class peak_allocation
{
public:
    peak_allocation();
    // The most bytes held at one moment since the construction, beyond those held at the construction.
    [[nodiscard]] std::size_t bytes() const;
    // The bytes held now beyond those held at the construction; 0 if they are fewer.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    std::size_t m_start = 0;
};

} // namespace jackdawpick::testing
