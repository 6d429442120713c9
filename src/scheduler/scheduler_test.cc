#include "scheduler/scheduler.h"
#include "scheduler/scheduler_options.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

const std::vector<rank_policy> twoRanks{{.name = "urgent", .share = 0.5}, {.name = "routine", .share = 0.3}};

class scheduling_test : public ::testing::Test
{
protected:
    scheduling_test()
    {
        setUp({}, 4, 4);
    }

    void setUp(const scheduler_options &options, std::size_t engines, std::uint32_t slots)
    {
        std::vector<host_entry> hosts(engines);
        for (std::size_t i = 0; i < engines; ++i) {
            hosts[i].name = "e" + std::to_string(i);
            hosts[i].address = std::to_string(i);
            hosts[i].pool = "p";
            hosts[i].slots = slots;
        }
        table = endpoint_table({.initialLimit = slots}, 1);
        table.applyHostList(hosts, clock.now());
        queue = scheduler(options, 1);
        queue.configure(twoRanks, {});
    }

    waiting_call call(std::uint64_t handle, rank_index rank = 0, token_count attained = 0) const
    {
        return {.handle = handle,
                .program = {"c", "p" + std::to_string(handle)},
                .rank = rank,
                .pool = "p",
                .promptTokens = 1000,
                .maxTokens = 100,
                .attainedService = attained,
                .content = handle,
                .arrived = clock.now(),
                .deadline = clock.now() + 60s};
    }

    std::vector<std::uint64_t> assignedHandles()
    {
        std::vector<std::uint64_t> handles;
        for (const assignment &next : queue.assign(table, caches, clock.now())) {
            handles.push_back(next.handle);
            endpointOf[next.handle] = next.endpoint;
        }
        return handles;
    }

    void finish(std::uint64_t handle)
    {
        table.onFinished(endpointOf.at(handle), handle, {1000, 0, 100}, 100ms, 1s, clock.now());
        endpointOf.erase(handle);
    }

    manual_clock clock;
    endpoint_table table{{}, 1};
    cache_directory caches{{}};
    scheduler queue{{}, 1};
    std::map<std::uint64_t, endpoint_id> endpointOf;
};

} // namespace

TEST(SchedulerOptions, PolicyNamesRoundTrip)
{
    for (const auto &[name, policy] : routingNames) {
        ASSERT_TRUE(routingFromName(name));
        EXPECT_EQ(nameOf(*routingFromName(name)), name);
    }
    EXPECT_FALSE(orderFromName("newest_first"));
    EXPECT_FALSE(admissionFromName(""));
}

// Guards against urgent calls waiting behind routine ones and, within a rank, long programs served before short ones.
TEST_F(scheduling_test, RankFirstThenLeastAttainedService)
{
    setUp({}, 1, 1);
    queue.enqueue(call(1, 1), clock.now());
    queue.enqueue(call(2, 0, 50000), clock.now());
    queue.enqueue(call(3, 0, 0), clock.now());
    EXPECT_EQ(assignedHandles(), (std::vector<std::uint64_t>{3}));
    finish(3); // The answer raises the endpoint's limit to two.
    EXPECT_EQ(assignedHandles(), (std::vector<std::uint64_t>{2, 1}));
}

// Guards against starvation of a long program while short ones keep arriving.
TEST_F(scheduling_test, AgeingBoundsTheDelayOfALongProgram)
{
    setUp({}, 1, 1);
    queue.enqueue(call(1, 0, 100000), clock.now()); // Equals 5 s of waiting at 20,000 tokens per second.
    clock.advance(6s);
    queue.enqueue(call(2, 0, 0), clock.now());
    EXPECT_EQ(assignedHandles(), (std::vector<std::uint64_t>{1}));
}

// Guards against routing a program away from its cached prefix, and against overloading the endpoint that holds it.
TEST_F(scheduling_test, PrefixHolderIsChosenUntilItIsFull)
{
    waiting_call first = call(1);
    first.promptTokens = 20000;
    caches.onServed(first.program, "e2", 19000, clock.now());
    queue.enqueue(first, clock.now());
    ASSERT_EQ(assignedHandles().size(), 1U);
    EXPECT_EQ(endpointOf.at(1), static_cast<endpoint_id>(2));
    table.onLoad(static_cast<endpoint_id>(2), {.running = 4, .queued = 6, .slots = 4}, clock.now());
    waiting_call second = first;
    second.handle = 2;
    queue.enqueue(second, clock.now());
    ASSERT_EQ(assignedHandles().size(), 1U);
    EXPECT_NE(endpointOf.at(2), static_cast<endpoint_id>(2));
}

TEST_F(scheduling_test, CallThatTriedEveryEndpointDoesNotBlockTheNextOne)
{
    waiting_call tried = call(1);
    tried.excluded = table.all();
    EXPECT_EQ(queue.admit(tried, table, clock.now())->code, result_code::NoEndpoint);
    queue.enqueue(tried, clock.now());
    queue.enqueue(call(2), clock.now());
    EXPECT_EQ(assignedHandles(), (std::vector<std::uint64_t>{2}));
}

