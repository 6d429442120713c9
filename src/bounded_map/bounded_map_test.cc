#include "bounded_map/bounded_map.h"

#include "testing/allocated_bytes.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

std::string idOf(int number, std::size_t bytes)
{
    auto id = std::to_string(number);
    return id + std::string(bytes - id.size(), 'i');
}

} // namespace

// Guards against a bound that evicts what was used just now.
TEST(BoundedMap, EvictsTheLeastRecentlyUsed)
{
    bounded_map<int> map(1000);
    int added = 0;
    std::vector<bounded_map<int>::item> evicted;
    while (evicted.empty()) {
        if (added > 0) {
            ASSERT_NE(map.find("0"), nullptr);
        }
        evicted = map.put(std::to_string(added), added, 0);
        ++added;
        ASSERT_LT(added, 100);
    }
    ASSERT_EQ(evicted.size(), 1U);
    EXPECT_EQ(evicted.front().id, "1");
    EXPECT_EQ(evicted.front().value, 1);
    EXPECT_TRUE(map.contains("0"));
    EXPECT_FALSE(map.contains("1"));
    EXPECT_LE(map.bytes(), 1000U);
}

// Guards against a value that is counted twice, or not at all, once it is replaced or erased.
TEST(BoundedMap, CountsAReplacedValueOnce)
{
    bounded_map<int> map(10000);
    (void)map.put("a", 1, 100);
    const auto one = map.bytes();
    (void)map.put("a", 2, 300);
    EXPECT_EQ(map.bytes(), one + 200);
    EXPECT_EQ(*map.find("a"), 2);
    (void)map.put("b", 3, 0);
    const auto erased = map.extractIf([](int value) { return value == 2; });
    ASSERT_EQ(erased.size(), 1U);
    EXPECT_EQ(erased.front().id, "a");
    map.erase("b");
    EXPECT_EQ(map.bytes(), 0U);
    EXPECT_EQ(map.size(), 0U);
}

// Guards against a map that holds more of the process's memory than it counts: a bound of what is not held is none.
TEST(BoundedMap, CountsWhatTheProcessHolds)
{
    constexpr std::size_t maxBytes = 1U << 20U;
    for (const std::size_t idBytes : {8U, 40U, 2000U}) {
        for (const std::size_t valueBytes : {1U, 300U}) {
            const testing::peak_allocation allocation;
            bounded_map<std::string> map(maxBytes);
            for (int i = 0; i < 20000; ++i) {
                std::string value(valueBytes, 'v');
                const auto heap = heapBytes(value);
                (void)map.put(idOf(i, idBytes), std::move(value), heap);
            }
            const auto held = allocation.heldBytes();
            EXPECT_LE(map.bytes(), maxBytes);
            EXPECT_LE(held, map.bytes()) << idBytes << " " << valueBytes;
            EXPECT_GE(held * 2, map.bytes()) << idBytes << " " << valueBytes;
        }
    }
}

} // namespace jackdawpick
