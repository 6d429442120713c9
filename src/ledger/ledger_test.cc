#include "ledger/ledger.h"

#include <gtest/gtest.h>
#include <random>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

constexpr auto lease = 10min;
const call_limits limits{.rank = 1,
                         .defaultBudget = 10000,
                         .maxBudget = 100000,
                         .maxTurns = 20,
                         .maxHistoryTokens = 5000,
                         .serviceCost = 10,
                         .programLease = 600000ms};

// A caller that keeps its message history, as an agent does.
struct caller
{
    program_key key{"wanza", "s1.a.1"};
    std::uint32_t turn = 1;
    std::vector<message> messages;

    [[nodiscard]] call_request modelCall(const std::string &text, std::uint32_t maxTokens = 100)
    {
        auto next = messages;
        next.push_back({"user", text});
        call_request call{.program = key, .turn = turn, .requestId = "r"};
        call.contentDigest = digestOf(text);
        call.kind = model_call{.model = "m", .history = digestHistory(next), .maxTokens = maxTokens};
        call.messages = std::make_shared<const std::vector<message>>(next);
        return call;
    }

    [[nodiscard]] call_request payment(const std::string &text) const
    {
        call_request call{.program = key, .turn = turn, .requestId = "r"};
        call.contentDigest = digestOf(text);
        call.kind = service_call{.service = "payment", .path = "pay", .idempotent = false};
        return call;
    }

    void answered(const call_request &call, const std::string &answer)
    {
        if (call.messages) {
            messages = *call.messages;
            messages.push_back({"assistant", answer});
        }
        ++turn;
    }
};

class ledger_test : public ::testing::Test
{
protected:
    ledger_test()
    {
        open({.shard = 1, .token = 7, .previousToken = 3});
    }

    std::vector<log_record> open(const opened_shard &shard)
    {
        return programs.openShard(shard, lease, clock.now());
    }

    result_code codeOf(const call_request &call)
    {
        const auto decision = programs.check(call, limits, clock.now());
        if (const auto *refused = std::get_if<refusal>(&decision)) {
            return refused->code;
        }
        return result_code::Ok;
    }

    std::vector<log_record> begin(const call_request &call)
    {
        const auto decision = programs.check(call, limits, clock.now());
        return programs.begin(std::get<accepted_call>(decision), lease, clock.now());
    }

    void run(caller &by, const call_request &call, const std::string &answer = "ok")
    {
        (void)begin(call);
        (void)programs.settle(by.key,
                              {.outcome = execution::Ran, .tokensSpent = 50, .computedTokens = 50, .answer = answer},
                              clock.now());
        programs.confirmTurn(by.key, by.turn, "journal.a", by.turn);
        by.answered(call, answer);
    }

    manual_clock clock;
    ledger programs{{.receiptKey = "secret"}};
    caller wanza;
};

} // namespace

// Guards against calls that run out of order or twice because the caller resent them.
TEST_F(ledger_test, OnlyTheNextTurnIsAccepted)
{
    const auto first = wanza.modelCall("one");
    run(wanza, first);
    const auto second = wanza.modelCall("two");
    run(wanza, second);

    EXPECT_EQ(codeOf(first), result_code::TurnAlreadySettled);
    EXPECT_TRUE(std::holds_alternative<replayed_call>(programs.check(second, limits, clock.now())));
    auto changed = second;
    changed.contentDigest ^= 1U;
    EXPECT_EQ(codeOf(changed), result_code::TurnConflict);
    auto later = wanza.modelCall("four");
    later.turn = 4;
    EXPECT_EQ(codeOf(later), result_code::TurnOutOfOrder);

    const auto third = wanza.modelCall("three");
    (void)begin(third);
    EXPECT_EQ(codeOf(third), result_code::CallInProgress);
}

// Guards against running a turn on the history of another program or on an outdated history of its own.
TEST_F(ledger_test, HistoryMustContinueTheSettledOne)
{
    run(wanza, wanza.modelCall("one"), "answer");
    caller forged = wanza;
    forged.messages.back().content = "another answer";
    EXPECT_EQ(codeOf(forged.modelCall("two")), result_code::HistoryMismatch);
    EXPECT_EQ(codeOf(wanza.modelCall("two")), result_code::Ok);
}

