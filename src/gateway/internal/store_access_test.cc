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
    // Starts a call and returns its timeout.
    std::chrono::milliseconds start()
    {
        std::vector<effect> out;
        access.start(registration_owner{}, store::read_call{.where = {"topic", 0}}, std::nullopt, clock.now(), out);
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

// Guards against consecutive time-outs of calls that a slow store is still executing (inc-b908 of wanza-agents): the
// first reply must raise the timeout of the next calls.
TEST_F(store_access_test, OneSlowReplyRaisesTheTimeout)
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

// Guards against a long wait for a lost reply after the store has become fast again.
TEST_F(store_access_test, FastRepliesLowerTheTimeout)
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
