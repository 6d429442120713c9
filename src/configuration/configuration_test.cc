#include "configuration/configuration.h"

#include "results/results.h"
#include "toml_text/internal/mutate_text.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jackdawpick
{

namespace
{

using namespace std::chrono_literals;

configuration sample()
{
    configuration c;
    c.ranks = {{.name = "tide", .programTarget = 20s, .queueTarget = 1s, .worth = 100, .share = 0.8},
               {.name = "routine", .programTarget = 600s, .queueTarget = 60s, .worth = 1, .share = 0.2}};
    c.pools = {{.model = "vest/tide:7b", .pool = "tide-engines", .adapters = {"lesson"}, .version = "2026-11"}};
    c.services = {{.name = "bookings", .pool = "bookings", .ranks = {"routine", "tide"}, .callCost = 50}};
    c.customers = {{.name = "vestkyst", .budgetTokens = 1000}};
    return c;
}

std::string problems(const std::string &text)
{
    std::string lines;
    for (const auto &problem : parseConfiguration(text).errors) {
        lines += toString(problem) + "\n";
    }
    return lines;
}

// The errors of the sample after `change`, one line each.
template<typename F> std::string problemsAfter(F change)
{
    configuration c = sample();
    change(c);
    std::string lines;
    for (const auto &problem : validateConfiguration(c)) {
        lines += toString(problem) + "\n";
    }
    return lines;
}

} // namespace

// Guards against a text of one error per attempt, and lines that point elsewhere.
TEST(Configuration, AllErrorsAtOnceWithLines)
{
    EXPECT_EQ(problems("[[rank]]\nname = \"tide\"\nshare = 1.5\nworths = 2\n"
                       "[[rank]]\nname = \"tide\"\nprogram_target_ms = \"20 s\"\n"
                       "[[service]]\nname = \"bookings\"\nranks = [\"flood\"]\n"
                       "[limits]\nmax_turns = -1\n[gpu]\n"),
              "line 1: rank: expected shares with a sum of at most 1, not 1.5\n"
              "line 3: rank[0].share: expected a number from 0 to 1\n"
              "line 4: rank[0].worths: expected no such key\n"
              "line 6: rank[1].name: expected a name other than that of rank[0].name\n"
              "line 7: rank[1].program_target_ms: expected an integer from 0 to 9223372036854775807\n"
              "line 8: service[0].pool: expected 1 to 64 letters, digits or any of \"-_.\"\n"
              "line 10: service[0].ranks: expected names of ranks, not \"flood\"\n"
              "line 12: limits.max_turns: expected an integer from 0 to 4294967295\n"
              "line 13: gpu: expected no such key\n");
    EXPECT_EQ(problems(""), "rank: expected 1 to 8 ranks\n");
    EXPECT_EQ(problems("[[rank]\n").substr(0, 27), "line 1: expected valid TOML");
}

// Guards against references to parts that do not exist and two parts with one name.
TEST(Configuration, ReferencesAndDuplicates)
{
    EXPECT_EQ(problemsAfter([](auto &) {}), "");
    EXPECT_EQ(problemsAfter([](auto &c) { c.services.push_back(c.services[0]); }),
              "service[1].name: expected a name other than that of service[0].name\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.pools.push_back(c.pools[0]); }),
              "model_pool[1].model: expected a name other than that of model_pool[0].model\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.customers.push_back(c.customers[0]); }),
              "customer[1].name: expected a name other than that of customer[0].name\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.ranks.pop_back(); }),
              "service[0].ranks: expected names of ranks, not \"routine\"\n");
    EXPECT_EQ(problemsAfter([](auto &c) {
                  c.services[0].ranks = {"tide", "tide"};
              }),
              "service[0].ranks: expected each rank once, not \"tide\" again\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.services[0].ranks.clear(); }),
              "service[0].ranks: expected at least one rank; the first is the default\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.services[0].pool = "tide-engines"; }),
              "service[0].pool: expected a pool that no model_pool names\n");
}

// Guards against numbers that overflow or divide by zero in the reducer.
TEST(Configuration, NumbersOutOfRange)
{
    const auto rankProblem = [](auto change) {
        return problemsAfter([&](auto &c) { change(c.ranks[0]); });
    };
    EXPECT_EQ(rankProblem([](auto &r) { r.worth = 0; }), "rank[0].worth: expected a number above 0\n");
    EXPECT_EQ(rankProblem([](auto &r) { r.worth = NAN; }), "rank[0].worth: expected a number above 0\n");
    EXPECT_EQ(rankProblem([](auto &r) { r.worth = INFINITY; }), "rank[0].worth: expected a number above 0\n");
    EXPECT_EQ(rankProblem([](auto &r) { r.share = NAN; }), "rank[0].share: expected a number from 0 to 1\n");
    EXPECT_EQ(rankProblem([](auto &r) { r.share = 0.9; }), "rank: expected shares with a sum of at most 1, not 1.1\n");
    EXPECT_EQ(rankProblem([](auto &r) { r.queueTarget = 21s; }),
              "rank[0].queue_target_ms: expected at most program_target_ms\n");
    EXPECT_NE(rankProblem([](auto &r) { r.programTarget = 0s; }), "");
    EXPECT_NE(problemsAfter([](auto &c) { c.limits.maxBudgetTokens = ~0ULL; }), "");
    EXPECT_NE(problemsAfter([](auto &c) { c.limits.maxTurns = 0; }), "");
    EXPECT_NE(problemsAfter([](auto &c) { c.limits.retryRatio = 1.1; }), "");
    EXPECT_NE(problemsAfter([](auto &c) { c.services[0].timeout = -1ms; }), "");
    EXPECT_EQ(problemsAfter([](auto &c) { c.customers[0].budgetTokens = c.limits.maxBudgetTokens + 1; }),
              "customer[0].budget_tokens: expected at most limits.max_budget_tokens\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.limits.defaultBudgetTokens = c.limits.maxBudgetTokens + 1; }),
              "limits.default_budget_tokens: expected at most limits.max_budget_tokens\n");
    EXPECT_EQ(problemsAfter([](auto &c) { c.ranks.resize(maxRanks + 1, {.name = "x"}); }).substr(0, 28),
              "rank: expected 1 to 8 ranks\n");
}

// Guards against names that break out of a path, a quoted string or a metric label.
TEST(Configuration, NamesThatWouldNeedEscaping)
{
    for (const auto *name : {"", "a b", "a/b", "a\"", "a\\", "a\n", "..", "\xc3\xa5"}) {
        EXPECT_NE(problemsAfter([&](auto &c) { c.customers[0].name = name; }), "") << name;
    }
    EXPECT_NE(problemsAfter([](auto &c) { c.customers[0].name = std::string(65, 'a'); }), "");
}

// Guards against an operators' program that prints a text which every daemon refuses.
TEST(Configuration, PrintThrowsWithAllErrors)
{
    configuration c = sample();
    c.ranks[0].worth = 0;
    c.services[0].pool = "";
    try {
        static_cast<void>(printConfiguration(c));
        FAIL() << "printed an invalid configuration";
    } catch (const error &problem) {
        EXPECT_EQ(problem.code(), result_code::ConfigurationInvalid);
        const std::string message = problem.what();
        EXPECT_NE(message.find("rank[0].worth"), std::string::npos);
        EXPECT_NE(message.find("service[0].pool"), std::string::npos);
    }
}

// Guards against a text that makes a daemon throw or overflow: every daemon reads the same published text. Accepted
// mutants must survive a further print and parse.
TEST(Configuration, AnyTextIsReadOrRefused)
{
    constexpr std::uint64_t seed = 20261204;
    SCOPED_TRACE(fmt::format("seed {}", seed));
    std::mt19937_64 random(seed);
    const std::string valid = printConfiguration(sample());
    std::size_t accepted = 0;
    for (unsigned run = 0; run < 4000; ++run) {
        std::string text = run % 4 == 0 ? "" : valid;
        const auto edits = run % 4 == 0 ? random() % 200 : 1 + random() % (run % 4);
        for (std::uint64_t i = 0; i < edits; ++i) {
            mutateText(text, random);
        }
        const auto parsed = parseConfiguration(text);
        if (parsed.errors.empty()) {
            ++accepted;
            EXPECT_EQ(parseConfiguration(printConfiguration(parsed.value)).value, parsed.value) << text;
        }
    }
    // None or all accepted would mean that the test is blind.
    EXPECT_GT(accepted, 100U);
    EXPECT_LT(accepted, 3000U);
}

} // namespace jackdawpick
