#pragma once

// A log partition in memory, and daemons that decide on its budgets, for tests.
//
//   class some_test : public budget_partition_fixture {};
//   reserve(one, "attempt-1");
//   run(one);
//   EXPECT_EQ(one.decisionOn("attempt-1"), budget_decision::Granted);

#include "programs/programs.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

namespace jackdawpick::programs::testing
{

inline const store::partition where{"programs-0", 3};

// In-memory model of a log partition.
struct fake_log
{
    std::vector<std::string> records;

    store::reply execute(const store::call &call)
    {
        if (const auto *append = std::get_if<store::append_call>(&call)) {
            if (append->expectedEnd.has_value() && *append->expectedEnd != records.size()) {
                return store::conflict{records.size()};
            }
            const std::uint64_t first = records.size();
            records.insert(records.end(), append->records.begin(), append->records.end());
            return store::appended{first};
        }
        const auto &read = std::get<store::read_call>(call);
        store::records_read result{.end = records.size(), .records = {}, .next = records.size()};
        for (auto offset = read.from; offset < records.size(); ++offset) {
            result.records.push_back({.offset = offset, .key = {}, .value = records[offset]});
        }
        return result;
    }
};

// A daemon that decides on the partition's budgets.
struct fake_daemon
{
    budget_partition budgets{where};
    std::deque<start_budget_call> calls;
    std::vector<budget_response> responses;

    void collect()
    {
        for (auto &output : budgets.takeOutputs()) {
            if (auto *started = std::get_if<start_budget_call>(&output)) {
                calls.push_back(std::move(*started));
            } else {
                responses.push_back(std::get<budget_response>(output));
            }
        }
    }

    [[nodiscard]] budget_decision decisionOn(const std::string &attempt) const
    {
        const auto found =
            std::ranges::find(responses, attempt, [](const auto &entry) { return entry.request.attempt; });
        return found == responses.end() ? budget_decision::Unavailable : found->decision;
    }

    [[nodiscard]] bool hasResponse(const std::string &attempt) const
    {
        return std::ranges::any_of(responses, [&](const auto &entry) { return entry.request.attempt == attempt; });
    }
};

class budget_partition_fixture : public ::testing::Test
{
protected:
    void reserve(fake_daemon &daemon, const std::string &attempt, std::uint32_t tokens = 100,
                 std::uint32_t budget = 1000)
    {
        daemon.budgets.reserve({.program = "p", .attempt = attempt, .tokens = tokens, .budget = budget},
                               clock.now() + std::chrono::seconds(1), clock.now());
        daemon.collect();
    }

    void settle(fake_daemon &daemon, const std::string &attempt, std::uint32_t tokens)
    {
        daemon.budgets.settle({.program = "p", .attempt = attempt, .tokens = tokens}, clock.now());
        daemon.collect();
    }

    void reply(fake_daemon &daemon, const store::reply &result)
    {
        const auto call = daemon.calls.front();
        daemon.calls.pop_front();
        daemon.budgets.onReply(call.id, result, clock.now());
        daemon.collect();
    }

    // Executes store calls and advances the clock in ten steps of 10 ms, less than the batching delay.
    void run(fake_daemon &daemon)
    {
        for (int i = 0; i < 10; ++i) {
            while (!daemon.calls.empty()) {
                reply(daemon, log.execute(daemon.calls.front().call));
            }
            clock.advance(std::chrono::milliseconds(10));
            daemon.budgets.tick(clock.now());
            daemon.collect();
        }
    }

    manual_clock clock;
    fake_log log;
    fake_daemon one;
    fake_daemon two;
};

} // namespace jackdawpick::programs::testing
