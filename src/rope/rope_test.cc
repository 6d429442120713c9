#include "rope/rope.h"

#include "testing/allocated_bytes.h"

#include <gtest/gtest.h>

namespace jackdawpick
{

// Guards against bytes that are lost or doubled where segments meet.
TEST(Rope, ReadsLikeTheJoinedText)
{
    rope text("ab");
    text.append(rope(""));
    text.append(rope("cde") + rope("f"));
    EXPECT_EQ(text.str(), "abcdef");
    EXPECT_EQ(text.size(), 6U);
    EXPECT_EQ(text.segments().size(), 3U);
    const std::string joined = "abcdef";
    for (std::size_t offset = 0; offset <= joined.size(); ++offset) {
        for (std::size_t length = 0; length <= joined.size() + 1; ++length) {
            EXPECT_EQ(text.substr(offset, length), joined.substr(offset, length)) << offset << " " << length;
        }
    }
    EXPECT_EQ(text.substr(9, 1), "");
    EXPECT_TRUE(text == rope("abcdef"));
    EXPECT_FALSE(text == rope("abcdeg"));
    EXPECT_FALSE(text == rope("abcde"));
    text.append(text);
    EXPECT_EQ(text.str(), joined + joined);
}

// Guards against a text that many hold and that is in memory more than once, or counted more or less than it is held.
TEST(TextAccount, CountsWhatIsHeld)
{
    constexpr std::size_t bytes = 4000000;
    constexpr std::size_t others = 100000; // Lists of segments, and the small texts.
    const testing::peak_allocation allocation;
    text_account account;
    std::string grown(bytes / 2, 'i');
    grown += std::string(bytes / 2, 'i');
    rope history(account.share(std::move(grown)));
    std::vector<rope> prompts;
    for (int i = 0; i < 40; ++i) {
        prompts.push_back(history + rope(account.share("input")));
        EXPECT_EQ(prompts.back().uncountedBytes(), 0U);
    }
    EXPECT_GE(account.bytes(), bytes);
    EXPECT_LE(allocation.heldBytes(), account.bytes() + others);
    EXPECT_LE(account.bytes(), allocation.heldBytes());
    history = rope();
    prompts.resize(1);
    EXPECT_GE(account.bytes(), bytes);
    prompts.clear();
    EXPECT_EQ(account.bytes(), 0U);
    EXPECT_LE(allocation.heldBytes(), others);
}

// Guards against reservations that are never given back, or given back twice.
TEST(TextAccount, GivesReservationsBack)
{
    text_account account;
    auto one = account.reserve(100);
    auto other = account.reserve(10);
    EXPECT_EQ(account.bytes(), 110U);
    other.resize(30);
    EXPECT_EQ(account.bytes(), 130U);
    one = std::move(other);
    EXPECT_EQ(account.bytes(), 30U);
    EXPECT_EQ(one.bytes(), 30U);
    {
        const auto moved = std::move(one);
        EXPECT_EQ(account.bytes(), 30U);
    }
    EXPECT_EQ(account.bytes(), 0U);
    text_reservation none;
    none.resize(5);
    EXPECT_EQ(none.bytes(), 0U);
}

// Guards against a cache that counts the beginning of a conversation once for each of its turns.
TEST(SegmentCount, CountsSharedSegmentsOnce)
{
    rope one("begin");
    const auto two = one + rope("next");
    segment_count count;
    count.add(one);
    count.add(two);
    EXPECT_EQ(count.bytes(), 9U);
    count.remove(one);
    EXPECT_EQ(count.bytes(), 9U);
    count.remove(two);
    EXPECT_EQ(count.bytes(), 0U);
}

} // namespace jackdawpick
