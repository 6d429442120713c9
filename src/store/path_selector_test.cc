#include "store/path_selector.h"

#include <gtest/gtest.h>

namespace jackdawpick::store
{

// Guards against requests that wait for a store that is known to turn this daemon away, although a peer reaches it.
TEST(PathSelector, TurnsToPeersUntilADirectCallIsServed)
{
    manual_clock clock;
    path_selector paths;
    EXPECT_EQ(paths.choose(true), path::Direct);
    paths.onDirectReply(false, clock.now());
    EXPECT_EQ(paths.choose(true), path::Direct);
    paths.onDirectReply(false, clock.now());
    EXPECT_EQ(paths.choose(true), path::Relay);
    EXPECT_EQ(paths.choose(false), std::nullopt);
    EXPECT_EQ(paths.upSince(), std::nullopt);
    clock.advance(std::chrono::seconds(1));
    paths.onDirectReply(true, clock.now());
    EXPECT_EQ(paths.choose(false), path::Direct);
    EXPECT_EQ(paths.upSince(), clock.now());
}

} // namespace jackdawpick::store
