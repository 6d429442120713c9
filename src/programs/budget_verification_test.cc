// Denials that rest on reservations whose requests may have ended.

#include "programs/testing/budget_partition_fixture.h"

#include <array>
#include <fmt/format.h>
#include <map>
#include <random>

namespace jackdawpick::programs
{

namespace
{

using namespace std::chrono_literals;
using testing::fake_daemon;

class budget_verification_test : public testing::budget_partition_fixture
{
protected:
    // Looks for the turns on which the denials of the daemon rest and reserves again, as the gateway does. Returns
    // whether there were such denials.
    bool verifyDenials(fake_daemon &daemon)
    {
        bool any = false;
        for (const auto &denial : std::exchange(daemon.responses, {})) {
            if (denial.uncertain.empty()) {
                daemon.responses.push_back(denial);
                continue;
            }
            any = true;
            std::vector<std::string> missing;
            for (const auto &attempt : denial.uncertain) {
                if (const auto turn = turns.find(attempt); turn != turns.end()) {
                    daemon.budgets.settle({.program = "p", .attempt = attempt, .tokens = turn->second}, clock.now(),
                                          0ms);
                } else {
                    missing.push_back(attempt);
                }
            }
            daemon.budgets.onTurnsMissing("p", missing, clock.now());
            daemon.budgets.reserveAgain(denial.request, clock.now() + 1s, clock.now());
            daemon.collect();
        }
        return any;
    }

    void runVerified(fake_daemon &daemon)
    {
        do {
            run(daemon);
        } while (verifyDenials(daemon));
    }

