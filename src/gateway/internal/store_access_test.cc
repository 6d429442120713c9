#include "gateway/internal/store_access.h"

#include <gtest/gtest.h>

namespace jackdawpick::gateway::internal
{

using namespace std::chrono_literals;

namespace
{

class store_access_test : public ::testing::Test
{
protected:
    // Starts a call and returns how long it may take.
    std::chrono::milliseconds start()
    {
        std::vector<effect> out;
        access.start(for_nobody{}, store::read_call{.where = {"topic", 0}}, std::nullopt, clock.now(), out);
        const auto &call = std::get<make_store_call>(out.at(0));
        last = call.id;
        return call.timeout;
    }

    void replyAfter(std::chrono::milliseconds time, const store::reply &result)
    {
        clock.advance(time);
        access.onDirectReply({.call = last, .result = result}, clock.now());
    }

    manual_clock clock;
    store_access access;
    store_call_id last{};
};

} // namespace

// Guards against calls to a slow store that are given up one after the other while it still works on them: the first
// answer tells how long the next one takes (inc-b908 of wanza-agents).
TEST_F(store_access_test, OneSlowAnswerLengthensTheNextCalls)
{
    constexpr auto slow = 240ms;
    const auto before = start();
    replyAfter(4ms, store::records_read{});
    EXPECT_LT(before, slow);
    (void)start();
    replyAfter(before, store::failure::NoReply);
    (void)start();
    replyAfter(slow, store::records_read{});
    EXPECT_GT(start(), slow);
}

// Guards against waiting long for a lost answer after the store has become fast again.
TEST_F(store_access_test, FastAnswersShortenTheNextCalls)
{
    const auto usual = start();
    replyAfter(240ms, store::records_read{});
    for (int i = 0; i < 50; ++i) {
        (void)start();
        replyAfter(4ms, store::records_read{});
    }
    EXPECT_LE(start(), 2 * usual);
}

} // namespace jackdawpick::gateway::internal