// Guards against two customers with the same program id sharing a history.
TEST_F(ledger_test, SameIdOfAnotherCustomerIsAnotherProgram)
{
    run(wanza, wanza.modelCall("one"));
    caller vestkyst;
    vestkyst.key.customer = "vestkyst";
    EXPECT_EQ(codeOf(vestkyst.modelCall("one")), result_code::Ok);
    caller second = vestkyst;
    second.turn = 2;
    EXPECT_EQ(codeOf(second.modelCall("one")), result_code::TurnOutOfOrder);
}

// Guards against accepting a call whose worst-case cost exceeds the budget, and against not charging a reservation that
// was unsettled at a crash.
TEST_F(ledger_test, BudgetCoversTheWorstCase)
{
    auto call = wanza.modelCall("one", 9000);
    call.budgetTokens = 9001;
    (void)begin(call);
    (void)programs.settle(wanza.key, {.outcome = execution::NotRun, .tokensSpent = 9001}, clock.now());
    EXPECT_EQ(programs.find(wanza.key)->spent, 9001U);
    EXPECT_EQ(codeOf(call), result_code::BudgetExceeded);
    EXPECT_TRUE(programs.violations().empty());
}

// Guards against sub-agents that together spend more than their parent was given.
TEST_F(ledger_test, SubAgentsSpendFromTheirParent)
{
    run(wanza, wanza.modelCall("plan"));
    caller child;
    child.key.program = wanza.key.program + "~one";
    auto call = child.modelCall("sub");
    call.budgetTokens = 6000;
    run(child, call);
    caller second;
    second.key.program = wanza.key.program + "~two";
    auto other = second.modelCall("sub");
    other.budgetTokens = 6000;
    EXPECT_EQ(codeOf(other), result_code::BudgetExceeded);
    (void)programs.close(child.key, close_reason::Requested, clock.now());
    EXPECT_EQ(codeOf(other), result_code::Ok);
    EXPECT_TRUE(programs.violations().empty());
}

// Guards against the next owner of a shard repeating a payment whose outcome is unknown.
TEST_F(ledger_test, RestoredReservationIsUnknownAndNeverRunsAgain)
{
    const auto call = wanza.payment("pay 10");
    program_state state{.key = wanza.key, .budget = 1000};
    const call_reserved reservation{
        .key = wanza.key, .turn = 1, .contentDigest = call.contentDigest, .tokens = 10, .idempotent = false};
    const auto records = open({.shard = 1,
                               .token = 9,
                               .previousToken = 7,
                               .programs = {{.state = state, .unsettledReservation = reservation}}});
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(std::get<call_settled>(records.front()).outcome, execution::Unknown);
    EXPECT_EQ(codeOf(call), result_code::OutcomeUnknown);
}

// Guards against a model call that cannot be retried after its owner crashed.
TEST_F(ledger_test, RestoredIdempotentCallMayBeSentAgainAndCountsAsSpent)
{
    const auto call = wanza.modelCall("one");
    program_state state{.key = wanza.key, .budget = 1000};
    const call_reserved reservation{
        .key = wanza.key, .turn = 1, .contentDigest = call.contentDigest, .tokens = 101, .idempotent = true};
    (void)open({.shard = 1,
                .token = 9,
                .previousToken = 7,
                .programs = {{.state = state, .unsettledReservation = reservation}}});
    EXPECT_EQ(codeOf(call), result_code::Ok);
    EXPECT_EQ(programs.find(wanza.key)->spent, 101U);
}

// Guards against losing turns when the owner, or two owners in a row, crashed during a log outage, and against
// accepting a receipt of the current or a later owner, which would roll the program back.
TEST_F(ledger_test, ReceiptOfAnEarlierOwnerIsAdopted)
{
    run(wanza, wanza.modelCall("one"));
    const auto fresh = programs.receiptFor(wanza.key, 7);
    const auto later = programs.receiptFor(wanza.key, 9);
    programs.dropShard(1);
    (void)open({.shard = 1, .token = 9, .previousToken = 7});
    auto call = wanza.modelCall("two");
    EXPECT_EQ(codeOf(call), result_code::TurnOutOfOrder);
    call.receipt = later;
    EXPECT_EQ(codeOf(call), result_code::ReceiptInvalid);
    call.receipt = fresh;
    EXPECT_EQ(codeOf(call), result_code::Ok);
    const auto records = begin(call);
    EXPECT_TRUE(std::holds_alternative<program_snapshot>(records.front()));
    EXPECT_EQ(programs.find(wanza.key)->settledTurn, 1U);
}

