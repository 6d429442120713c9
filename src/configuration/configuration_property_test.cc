#include "configuration/configuration.h"
#include "configuration/internal/ranges.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jackdawpick
{

namespace
{

using configuration_ranges::bounds;

template<typename T> T within(bounds range)
{
    return static_cast<T>(*rc::gen::inRange<std::int64_t>(range.lowest, range.highest + 1));
}

std::chrono::milliseconds time(bounds range)
{
    return std::chrono::milliseconds(within<std::int64_t>(range));
}

double part()
{
    return static_cast<double>(*rc::gen::inRange(0, 1000001)) / 1000000.0;
}

// The number keeps names of one kind apart.
std::string name(std::size_t number, std::string_view further)
{
    const auto character = rc::gen::elementOf(std::string("azAZ09") + std::string(further));
    const auto size = *rc::gen::inRange<std::size_t>(0, 50);
    return std::to_string(number) + *rc::gen::container<std::string>(size, character);
}

std::size_t upTo(std::size_t most)
{
    return *rc::gen::inRange<std::size_t>(0, most + 1);
}

rank_policy anyRank(std::size_t i, std::size_t count)
{
    rank_policy rank;
    rank.name = name(i, "-_.");
    rank.programTarget = time(configuration_ranges::programTarget);
    rank.queueTarget = std::min(rank.programTarget, time(configuration_ranges::queueTarget));
    rank.worth = 1e-3 + part() * 1e9;
    rank.share = part() / static_cast<double>(count);
    return rank;
}

service_definition anyService(std::size_t i, const std::vector<rank_policy> &ranks)
{
    service_definition service;
    service.name = name(i, "-_.");
    service.pool = "services-" + name(i, "-_.");
    for (std::size_t rank = 0; rank <= upTo(ranks.size() - 1); ++rank) {
        service.ranks.push_back(ranks[rank].name);
    }
    service.callCost = within<std::uint64_t>(configuration_ranges::callCost);
    service.timeout = time(configuration_ranges::serviceTimeout);
    service.idempotentByDefault = upTo(1) == 1;
    return service;
}

model_pool anyPool(std::size_t i)
{
    model_pool pool;
    pool.model = name(i, "-_./:");
    pool.pool = "engines-" + name(i, "-_.");
    for (std::size_t adapter = 0, count = upTo(3); adapter < count; ++adapter) {
        pool.adapters.push_back(name(adapter, "-_./:"));
    }
    pool.version = upTo(1) == 0 ? "" : name(i, "-_./:");
    pool.minEngines = within<std::uint32_t>(configuration_ranges::minEngines);
    return pool;
}

limit_policy anyLimits()
{
    limit_policy limits;
    limits.maxBudgetTokens = within<std::uint64_t>(configuration_ranges::budgetTokens);
    limits.defaultBudgetTokens =
        std::min(limits.maxBudgetTokens, within<std::uint64_t>(configuration_ranges::budgetTokens));
    limits.maxTurns = within<std::uint32_t>(configuration_ranges::maxTurns);
    limits.maxHistoryTokens = within<std::uint64_t>(configuration_ranges::historyTokens);
    limits.maxTokensPerCall = within<std::uint32_t>(configuration_ranges::tokensPerCall);
    limits.programLease = time(configuration_ranges::programLease);
    limits.callDeadline = time(configuration_ranges::callDeadline);
    limits.retryRatio = part();
    limits.hedgeRatio = part();
    return limits;
}

configuration anyConfiguration()
{
    configuration c;
    c.limits = anyLimits();
    const std::size_t ranks = 1 + upTo(maxRanks - 1);
    for (std::size_t i = 0; i < ranks; ++i) {
        c.ranks.push_back(anyRank(i, ranks));
    }
    for (std::size_t i = 0, count = upTo(4); i < count; ++i) {
        c.pools.push_back(anyPool(i));
    }
    for (std::size_t i = 0, count = upTo(4); i < count; ++i) {
        c.services.push_back(anyService(i, c.ranks));
    }
    for (std::size_t i = 0, count = upTo(4); i < count; ++i) {
        c.customers.push_back(
            {name(i, "-_."), std::min(c.limits.maxBudgetTokens, within<std::uint64_t>({0, 1000000000000}))});
    }
    return c;
}

} // namespace

// Guards against a value that changes on its way through the log: numbers that lose digits, keys read into another
// member, parts in another order.
TEST(ConfigurationProperty, ParseReadsBackWhatPrintWrote)
{
    EXPECT_TRUE(rc::check("parse(print(c)) == c", [] {
        const configuration c = anyConfiguration();
        const auto parsed = parseConfiguration(printConfiguration(c));
        RC_ASSERT(parsed.errors.empty());
        RC_ASSERT(parsed.value == c);
    }));
}

} // namespace jackdawpick
