#include "store/path_selector.h"

#include <gtest/gtest.h>

namespace jackdawpick::store
{

using namespace std::chrono_literals;

// Guards against requests that wait for a store that is known to turn this daemon away, although a peer reaches it.
TEST(PathSelector, TurnsToPeersUntilADirectCallIsServed)
{
    manual_clock clock;
    path_selector paths;
    EXPECT_EQ(paths.choose(true, clock.now()), path::Direct);
    paths.onDirectReply(failure::NoReply, clock.now());
    EXPECT_EQ(paths.choose(true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(false, clock.now()), path::Direct);
    paths.onDirectReply(failure::Refused, clock.now());
    EXPECT_EQ(paths.choose(true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(false, clock.now()), std::nullopt);
    clock.advance(1s);
    EXPECT_TRUE(paths.wasDownWithin(100ms, clock.now()));
    paths.onDirectReply(appended{1}, clock.now());
    EXPECT_EQ(paths.choose(false, clock.now()), path::Direct);
    EXPECT_TRUE(paths.wasDownWithin(3s, clock.now()));
    clock.advance(4s);
    EXPECT_FALSE(paths.wasDownWithin(3s, clock.now()));
}

// Guards against a store that is taken as away because all daemons together call it too often: endpoints that leave
// were then kept as if their entries had lapsed.
TEST(PathSelector, SharedRateLimitIsNoOutage)
{
    manual_clock clock;
    path_selector paths;
    paths.onDirectReply(appended{1}, clock.now());
    for (int i = 0; i < 5; ++i) {
        paths.onDirectReply(failure::RateLimited, clock.now());
    }
    EXPECT_TRUE(paths.isDirectPathUp(clock.now()));
    EXPECT_FALSE(paths.wasDownWithin(3s, clock.now()));
    clock.advance(path_selector::servedGrace);
    paths.onDirectReply(failure::RateLimited, clock.now());
    paths.onDirectReply(failure::RateLimited, clock.now());
    EXPECT_EQ(paths.choose(true, clock.now()), path::Relay); // This daemon alone is turned away.
}

// Guards against detours for a store that loses a part of its replies.
TEST(PathSelector, LostRepliesAreNoOutageWhileOthersAreServed)
{
    manual_clock clock;
    path_selector paths;
    for (int i = 0; i < 20; ++i) {
        paths.onDirectReply(i % 3 == 0 ? reply(appended{1}) : reply(failure::NoReply), clock.now());
        clock.advance(50ms);
        EXPECT_TRUE(paths.isDirectPathUp(clock.now()));
    }
    clock.advance(path_selector::servedGrace);
    paths.onDirectReply(failure::NoReply, clock.now());
    paths.onDirectReply(failure::NoReply, clock.now());
    EXPECT_FALSE(paths.isDirectPathUp(clock.now()));
}

// Guards against a daemon that takes a second to see that it is cut off, because its first lost calls came right after
// served ones and the next ones wait longer (inc-1322 of klitvagt-serve: 70 reservations refused by a decider that was
// cut off).
TEST(PathSelector, LostCallsCountOnceNothingIsServed)
{
    manual_clock clock;
    path_selector paths;
    paths.onDirectReply(appended{1}, clock.now());
    clock.advance(80ms);
    paths.onDirectReply(failure::NoReply, clock.now());
    paths.onDirectReply(failure::NoReply, clock.now());
    EXPECT_EQ(paths.choose(true, clock.now()), path::Direct);
    clock.advance(path_selector::servedGrace);
    EXPECT_EQ(paths.choose(true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(false, clock.now()), std::nullopt);
}

} // namespace jackdawpick::store
