#include "gateway/internal/trim_marks.h"

#include <gtest/gtest.h>

namespace jackdawpick::gateway::internal
{

namespace
{

using namespace std::chrono_literals;

constexpr auto keepTime = 75s;
const time_point start{1h};
const store::partition where{"turns-1", 2};

std::vector<trim_marks::due_trim> take(trim_marks &marks, time_point now, std::chrono::milliseconds delay = 0ms)
{
    return marks.takeDue(now, keepTime, [delay](const store::partition &) { return delay; });
}

} // namespace

// Guards against the deletion of records that are still needed, and against records that are never deleted.
TEST(TrimMarks, AreDueOnceTheyAreOldEnough)
{
    trim_marks marks;
    marks.add(where, 5, start);
    marks.add(where, 9, start + 30s);
    EXPECT_TRUE(take(marks, start + 74s).empty());
    EXPECT_TRUE(take(marks, start + 75s, 10s).empty());
    EXPECT_EQ(take(marks, start + 75s), (std::vector<trim_marks::due_trim>{{where, 5}}));
    EXPECT_TRUE(take(marks, start + 104s).empty());
    EXPECT_EQ(take(marks, start + 200s), (std::vector<trim_marks::due_trim>{{where, 9}}));
    EXPECT_TRUE(marks.empty());
}

// Guards against a deletion for each append, and against a merged mark that is due before its last record is old
// enough.
TEST(TrimMarks, WithinTheMergeIntervalAreMerged)
{
    trim_marks marks;
    for (unsigned i = 0; i < 100; ++i) {
        marks.add(where, i + 1, start + i * 100ms);
    }
    marks.add(where, 50, start + 20s); // Arrives late.
    EXPECT_TRUE(take(marks, start + 9900ms + keepTime - 1ms).empty());
    EXPECT_EQ(take(marks, start + 9900ms + keepTime), (std::vector<trim_marks::due_trim>{{where, 100}}));
    EXPECT_TRUE(marks.empty());
}

// Guards against marks that are lost, or due too early, because a daemon that has restarted is told of older ones after
// newer ones.
TEST(TrimMarks, MayBeAddedInAnyOrder)
{
    trim_marks marks;
    marks.add(where, 30, start + 30s);
    marks.add(where, 10, start + 10s);
    marks.add(where, 20, start + 40s); // States less than the first one.
    marks.add(where, 10, start + 11s);
    marks.add(where, 50, start + 50s);
    marks.add(where, 40, start + 60s);
    EXPECT_EQ(marks.all().size(), 3U);
    EXPECT_EQ(take(marks, start + 10s + keepTime), (std::vector<trim_marks::due_trim>{{where, 10}}));
    EXPECT_TRUE(take(marks, start + 29s + keepTime).empty());
    EXPECT_EQ(take(marks, start + 45s + keepTime), (std::vector<trim_marks::due_trim>{{where, 30}}));
    EXPECT_EQ(take(marks, start + 50s + keepTime), (std::vector<trim_marks::due_trim>{{where, 50}}));
    EXPECT_TRUE(marks.empty());
}

// Guards against deletions that are repeated by each of the daemons, and against those that a failed call forgets.
TEST(TrimMarks, DeletionsAreRepeatedOnlyAfterAFailure)
{
    trim_marks marks;
    marks.add(where, 5, start);
    marks.add(where, 9, start + 30s);
    marks.onTrimmed(where, 5);
    EXPECT_TRUE(take(marks, start + 100s).empty());
    const auto due = take(marks, start + 105s);
    ASSERT_EQ(due.size(), 1U);
    marks.onTrimFailed(due.front(), start + 105s, keepTime);
    EXPECT_TRUE(take(marks, start + 114s).empty());
    EXPECT_EQ(take(marks, start + 115s), due);
}

} // namespace jackdawpick::gateway::internal