// Guards against queueing calls that cannot be served in time. They are refused at once or, if the estimate was too
// low, when the queue target has passed; in both cases with a retry time.
TEST_F(scheduling_test, CallsThatCannotMeetTheTargetAreRefusedWithARetryTime)
{
    setUp({}, 1, 1);
    for (std::uint64_t handle = 1; handle <= 30; ++handle) {
        if (!queue.admit(call(handle), table, clock.now())) {
            queue.enqueue(call(handle), clock.now());
        }
    }
    EXPECT_LT(queue.waiting(), 10U);
    const auto refused = queue.admit(call(40), table, clock.now());
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->code, result_code::Overloaded);
    EXPECT_GT(refused->retryAfter, 0ms);
    EXPECT_EQ(assignedHandles().size(), 1U);
    queue.enqueue(call(50), clock.now());
    clock.advance(1700ms);
    EXPECT_LE(queue.nextDeadline(), clock.now());
    const auto expired = queue.expire(clock.now());
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().code, result_code::Overloaded);
    EXPECT_GT(expired.front().retryAfter, 0ms);
    EXPECT_EQ(queue.waiting(), 0U);
}

TEST_F(scheduling_test, RetriesAreBoundedByFirstAttempts)
{
    int spent = 0;
    while (queue.spendRetry("c", clock.now())) {
        ++spent;
    }
    EXPECT_EQ(spent, 10);
    for (std::uint64_t handle = 1; handle <= 11; ++handle) {
        EXPECT_FALSE(queue.admit(call(handle), table, clock.now()));
    }
    EXPECT_TRUE(queue.spendRetry("c", clock.now()));
    EXPECT_FALSE(queue.spendRetry("c", clock.now()));
}

// Guards against an overloading rank that takes the share of the other one. Both ranks always have calls waiting, and
// the slots in use are compared in every window of 10 s. Call durations are random; the seed is printed.
TEST_F(scheduling_test, EveryRankKeepsItsShareOfSlots)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        setUp({.admission = no_admission{}}, 4, 10);
        std::uint64_t handle = std::uint64_t{seed} * 1000000;
        std::map<std::uint64_t, std::pair<time_point, rank_index>> running;
        for (int window = 0; window < 6; ++window) {
            double routine = 0;
            double all = 0;
            for (int step = 0; step < 100; ++step) {
                std::erase_if(running, [&](const auto &each) {
                    const bool over = each.second.first <= clock.now();
                    if (over) {
                        finish(each.first);
                    }
                    return over;
                });
                while (queue.waiting(0) < 20) {
                    queue.enqueue(call(++handle * 2, 0), clock.now());
                }
                while (queue.waiting(1) < 100) {
                    queue.enqueue(call(++handle * 2 + 1, 1), clock.now());
                }
                for (const std::uint64_t each : assignedHandles()) {
                    const auto length = std::chrono::milliseconds(200 + random() % 4000);
                    running[each] = {clock.now() + length, static_cast<rank_index>(each % 2)};
                }
                routine += table.inFlight("p")[1];
                all += table.inFlight("p")[0] + table.inFlight("p")[1];
                clock.advance(100ms);
            }
            if (window > 0) { // The engines are idle at the start of the first window.
                EXPECT_NEAR(routine / all, 0.3, 0.03);
            }
        }
        std::ranges::for_each(running, [this](const auto &each) { finish(each.first); });
    }
}

// Guards against policies that place a call on a leaving, excluded or full endpoint. Events are random; the seed is
// printed.
TEST_F(scheduling_test, EveryPolicyRespectsEndpointLimits)
{
    for (const auto &[name, routing] : routingNames) {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            SCOPED_TRACE(testing::Message() << name << " seed " << seed);
            std::mt19937 random(seed);
            setUp({.routing = routing}, 6, 3);
            endpointOf.clear();
            for (std::uint64_t handle = 1; handle <= 300; ++handle) {
                clock.advance(std::chrono::milliseconds(random() % 100));
                if (random() % 60 == 0) {
                    table.markLeaving("e" + std::to_string(random() % 6), clock.now());
                }
                waiting_call next = call(handle, static_cast<rank_index>(random() % 2));
                next.excluded.push_back(static_cast<endpoint_id>(random() % 6));
                const endpoint_id excluded = next.excluded.front();
                queue.enqueue(next, clock.now());
                for (const std::uint64_t each : assignedHandles()) {
                    EXPECT_FALSE(table.view(endpointOf.at(each)).leaving);
                    EXPECT_TRUE(each != handle || endpointOf.at(each) != excluded);
                }
                for (const endpoint_id id : table.all()) {
                    EXPECT_LE(table.view(id).inFlight, table.view(id).limit + 1);
                }
                if (!endpointOf.empty() && random() % 2 == 0) {
                    finish(endpointOf.begin()->first);
                }
                (void)queue.expire(clock.now());
            }
        }
    }
}

} // namespace jackdawpick
