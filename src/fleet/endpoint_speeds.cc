#include "fleet/endpoint_speeds.h"

#include <algorithm>
#include <cmath>

namespace jackdawpick::fleet
{

namespace
{

// Plausible ranges.
constexpr double minPrefillTokensPerMillisecond = 10;
constexpr double maxPrefillTokensPerMillisecond = 5000;
constexpr double maxBatchDelayPerToken = 0.2;
constexpr double minRelativeSpeed = 0.1;
constexpr double maxRelativeSpeed = 4;

// Samples between two fits of the time per token. A fit sorts the whole window.
constexpr std::size_t samplesPerFit = 32;
// The present estimate counts as much as samples of this total distance from the median batch.
constexpr double tokenTimePriorWeight = 40;
// Weight of the newest fit.
constexpr double fitSmoothing = 0.3;
// The default prefill speed counts as much as samples of this many tokens.
constexpr double readingPriorTokens = 8000;
constexpr std::size_t minHomeTimes = 4;
// With fewer tokens to read, the time to the first event tells more about everything else.
constexpr double minReadingTokens = 2000;
// The shortest conversations are those of first turns, which hold nothing but new tokens.
constexpr double newTokensQuantile = 0.2;
constexpr double newTokensStep = 0.05; // Relative.
constexpr std::size_t maxKinds = 16;
constexpr std::size_t answerTimesPerKind = 32;

// One ratio is kept for each interval of this length, whoever has measured it, so that a slow period of 600 ms is a
// small part of the kept ratios.
constexpr std::chrono::milliseconds lastingInterval{150};
// The typical speed counts as much as this many intervals.
constexpr double lastingPriorSamples = 4;
constexpr int minStep = -3;
constexpr int maxStep = 2;
// In steps. More than half a step, so that a speed on the border of two steps stays at the step that it has. Not much
// more: of speeds within the margin, daemons may keep different steps. Finer steps would have more borders.
constexpr double stepHysteresis = 0.65;
constexpr std::size_t minSlowSamples = 3;

} // namespace

recent_values::recent_values(std::size_t capacity)
    : m_capacity(capacity)
{
}

void recent_values::add(double value)
{
    if (m_values.size() < m_capacity) {
        m_values.push_back(static_cast<float>(value));
    } else {
        m_values[m_next] = static_cast<float>(value);
        m_next = (m_next + 1) % m_capacity;
    }
}

void recent_values::clear()
{
    m_values.clear();
    m_next = 0;
}

std::size_t recent_values::size() const
{
    return m_values.size();
}

double recent_values::median() const
{
    if (m_values.empty()) {
        return 0;
    }
    auto values = m_values;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (static_cast<double>(*middle) + *std::max_element(values.begin(), middle)) / 2;
}

double weightedMedian(std::vector<weighted_value> values)
{
    std::ranges::sort(values, {}, &weighted_value::value);
    double total = 0;
    for (const auto &entry : values) {
        total += entry.weight;
    }
    double reached = 0;
    for (const auto &entry : values) {
        reached += entry.weight;
        if (2 * reached >= total) {
            return entry.value;
        }
    }
    return 0;
}

void service_speeds::sample_window::add(sample value)
{
    if (samples.size() < capacity) {
        samples.push_back(value);
    } else {
        samples[next] = value;
        next = (next + 1) % capacity;
    }
}

void service_speeds::onTokenTime(double others, double milliseconds)
{
    m_tokenTimes.add({static_cast<float>(others), static_cast<float>(milliseconds)});
    ++m_sinceFit;
    const bool isFirst = !m_aloneTokenTime.has_value() && m_tokenTimes.samples.size() >= minSamples;
    if (isFirst || m_sinceFit >= samplesPerFit) {
        m_sinceFit = 0;
        fitTokenTime();
    }
}

// The line of least absolute deviations through the median of the samples: its slope is the median of the slopes to the
// samples, weighted by their distance.
void service_speeds::fitTokenTime()
{
    const auto &samples = m_tokenTimes.samples;
    const auto medianOf = [&samples](auto project) {
        std::vector<double> values;
        values.reserve(samples.size());
        std::ranges::transform(samples, std::back_inserter(values), project);
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        return *middle;
    };
    const double x = medianOf([](const sample &each) { return static_cast<double>(each.x); });
    const double y = medianOf([](const sample &each) { return static_cast<double>(each.y); });
    std::vector<weighted_value> slopes{{m_typical.batchDelayPerToken, tokenTimePriorWeight}};
    slopes.reserve(samples.size() + 1);
    for (const auto &each : samples) {
        if (each.x != x) {
            slopes.push_back({(each.y - y) / (each.x - x), std::abs(each.x - x)});
        }
    }
    const double fitted = std::clamp(weightedMedian(std::move(slopes)), 0.0, maxBatchDelayPerToken);
    m_typical.batchDelayPerToken = m_typical.batchDelayPerToken * (1 - fitSmoothing) + fitted * fitSmoothing;
    const double delay = m_typical.batchDelayPerToken;
    m_aloneTokenTime = medianOf([delay](const sample &each) { return each.y - delay * each.x; });
}

void service_speeds::onConversation(double tokens)
{
    if (tokens <= 0) {
        return;
    }
    if (m_newTokens <= 0) {
        m_newTokens = tokens;
        return;
    }
    m_newTokens *= 1 + newTokensStep * (tokens > m_newTokens ? newTokensQuantile : newTokensQuantile - 1);
}

void service_speeds::onFirstEvent(double uncached, double milliseconds)
{
    if (uncached <= 0) {
        m_homeTimes.add(milliseconds);
        return;
    }
    // The home reads the new tokens too, and the time there is subtracted.
    const double tokens = uncached - m_newTokens;
    if (tokens < minReadingTokens || m_homeTimes.size() < minHomeTimes) {
        return;
    }
    m_readings.add({static_cast<float>(tokens), static_cast<float>(milliseconds - m_homeTimes.median())});
    fitReading();
}

void service_speeds::fitReading()
{
    std::vector<weighted_value> timesPerToken{{1 / engine_speeds{}.prefillTokensPerMillisecond, readingPriorTokens}};
    for (const auto &each : m_readings.samples) {
        timesPerToken.push_back({each.y / each.x, each.x});
    }
    const double timePerToken = weightedMedian(std::move(timesPerToken));
    m_typical.prefillTokensPerMillisecond = std::clamp(1 / std::max(timePerToken, 1 / maxPrefillTokensPerMillisecond),
                                                       minPrefillTokensPerMillisecond, maxPrefillTokensPerMillisecond);
}

void service_speeds::onAnswer(std::string_view kind, double milliseconds)
{
    auto found = m_answerTimes.find(kind);
    if (found == m_answerTimes.end()) {
        if (m_answerTimes.size() >= maxKinds) {
            return;
        }
        found = m_answerTimes.emplace(std::string(kind), recent_values(answerTimesPerKind)).first;
    }
    found->second.add(milliseconds);
}

const engine_speeds &service_speeds::typical() const
{
    return m_typical;
}

std::optional<double> service_speeds::tokenTime(double others) const
{
    if (!m_aloneTokenTime.has_value() || *m_aloneTokenTime <= 0) {
        return std::nullopt;
    }
    return *m_aloneTokenTime + m_typical.batchDelayPerToken * others;
}

std::optional<double> service_speeds::answerTime(std::string_view kind) const
{
    const auto found = m_answerTimes.find(kind);
    const bool isKnown = found != m_answerTimes.end() && found->second.size() >= minSamples;
    const double median = isKnown ? found->second.median() : 0;
    return median > 0 ? std::optional(median) : std::nullopt;
}

std::optional<double> endpoint_speed::onRelativeTime(double ratio, time_point now)
{
    ratio = std::clamp(ratio, 1 / maxRelativeSpeed, 1 / minRelativeSpeed);
    updateSlowdown(ratio, now);
    if (m_interval.size() == 0) {
        m_intervalBegan = now;
    }
    m_interval.add(ratio);
    if (now - m_intervalBegan < lastingInterval) {
        return std::nullopt;
    }
    const double median = m_interval.median();
    m_interval.clear();
    addLasting(median, now);
    return median;
}

void endpoint_speed::onReportedRatio(double ratio, time_point now)
{
    addLasting(std::clamp(ratio, 1 / maxRelativeSpeed, 1 / minRelativeSpeed), now);
}

void endpoint_speed::updateSlowdown(double ratio, time_point now)
{
    if (m_slowdown > 1 && slowdown(now) <= 1) { // The slow period is over: its samples say nothing about another one.
        m_recent.clear();
        m_slowdown = 1;
    }
    m_recent.add(ratio * m_lasting);
    m_lastAt = now;
    const double recent = m_recent.median();
    const bool isSlow = m_recent.size() >= minSlowSamples && recent >= slowdownThreshold;
    if (isSlow && m_slowdown <= 1) {
        m_slowSince = now;
    }
    m_slowdown = isSlow ? recent : 1;
}

void endpoint_speed::addLasting(double ratio, time_point now)
{
    if (m_lastingAt.has_value() && now - *m_lastingAt < lastingInterval) {
        return;
    }
    m_lastingAt = now;
    m_lastingRatios.add(ratio);
    const double median = m_lastingRatios.median();
    const auto count = static_cast<double>(m_lastingRatios.size());
    m_lasting = std::exp(-std::log(median) * count / (count + lastingPriorSamples));
    if (m_lastingRatios.size() >= minWeightSamples) {
        const double steps = -std::log2(median);
        if (std::abs(steps - m_step) > stepHysteresis) {
            m_step = std::clamp(static_cast<int>(std::lround(steps)), minStep, maxStep);
        }
    }
}

double endpoint_speed::lasting() const
{
    return m_lasting;
}

double endpoint_speed::weight() const
{
    return std::exp2(m_step);
}

bool endpoint_speed::isLastinglySlow() const
{
    return m_step < 0;
}

double endpoint_speed::slowdown(time_point now) const
{
    if (m_slowdown <= 1) {
        return 1;
    }
    const auto lifetime =
        std::clamp<time_point::duration>(2 * (m_lastAt - m_slowSince), minSlowdownLifetime, maxSlowdownLifetime);
    if (now - m_lastAt >= lifetime) {
        return 1;
    }
    const std::chrono::duration<double> age = now - m_lastAt;
    return 1 + (m_slowdown - 1) * (1 - age / std::chrono::duration<double>(lifetime));
}

} // namespace jackdawpick::fleet