    std::map<std::string, std::uint32_t> turns; // The tokens that the records of turns tell.
};

} // namespace

// Guards against a final denial because of a settlement that was lost with all daemons.
TEST_F(budget_verification_test, AnotherDaemonsReservationIsVerifiedFirst)
{
    reserve(one, "1", 100, 150);
    run(one);
    turns["1"] = 20;
    reserve(two, "2", 100, 150);
    run(two);
    ASSERT_EQ(two.decisionOn("2"), budget_decision::Denied);
    EXPECT_EQ(two.responses.front().uncertain, std::vector<std::string>{"1"});
    EXPECT_EQ(two.responses.front().unsettled.front().tokens, 100U);
    runVerified(two);
    EXPECT_EQ(two.decisionOn("2"), budget_decision::Granted);
    EXPECT_EQ(two.budgets.usageOf("p").spent, 20U);
}

// Guards against reads of turns for each denial of a program that loops without end beside its own open turns.
TEST_F(budget_verification_test, OpenAndVerifiedReservationsAreNotLookedForAgain)
{
    reserve(one, "1", 100, 150);
    run(one);
    reserve(one, "2", 100, 150);
    run(one);
    ASSERT_EQ(one.decisionOn("2"), budget_decision::Denied);
    EXPECT_TRUE(one.responses.back().uncertain.empty());
    clock.advance(budget_partition::presumedOpenTime);
    reserve(one, "3", 100, 150);
    run(one);
    EXPECT_EQ(one.responses.back().uncertain.size(), 1U);
    runVerified(one);
    reserve(one, "4", 100, 150);
    run(one);
    EXPECT_TRUE(one.responses.back().uncertain.empty());
    clock.advance(budget_partition::missingTurnTime);
    reserve(one, "5", 100, 150);
    run(one);
    EXPECT_EQ(one.responses.back().uncertain.size(), 1U);
}

// Guards against a final denial by the order of the log although what it rested on was settled while it was written.
TEST_F(budget_verification_test, ASettlementDuringAnAppendCounts)
{
    reserve(one, "1", 60, 155);
    run(one);
    reserve(two, "2", 60, 155);
    reserve(two, "3", 60, 155);
    reply(two, log.execute(two.calls.front().call)); // The read.
    reply(two, log.execute(two.calls.front().call)); // The append of the first.
    ASSERT_EQ(two.decisionOn("2"), budget_decision::Granted);
    ASSERT_EQ(two.calls.size(), 1U); // The append of the second.
    settle(two, "1", 30);
    run(two);
    EXPECT_EQ(two.decisionOn("3"), budget_decision::Granted);
}

// Guards against a denial that binds all later tries because it was written: two requests in one append.
TEST_F(budget_verification_test, AWrittenDenialIsDecidedAgain)
{
    reserve(one, "1", 60, 155);
    run(one);
    turns["1"] = 30;

    reserve(two, "2", 60, 155);
    reserve(two, "3", 60, 155);
    run(two);
    EXPECT_EQ(two.decisionOn("2"), budget_decision::Granted);
    ASSERT_EQ(two.decisionOn("3"), budget_decision::Denied);
    const auto written = log.records.size();
    runVerified(two);
    EXPECT_EQ(two.decisionOn("3"), budget_decision::Granted);
    EXPECT_EQ(log.records.size(), written + 2); // The settlement and the second record of the request.
    fake_daemon later;
    reserve(later, "4", 1, 155);
    run(later);
    EXPECT_EQ(later.budgets.usageOf("p").spent + later.budgets.usageOf("p").reserved, 151U);
}

// Guards against daemons of earlier builds that would take the record after a denial for a copy of the denied one, and
// count nothing for it.
TEST_F(budget_verification_test, EarlierBuildsReadARetryAsAnotherRequest)
{
    const reservation retry{.program = "p", .attempt = "1", .tokens = 60, .budget = 100, .retry = 2};
    EXPECT_EQ(decodeRecord(encodeRecord(retry)), program_record(retry));
    const auto bytes = encodeRecord(retry);
    EXPECT_NE(bytes.find("1\n2"), std::string::npos);
}

// Guards against a copy of a record that a lost append has written twice: it must not be decided anew.
TEST_F(budget_verification_test, ACopyOfADeniedRecordStaysDenied)
{
    budget_ledger ledger;
    const reservation denied{.program = "p", .attempt = "1", .tokens = 60, .budget = 50};
    ledger.apply(denied, clock.now());
    auto copy = denied;
    copy.budget = 100;
    ledger.apply(copy, clock.now());
    EXPECT_EQ(ledger.stateOf("p", "1"), reservation_state::Denied);
    copy.retry = ledger.nextRetryOf("p", "1");
    ledger.apply(copy, clock.now());
    EXPECT_EQ(ledger.stateOf("p", "1"), reservation_state::Granted);
    EXPECT_EQ(ledger.usageOf("p").reserved, 60U);
}

// Guards against wrong denials and against exceeded budgets when daemons die with settlements that they have not
// written: what the records of turns tell is what counts.
TEST_F(budget_verification_test, DenialsRestOnWhatTurnsTell)
{
    constexpr std::uint32_t maxTokens = 100;
    constexpr std::uint32_t budget = 730;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(fmt::format("seed {}", seed));
        std::mt19937 random(seed);
        log = {};
        turns.clear();
        std::array<fake_daemon, 2> daemons;
        std::map<std::string, std::uint32_t> used; // At most, by granted request.
        std::vector<std::pair<std::size_t, std::string>> open;
        for (int step = 0; step < 60; ++step) {
            const std::size_t who = random() % 20 == 0 ? 1 - seed % 2 : seed % 2;
            auto &daemon = daemons.at(who);
            const auto choice = random() % 100;
            if (choice < 50) {
                const auto attempt = fmt::format("{}", step);
                reserve(daemon, attempt, maxTokens, budget);
                runVerified(daemon);
                if (daemon.decisionOn(attempt) == budget_decision::Granted) {
                    used[attempt] = maxTokens;
                    open.emplace_back(who, attempt);
                }
            } else if (choice < 85 && !open.empty()) {
                const auto [at, attempt] = open.back();
                open.pop_back();
                used[attempt] = static_cast<std::uint32_t>(1 + random() % maxTokens);
                turns[attempt] = used[attempt];
                settle(daemons.at(at), attempt, used[attempt]);
            } else if (choice < 92) {
                daemons = {}; // All daemons die; what is open breaks off.
                open.clear();
            } else {
                run(daemon);
                clock.advance(1s);
            }
            std::uint32_t total = 0;
            std::ranges::for_each(used, [&total](const auto &entry) { total += entry.second; });
            ASSERT_LE(total, budget);
        }
        std::uint32_t total = 0;
        std::ranges::for_each(used, [&total](const auto &entry) { total += entry.second; });
        fake_daemon last;
        reserve(last, "fits", budget - total, budget);
        runVerified(last);
        EXPECT_EQ(last.decisionOn("fits"), budget_decision::Granted) << total;
        reserve(last, "beyond", 1, budget);
        runVerified(last);
        EXPECT_EQ(last.decisionOn("beyond"), budget_decision::Denied);
    }
}

} // namespace jackdawpick::programs
