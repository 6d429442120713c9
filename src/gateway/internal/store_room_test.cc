#include "gateway/internal/store_room.h"

#include <gtest/gtest.h>

namespace jackdawpick::gateway::internal
{

using namespace std::chrono_literals;

namespace
{

class store_room_test : public ::testing::Test
{
protected:
    void append(const store::reply &result)
    {
        room.onReply("append", where, result, clock.now());
    }

    const store::partition where{"turns-3", 4};
    manual_clock clock;
    store_room room;
};

} // namespace

// Guards against a full store that cannot be told from one that is busy or unreachable (inc1 of klitvagt-serve-grown).
TEST_F(store_room_test, FullIsReportedOnceWithTheCall)
{
    append(store::failure::Refused);
    append(store::appended{});
    EXPECT_FALSE(room.takeChange().has_value());
    append(store::failure::Full);
    append(store::failure::Full);
    EXPECT_TRUE(room.isFull());
    const auto change = room.takeChange();
    ASSERT_TRUE(change.has_value());
    EXPECT_TRUE(change->full);
    EXPECT_EQ(change->call, "append");
    EXPECT_EQ(change->where, where);
    EXPECT_FALSE(room.takeChange().has_value());
}

TEST_F(store_room_test, AcceptedAppendReportsHowLongTheStoreWasFull)
{
    append(store::failure::Full);
    (void)room.takeChange();
    clock.advance(3s);
    append(store::records_read{});
    EXPECT_TRUE(room.isFull()); // A full store serves reads.
    append(store::appended{});
    EXPECT_FALSE(room.isFull());
    const auto change = room.takeChange();
    ASSERT_TRUE(change.has_value());
    EXPECT_FALSE(change->full);
    EXPECT_EQ(change->fullFor, 3s);
}

// Guards against a log that is filled by a store which accepts small records and refuses large ones; hundreds of
// store_lost and store_regained a second pushed the lines before a fault out of the record (inc1).
TEST_F(store_room_test, ChangesAreBounded)
{
    int changes = 0;
    for (int i = 0; i < 500; ++i) {
        append(i % 2 == 0 ? store::reply(store::failure::Full) : store::reply(store::appended{}));
        changes += room.takeChange().has_value() ? 1 : 0;
        clock.advance(10ms);
    }
    EXPECT_EQ(changes, 1);
    EXPECT_TRUE(room.isFull());
}

} // namespace jackdawpick::gateway::internal
