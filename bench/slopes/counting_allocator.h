#pragma once

// Counts the heap of the process. Linking this replaces operator new and delete.
//
//   const auto before = heapBytes();
//   ...
//   const auto used = heapBytes() - before;

#include <cstdint>

namespace jackdawpick
{

// Bytes in blocks that operator new handed out and that are not yet freed, as the allocator rounds them. One thread.
[[nodiscard]] std::int64_t heapBytes();

} // namespace jackdawpick
