#include "admission/admission.h"

#include <gtest/gtest.h>

namespace jackdawpick::admission
{

using namespace std::chrono_literals;

// Guards against an overload in which all programs finish late because new programs delay running ones.
TEST(Priority, RunningProgramsPrecedeNewOnes)
{
    EXPECT_LT(priorityOf({.rank = 2, .firstTurn = false}), priorityOf({.rank = 2, .firstTurn = true}));
}

// Guards against routine turns that delay urgent ones.
TEST(Priority, UrgentRankTakesPrecedence)
{
    for (int rank = 0; rank < lowestPriority; ++rank) {
        const int lowest = priorityOf({.rank = rank, .firstTurn = true});
        EXPECT_LE(lowest, priorityOf({.rank = rank + 1, .firstTurn = false}));
        EXPECT_GE(lowest, 0);
        EXPECT_LE(lowest, lowestPriority);
    }
}

// Guards against refusals while engines have free slots, and against refusals of running programs.
TEST(Admission, OnlyFirstTurnsAreRefusedAndOnlyUnderOverload)
{
    for (const int rank : {0, 2}) {
        EXPECT_FALSE(retryDelayOf({.rank = rank, .firstTurn = true}, 1.0, 0.0).has_value());
        EXPECT_FALSE(retryDelayOf({.rank = rank, .firstTurn = false}, 100.0, 0.0).has_value());
        EXPECT_TRUE(retryDelayOf({.rank = rank, .firstTurn = true}, 100.0, 0.99).has_value());
    }
}

// Guards against refusing urgent programs while routine ones are still admitted.
TEST(Admission, RoutineProgramsAreRefusedFirst)
{
    for (double utilisation = 0; utilisation < 4; utilisation += 0.1) {
        if (retryDelayOf({.rank = 0, .firstTurn = true}, utilisation, 0.5).has_value()) {
            EXPECT_TRUE(retryDelayOf({.rank = 2, .firstTurn = true}, utilisation, 0.5).has_value());
        }
    }
}

// Guards against first turns that take the permits of programs under way, and routine ones those of urgent ones.
TEST(Admission, FirstTurnsLeavePermitsToMoreUrgentRequests)
{
    EXPECT_EQ(permitReserveOf({.rank = 0, .firstTurn = false}), 0);
    EXPECT_EQ(permitReserveOf({.rank = 2, .firstTurn = false}), 0);
    EXPECT_GT(permitReserveOf({.rank = 0, .firstTurn = true}), 0);
    EXPECT_GT(permitReserveOf({.rank = 2, .firstTurn = true}), permitReserveOf({.rank = 0, .firstTurn = true}));
}

} // namespace jackdawpick::admission
