#include "testing/allocated_bytes.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::size_t> heldBytes = 0;
std::atomic<std::size_t> peakBytes = 0;

// Null if there is no memory.
void *tryAllocate(std::size_t size)
{
    void *place = std::malloc(size == 0 ? 1 : size);
    if (place == nullptr) {
        return nullptr;
    }
    const auto added = ::malloc_usable_size(place);
    const auto held = heldBytes.fetch_add(added) + added;
    for (auto peak = peakBytes.load(); held > peak && !peakBytes.compare_exchange_weak(peak, held);) { }
    return place;
}

void *allocate(std::size_t size)
{
    void *place = tryAllocate(size);
    if (place == nullptr) {
        throw std::bad_alloc();
    }
    return place;
}

void release(void *place)
{
    if (place != nullptr) {
        heldBytes -= ::malloc_usable_size(place);
        std::free(place);
    }
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void *operator new(std::size_t size, const std::nothrow_t & /*tag*/) noexcept
{
    return tryAllocate(size);
}

void *operator new[](std::size_t size, const std::nothrow_t & /*tag*/) noexcept
{
    return tryAllocate(size);
}

void operator delete(void *place) noexcept
{
    release(place);
}

void operator delete[](void *place) noexcept
{
    release(place);
}

void operator delete(void *place, std::size_t /*size*/) noexcept
{
    release(place);
}

void operator delete[](void *place, std::size_t /*size*/) noexcept
{
    release(place);
}

namespace jackdawpick::testing
{

peak_allocation::peak_allocation()
    : m_start(::heldBytes)
{
    peakBytes = m_start;
}

std::size_t peak_allocation::bytes() const
{
    return peakBytes - m_start;
}

std::size_t peak_allocation::heldBytes() const
{
    const std::size_t held = ::heldBytes;
    return held - std::min(held, m_start);
}

} // namespace jackdawpick::testing
