#include "results/results.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jackdawpick
{

// Guards against a new enumerator without a row: describe() would report it as an internal error.
TEST(Results, TableIsSortedAndUnique)
{
    const auto rows = allResults();
    EXPECT_TRUE(std::ranges::is_sorted(rows, std::ranges::less{}, &result_description::code));
    EXPECT_EQ(std::ranges::adjacent_find(rows, std::ranges::equal_to{}, &result_description::code), rows.end());
}

// Guards against telling callers to send a request again that may have run and is not idempotent.
TEST(Results, LaterIsOnlyAdvisedWhereTheRequestDidNotRunOrIsStillRunning)
{
    for (const auto &row : allResults()) {
        if (row.retry == retry_advice::Later) {
            EXPECT_TRUE(row.outcome == execution::NotRun || row.code == result_code::CallInProgress) << row.name;
        }
    }
}

TEST(Results, NumberOutsideTheTableIsAnInternalError)
{
    EXPECT_EQ(describe(static_cast<result_code>(999)).code, result_code::InternalError);
}

} // namespace jackdawpick
