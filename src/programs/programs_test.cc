#include "programs/programs.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jackdawpick::programs
{

namespace
{

using namespace std::chrono_literals;

const time_point start{1h};

} // namespace

// Guards against fields lost in encoding or decoding.
TEST(ProgramRecords, AreReadBackAsWritten)
{
    const std::vector<program_record> all{
        reservation{"p", "a", 567, 4536}, settlement{"p", "a", 270},
        turn{"t", "s", std::string("in\0out\n", 7), {{79, 11, 17000, 1U << 20U}, {1, 2, 3, 4}}, 77, 252}};
    for (const auto &value : all) {
        EXPECT_EQ(decodeRecord(encodeRecord(value)), value);
    }
}

// Guards against crashes on malformed records written by others.
RC_GTEST_PROP(ProgramRecords, AnyBytesAreReadSafely, (const std::string &bytes, unsigned char position))
{
    (void)decodeRecord(bytes);
    auto record = encodeRecord(turn{"turn", "previous", "text", {{1, 2, 3, 4}}, 5});
    record.at(position % record.size()) ^= static_cast<char>(position | 1);
    (void)decodeRecord(record);
}

// Guards against programs that generate more than their budget in parallel requests.
TEST(BudgetLedger, ReservationsBeyondTheBudgetAreDenied)
{
    budget_ledger ledger;
    ledger.apply(reservation{"p", "1", 400, 1000}, start);
    ledger.apply(reservation{"p", "2", 400, 1000}, start);
    ledger.apply(reservation{"p", "3", 400, 1000}, start);
    EXPECT_EQ(ledger.stateOf("p", "1"), reservation_state::Granted);
    EXPECT_EQ(ledger.stateOf("p", "2"), reservation_state::Granted);
    EXPECT_EQ(ledger.stateOf("p", "3"), reservation_state::Denied);
    EXPECT_EQ(ledger.stateOf("q", "1"), reservation_state::Unknown);
    EXPECT_EQ(ledger.stateOf("p", "4"), reservation_state::Unknown);
}

// Guards against denials based on reservations of requests that used fewer tokens in the end.
TEST(BudgetLedger, SettlementReplacesTheReservation)
{
    budget_ledger ledger;
    ledger.apply(reservation{"p", "1", 900, 1000}, start);
    ledger.apply(settlement{"p", "1", 100}, start);
    ledger.apply(reservation{"p", "2", 900, 1000}, start);
    EXPECT_EQ(ledger.stateOf("p", "2"), reservation_state::Granted);
    EXPECT_EQ(ledger.usageOf("p").spent, 100U);
    EXPECT_EQ(ledger.usageOf("p").reserved, 900U);
}

// Guards against a reservation that the store appends late, after its request was settled, and against repeated
// records.
TEST(BudgetLedger, LateAndRepeatedRecordsChangeNothing)
{
    budget_ledger ledger;
    ledger.apply(settlement{"p", "1", 0}, start);
    ledger.apply(reservation{"p", "1", 900, 1000}, start);
    ledger.apply(reservation{"p", "2", 900, 1000}, start);
    ledger.apply(reservation{"p", "2", 900, 1000}, start);
    ledger.apply(settlement{"p", "2", 300}, start);
    ledger.apply(settlement{"p", "2", 300}, start);
    EXPECT_EQ(ledger.stateOf("p", "2"), reservation_state::Granted);
    EXPECT_EQ(ledger.usageOf("p").spent, 300U);
    EXPECT_EQ(ledger.usageOf("p").reserved, 0U);
}

// Guards against spent and reserved tokens exceeding the budget under any order of records.
RC_GTEST_PROP(BudgetLedger, NeverExceedsTheBudget, (const std::vector<std::pair<unsigned char, bool>> &steps))
{
    constexpr std::uint32_t maxTokens = 100;
    constexpr std::uint32_t budget = 450;
    budget_ledger ledger;
    for (const auto &[number, isSettlement] : steps) {
        const auto attempt = std::to_string(number % 16);
        if (!isSettlement) {
            ledger.apply(reservation{"p", attempt, maxTokens, budget}, start);
        } else if (ledger.stateOf("p", attempt) == reservation_state::Granted && !ledger.isSettled("p", attempt)) {
            ledger.apply(settlement{"p", attempt, number % (maxTokens + 1)}, start);
        }
        const auto usage = ledger.usageOf("p");
        RC_ASSERT(usage.spent + usage.reserved <= budget);
    }
}

// Guards against a settlement of 0 tokens, by a daemon that did not know of the grant, replacing the real one.
TEST(BudgetLedger, LargerOfTwoSettlementsCounts)
{
    for (const bool emptyFirst : {true, false}) {
        budget_ledger ledger;
        ledger.apply(reservation{"p", "1", 100, 1000}, start);
        ledger.apply(settlement{"p", "1", emptyFirst ? 0U : 70U}, start);
        ledger.apply(settlement{"p", "1", emptyFirst ? 70U : 0U}, start);
        EXPECT_EQ(ledger.usageOf("p").spent, 70U);
        EXPECT_EQ(ledger.usageOf("p").reserved, 0U);
    }
}

// Guards against memory use that grows with the number of programs ever run.
TEST(BudgetLedger, IdleProgramsAreEvicted)
{
    budget_ledger ledger;
    ledger.apply(reservation{"p", "1", 1, 10}, start);
    ledger.evictIdle(start + budget_ledger::idleRetention);
    EXPECT_EQ(ledger.size(), 1U);
    ledger.evictIdle(start + budget_ledger::idleRetention + 1s);
    EXPECT_EQ(ledger.size(), 0U);
}

// Guards against a history made of records that are not the chain of the turn: an engine would run a wrong prompt.
TEST(TurnHistory, IsJoinedOnlyFromTheCompleteChain)
{
    text_account account;
    const auto join = [&account](std::vector<turn> records, std::string_view id) {
        return joinHistory(std::move(records), id, account);
    };
    const turn first{"a", "", "1", {}, hashHistory("1")};
    const turn second{"b", "a", "2", {{}}, hashHistory("12")};
    const turn third{"c", "b", "3", {{}, {}}, hashHistory("123")};
    EXPECT_EQ(join({first}, "a"), rope("1"));
    EXPECT_EQ(join({first, second, third}, "c"), rope("123"));
    EXPECT_EQ(join({}, "c"), std::nullopt);
    EXPECT_EQ(join({first, second, third}, "b"), std::nullopt);
    EXPECT_EQ(join({second, third}, "c"), std::nullopt); // The oldest record has ancestors.
    EXPECT_EQ(join({first, third}, "c"), std::nullopt);
    EXPECT_EQ(join({first, first, second}, "b"), std::nullopt);
    const turn otherFirst{"a", "", "9", {}, hashHistory("9")};
    EXPECT_EQ(join({otherFirst, second}, "b"), std::nullopt); // The same ids, other bytes.
}

} // namespace jackdawpick::programs
