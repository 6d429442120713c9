#include "admission/admission.h"

#include <gtest/gtest.h>

namespace jackdawpick::admission
{

using namespace std::chrono_literals;

// Guards against programs that all finish late in a flood because new ones delay those under way.
TEST(Priority, ProgramsUnderWayGoBeforeNewOnes)
{
    EXPECT_LT(priorityOf({.rank = 2, .firstTurn = false}), priorityOf({.rank = 2, .firstTurn = true}));
}

// Guards against routine work that delays urgent work.
TEST(Priority, RankGoesFirst)
{
    for (int rank = 0; rank < lastPriority; ++rank) {
        const int lowest = priorityOf({.rank = rank, .firstTurn = true});
        EXPECT_LE(lowest, priorityOf({.rank = rank + 1, .firstTurn = false}));
        EXPECT_GE(lowest, 0);
        EXPECT_LE(lowest, lastPriority);
    }
}

// Guards against refusals while engines are free, and of programs on which time has been spent.
TEST(Admission, OnlyFirstTurnsInAFloodAreRefused)
{
    for (const int rank : {0, 2}) {
        EXPECT_FALSE(delayOf({.rank = rank, .firstTurn = true}, 1.0, 0.0).has_value());
        EXPECT_FALSE(delayOf({.rank = rank, .firstTurn = false}, 100.0, 0.0).has_value());
        EXPECT_TRUE(delayOf({.rank = rank, .firstTurn = true}, 100.0, 0.99).has_value());
    }
}

// Guards against urgent programs that are refused before routine ones.
TEST(Admission, RoutineProgramsAreRefusedFirst)
{
    for (double utilisation = 0; utilisation < 4; utilisation += 0.1) {
        if (delayOf({.rank = 0, .firstTurn = true}, utilisation, 0.5).has_value()) {
            EXPECT_TRUE(delayOf({.rank = 2, .firstTurn = true}, utilisation, 0.5).has_value());
        }
    }
}

} // namespace jackdawpick::admission
