#include "store/path_selector.h"

#include <gtest/gtest.h>

namespace jackdawpick::store
{

using namespace std::chrono_literals;

namespace
{

const partition where{"programs-0", 3};
const partition other{"turns-7", 1};

} // namespace

// Guards against waiting for a store that refuses this daemon although a peer can reach it.
TEST(PathSelector, PrefersARelayUntilADirectCallIsServed)
{
    manual_clock clock;
    path_selector paths;
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Direct);
    paths.onDirectReply(where, failure::NoReply, clock.now());
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(where, false, clock.now()), path::Direct);
    paths.onDirectReply(where, failure::Refused, clock.now());
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(where, false, clock.now()), std::nullopt);
    clock.advance(1s);
    EXPECT_TRUE(paths.wasDownWithin(100ms, clock.now()));
    paths.onDirectReply(where, appended{1}, clock.now());
    EXPECT_EQ(paths.choose(where, false, clock.now()), path::Direct);
    EXPECT_TRUE(paths.wasDownWithin(3s, clock.now()));
    clock.advance(4s);
    EXPECT_FALSE(paths.wasDownWithin(3s, clock.now()));
}

// Guards against treating the shared rate limit as an outage of the store: endpoints that had left were then kept as if
// their entries had expired during the outage.
TEST(PathSelector, SharedRateLimitIsNoOutage)
{
    manual_clock clock;
    path_selector paths;
    paths.onDirectReply(where, appended{1}, clock.now());
    for (int i = 0; i < 5; ++i) {
        paths.onDirectReply(where, failure::RateLimited, clock.now());
    }
    EXPECT_TRUE(paths.isDirectPathUp(clock.now()));
    EXPECT_FALSE(paths.wasDownWithin(3s, clock.now()));
    clock.advance(path_selector::servedWindow);
    paths.onDirectReply(where, failure::RateLimited, clock.now());
    paths.onDirectReply(where, failure::RateLimited, clock.now());
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Relay); // Only this daemon is refused.
}

// Guards against treating a full store, which refuses appends and serves reads, as an outage of the path (inc1 of
// klitvagt-serve-grown): all daemons then relayed calls to each other and reported the store as lost and regained.
TEST(PathSelector, FullStoreIsNoOutage)
{
    manual_clock clock;
    path_selector paths;
    for (int i = 0; i < 5; ++i) {
        paths.onDirectReply(where, failure::Full, clock.now());
        clock.advance(path_selector::servedWindow);
        EXPECT_FALSE(paths.isSuspect(clock.now()));
    }
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Direct);
    EXPECT_FALSE(paths.wasDownWithin(3s, clock.now()));
}

// Guards against relaying calls because the store loses some of its replies.
TEST(PathSelector, LostRepliesAreNoOutageWhileOthersAreServed)
{
    manual_clock clock;
    path_selector paths;
    for (int i = 0; i < 20; ++i) {
        paths.onDirectReply(where, i % 3 == 0 ? reply(appended{1}) : reply(failure::NoReply), clock.now());
        clock.advance(50ms);
        EXPECT_TRUE(paths.isDirectPathUp(clock.now()));
    }
    clock.advance(path_selector::servedWindow);
    paths.onDirectReply(where, failure::NoReply, clock.now());
    paths.onDirectReply(where, failure::NoReply, clock.now());
    EXPECT_FALSE(paths.isDirectPathUp(clock.now()));
}

// Guards against a daemon that needs a second to detect that it is cut off from the store, because its first lost calls
// follow served ones and later calls wait longer (inc-1322 of klitvagt-serve: the daemon that decided on budgets was
// cut off and refused 70 reservations).
TEST(PathSelector, LostCallsCountOnceNothingIsServed)
{
    manual_clock clock;
    path_selector paths;
    paths.onDirectReply(where, appended{1}, clock.now());
    clock.advance(80ms);
    paths.onDirectReply(where, failure::NoReply, clock.now());
    paths.onDirectReply(where, failure::NoReply, clock.now());
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Direct);
    clock.advance(path_selector::servedWindow);
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(where, false, clock.now()), std::nullopt);
}

// Guards against a store that counts as lost because it refuses the calls to one partition (trouble-3 of
// wanza-agents-large, seed 5): records that all daemons wrote again and again were refused, and no turn was served.
TEST(PathSelector, RefusalsOfOnePartitionAreNoOutageWhileOthersAreServed)
{
    manual_clock clock;
    path_selector paths;
    for (int i = 0; i < 20; ++i) {
        paths.onDirectReply(other, appended{1}, clock.now());
        paths.onDirectReply(where, failure::Refused, clock.now());
        paths.onDirectReply(where, failure::Refused, clock.now());
        clock.advance(50ms);
        EXPECT_TRUE(paths.isDirectPathUp(clock.now()));
        EXPECT_EQ(paths.choose(other, true, clock.now()), path::Direct);
    }
    EXPECT_FALSE(paths.wasDownWithin(3s, clock.now()));
}

// Guards against the same on a quiet daemon, which makes no other call for some time.
TEST(PathSelector, RefusalsOfOnePartitionAloneAreNoOutage)
{
    manual_clock clock;
    path_selector paths;
    for (int i = 0; i < 5; ++i) {
        paths.onDirectReply(where, failure::Refused, clock.now());
        clock.advance(path_selector::servedWindow);
        EXPECT_TRUE(paths.isSuspect(clock.now())); // A probe tells.
        EXPECT_TRUE(paths.isDirectPathUp(clock.now()));
    }
}

// Guards against a wait for calls of the same partition to be refused again while a peer may get them served.
TEST(PathSelector, ARefusedPartitionIsRelayedAtOnce)
{
    manual_clock clock;
    path_selector paths;
    paths.onDirectReply(other, appended{1}, clock.now());
    paths.onDirectReply(where, failure::Refused, clock.now());
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Relay);
    EXPECT_EQ(paths.choose(where, false, clock.now()), path::Direct);
    paths.onDirectReply(where, appended{1}, clock.now());
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Direct);
    EXPECT_TRUE(paths.wasRefusedWithin(where, 3s, clock.now()));
    EXPECT_FALSE(paths.wasRefusedWithin(other, 3s, clock.now()));
    clock.advance(4s);
    EXPECT_FALSE(paths.wasRefusedWithin(where, 3s, clock.now()));
}

// Guards against a store that refuses all calls of this daemon and is not known as lost since one was served before.
TEST(PathSelector, RefusalsCountOnceNothingIsServed)
{
    manual_clock clock;
    path_selector paths;
    paths.onDirectReply(other, appended{1}, clock.now());
    paths.onDirectReply(where, failure::Refused, clock.now());
    paths.onDirectReply(other, failure::Refused, clock.now());
    clock.advance(path_selector::servedWindow);
    EXPECT_FALSE(paths.isDirectPathUp(clock.now()));
    EXPECT_EQ(paths.choose(where, true, clock.now()), path::Relay);
}

} // namespace jackdawpick::store
