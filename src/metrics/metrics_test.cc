#include "metrics/metrics.h"

#include "metrics/internal/quantile_window.h"
#include "results/results.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace jackdawpick
{

using namespace std::chrono_literals;

// Guards against a metric that is exposed under another one's name.
TEST(Metrics, TableFollowsTheEnumerators)
{
    for (std::size_t i = 0; i < allMetrics().size(); ++i) {
        EXPECT_EQ(static_cast<std::size_t>(allMetrics()[i].id), i) << allMetrics()[i].name;
    }
    EXPECT_EQ(allMetrics().back().id, metric::FirstByteSeconds);
}

// Guards against label values that break the text format.
TEST(Metrics, ExpositionEscapesLabels)
{
    metrics_registry registry;
    registry.add(metric::Calls, {"ti\"de", "a\\b", "Ok\n"}, 3);
    registry.set(metric::WaitingCalls, {}, 2);
    manual_clock clock;
    EXPECT_EQ(registry.exposition(clock.now()),
              "# HELP jackdawpick_calls_total Calls that got a final answer.\n"
              "# TYPE jackdawpick_calls_total counter\n"
              "jackdawpick_calls_total{rank=\"ti\\\"de\",pool=\"a\\\\b\",code=\"Ok\\n\"} 3\n"
              "# HELP jackdawpick_waiting_calls Calls that wait for an endpoint.\n"
              "# TYPE jackdawpick_waiting_calls gauge\n"
              "jackdawpick_waiting_calls 2\n");
}

// Guards against a caller that makes up ranks until the daemon runs out of memory.
TEST(Metrics, LabelSetsAreBounded)
{
    metrics_registry registry;
    for (std::size_t i = 0; i < maxLabelSets + 50; ++i) {
        registry.add(metric::Refusals, {std::to_string(i)});
    }
    const std::string text = registry.exposition(time_point{});
    EXPECT_EQ(std::ranges::count(text, '\n'), static_cast<std::ptrdiff_t>(maxLabelSets + 1 + 2));
    EXPECT_NE(text.find("{code=\"other\"} 50\n"), std::string::npos);
}

TEST(Metrics, WrongLabelsOrKindThrow)
{
    metrics_registry registry;
    EXPECT_THROW(registry.add(metric::Calls, {"tide"}), error);
    EXPECT_THROW(registry.add(metric::WaitingCalls, {}), error);
    EXPECT_THROW(registry.observe(metric::Refusals, {"Ok"}, 1, time_point{}), error);
}

// Guards against quantiles that still show a flood long after it has passed.
TEST(Metrics, QuantilesAreThoseOfTheLastCompleteWindow)
{
    metrics_registry registry;
    manual_clock clock;
    const auto median = [&] {
        const std::string text = registry.exposition(clock.now());
        const std::string key = "jackdawpick_program_seconds{rank=\"tide\",quantile=\"0.5\"} ";
        const auto at = text.find(key) + key.size();
        return text.substr(at, text.find('\n', at) - at);
    };
    registry.observe(metric::ProgramSeconds, {"tide"}, 100, clock.now());
    registry.observe(metric::ProgramSeconds, {"tide"}, NAN, clock.now());
    EXPECT_EQ(median(), "100");
    clock.advance(quantileWindow);
    registry.observe(metric::ProgramSeconds, {"tide"}, 1, clock.now());
    EXPECT_EQ(median(), "100");
    clock.advance(quantileWindow);
    EXPECT_EQ(median(), "1");
    clock.advance(3 * quantileWindow);
    EXPECT_EQ(median(), "NaN");
    EXPECT_NE(registry.exposition(clock.now()).find("jackdawpick_program_seconds_count{rank=\"tide\"} 2\n"),
              std::string::npos);
}

// Guards against an estimate that misleads an operator: exact for few values, and near the true quantile for many of a
// heavy-tailed distribution. 10% is below what separates a missed target from a met one (1.3x).
TEST(Metrics, QuantilesAreCloseToTheTrueOnes)
{
    constexpr std::uint64_t seed = 20261204;
    SCOPED_TRACE(fmt::format("seed {}", seed));
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> latency(0, 1);
    for (const std::size_t count : {1U, 5U, 64U, 2000U, 50000U}) {
        quantile_window window;
        std::vector<double> values(count);
        std::ranges::generate(values, [&] { return latency(random); });
        std::ranges::for_each(values, [&](double value) { window.add(value); });
        std::ranges::sort(values);
        for (std::size_t i = 0; i < quantileProbabilities.size(); ++i) {
            const auto rank = std::ceil(quantileProbabilities.at(i) * static_cast<double>(count));
            const double exact = values[static_cast<std::size_t>(rank) - 1];
            EXPECT_NEAR(window.quantiles().at(i), exact, exact * 0.1) << count << " values";
        }
    }
}

} // namespace jackdawpick
