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

} // namespace jackdawpick::store