// Guards against a late resend of the first turn reopening a closed program.
TEST_F(ledger_test, ClosedProgramIsRetainedAfterItsLeaseExpires)
{
    const auto call = wanza.payment("pay");
    run(wanza, call);
    clock.advance(11min);
    ASSERT_EQ(programs.takeExpiredLeases(clock.now()).size(), 1U);
    const auto closed = programs.close(wanza.key, close_reason::LeaseExpired, clock.now());
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<replayed_call>(programs.check(call, limits, clock.now())));
    auto next = wanza.payment("pay again");
    EXPECT_EQ(codeOf(next), result_code::ProgramClosed);
    clock.advance(2h);
    programs.evictClosedPrograms(clock.now());
    EXPECT_EQ(programs.size(), 0U);
}

// Guards against a history that cannot be read back because its oldest turn records have expired.
TEST_F(ledger_test, WholeHistoryIsRewrittenAfterTheInterval)
{
    run(wanza, wanza.modelCall("one"));
    clock.advance(7h);
    (void)begin(wanza.modelCall("two"));
    const auto settled =
        programs.settle(wanza.key, {.outcome = execution::Ran, .tokensSpent = 1, .answer = "x"}, clock.now());
    EXPECT_EQ(settled.previousTurnOffset, 0U);
    EXPECT_EQ(settled.newMessages.size(), 3U);
}

// Random calls, failures, sub-agents and closes: no sequence of them may break a budget or the order of turns.
TEST_F(ledger_test, RandomHistoriesKeepTheInvariants)
{
    constexpr std::uint64_t seed = 20261204;
    std::mt19937_64 random(seed);
    std::vector<caller> callers(6);
    for (std::size_t i = 0; i < callers.size(); ++i) {
        callers[i].key.program =
            i < 2 ? "s1.a." + std::to_string(i) : callers[i % 2].key.program + "~" + std::to_string(i);
    }
    std::map<program_key, call_request> running;
    for (int step = 0; step < 20000; ++step) {
        auto &by = callers[random() % callers.size()];
        clock.advance(std::chrono::milliseconds(random() % 20000));
        if (const auto found = running.find(by.key); found != running.end()) {
            const auto outcome = static_cast<execution>(random() % 3);
            const auto call = found->second;
            running.erase(found);
            (void)programs.settle(
                by.key, {.outcome = outcome, .tokensSpent = random() % 2000, .computedTokens = 5, .answer = "a"},
                clock.now());
            if (outcome == execution::Ran) {
                by.answered(call, "a");
            } else if (outcome == execution::Unknown) {
                ++by.turn;
            }
        } else if (random() % 40 == 0 && programs.busyProgramsInTree(by.key).empty()) {
            (void)programs.close(by.key, close_reason::Requested, clock.now());
        } else {
            auto call = random() % 3 == 0 ? by.payment("p" + std::to_string(by.turn))
                                          : by.modelCall("m" + std::to_string(by.turn), random() % 500);
            call.budgetTokens = 500 + random() % 4000;
            const auto decision = programs.check(call, limits, clock.now());
            if (const auto *accepted = std::get_if<accepted_call>(&decision)) {
                (void)programs.begin(*accepted, lease, clock.now());
                running[by.key] = call;
            } else if (const auto *refused = std::get_if<refusal>(&decision);
                       refused != nullptr && refused->code == result_code::ProgramClosed) {
                clock.advance(2h);
                programs.evictClosedPrograms(clock.now());
                by = caller{by.key};
            }
        }
        ASSERT_EQ(programs.violations(), std::vector<std::string>{}) << "seed " << seed << " step " << step;
    }
}

} // namespace jackdawpick
