#include "slopes/counting_allocator.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::int64_t liveBytes = 0;

void *allocate(std::size_t size)
{
    void *block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    liveBytes += static_cast<std::int64_t>(malloc_usable_size(block));
    return block;
}

void release(void *block) noexcept
{
    if (block != nullptr) {
        liveBytes -= static_cast<std::int64_t>(malloc_usable_size(block));
        std::free(block);
    }
}

} // namespace

std::int64_t jackdawpick::heapBytes()
{
    return liveBytes;
}

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void *block) noexcept
{
    release(block);
}

void operator delete[](void *block) noexcept
{
    release(block);
}

void operator delete(void *block, std::size_t) noexcept
{
    release(block);
}

void operator delete[](void *block, std::size_t) noexcept
{
    release(block);
}
