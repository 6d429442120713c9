#include "store/store.h"

#include <gtest/gtest.h>

namespace jackdawpick::store
{

// Guards against counting a store that has no room, or rejects a call, as one that is out of reach.
TEST(Replies, ServedOnesAreThoseThatTheStoreProcessed)
{
    EXPECT_TRUE(isServed(appended{1}));
    EXPECT_TRUE(isServed(conflict{1}));
    EXPECT_TRUE(isServed(failure::Rejected));
    EXPECT_TRUE(isServed(failure::Full));
    EXPECT_FALSE(isServed(failure::NoReply));
    EXPECT_FALSE(isServed(failure::Refused));
    EXPECT_FALSE(isServed(failure::RateLimited));
}

// Guards against a kind of failure that is logged and counted under another one's name.
TEST(Replies, EachFailureHasAName)
{
    EXPECT_EQ(nameOf(failure::NoReply), "no_reply");
    EXPECT_EQ(nameOf(failure::Refused), "refused");
    EXPECT_EQ(nameOf(failure::RateLimited), "rate_limited");
    EXPECT_EQ(nameOf(failure::Rejected), "rejected");
    EXPECT_EQ(nameOf(failure::Full), "full");
}

// Guards against a count of stored bytes that leaves out keys or further records.
TEST(Replies, RecordBytesAreThoseOfKeysAndValues)
{
    const partition where{"t", 0};
    EXPECT_EQ(recordBytes(call(append_call{where, {"ab", "cde"}, std::nullopt})), 5U);
    EXPECT_EQ(recordBytes(call(put_call{where, "key", "value"})), 8U);
    EXPECT_EQ(recordBytes(call(trim_call{where, 9})), 0U);
    EXPECT_EQ(recordBytes(reply(records_read{2, {{0, "", "ab"}, {1, "k", "v"}}, 2})), 4U);
    EXPECT_EQ(recordBytes(reply(newest_page{{{4, "k", "v"}}, false, 6})), 2U);
    EXPECT_EQ(recordBytes(reply(failure::Full)), 0U);
}

} // namespace jackdawpick::store
