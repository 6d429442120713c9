#pragma once

// Estimates from traffic how fast the endpoints of a service are.
//
//   service_speeds typical;                 // One for each service.
//   endpoint_speed speed;                   // One for each start of an endpoint.
//   typical.onTokenTime(others, 1.4 * speed.weight());
//   if (const auto expected = typical.tokenTime(others)) {
//       if (const auto sample = speed.onRelativeTime(1.4 / *expected, now)) { tellOtherDaemons(*sample); }
//   }
//
// All estimates are medians, so that queueing, slow periods and single outliers move them little as long as they are
// fewer than half of the samples. Times are in milliseconds. Memory is bounded. Thread compatible.

#include "clock/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawpick::fleet
{

// Speeds of a model engine. The defaults hold until requests have been measured.
struct engine_speeds
{
    double prefillTokensPerMillisecond = 471; // Of prompt tokens that are not cached.
    double batchDelayPerToken = 0.0154; // Milliseconds for each generated token and other request in the batch.
    bool operator==(const engine_speeds &) const = default;
};

// The latest values of a series, up to a capacity.
class recent_values
{
public:
    explicit recent_values(std::size_t capacity);
    void add(double value);
    void clear();
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] double median() const; // 0 without values.

private:
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::vector<float> m_values;
};

struct weighted_value
{
    double value = 0;
    double weight = 0;
};

// The value at which half of the weight is reached. Returns 0 for an empty list.
[[nodiscard]] double weightedMedian(std::vector<weighted_value> values);

// The typical speeds of the endpoints of one service. Samples are in the time that an endpoint of speed 1 would have
// taken: the caller multiplies them by endpoint_speed::weight(), which is 1 at most endpoints and changes rarely.
class service_speeds
{
public:
    // Samples of the time per token before a typical time is stated.
    static constexpr std::size_t minSamples = 8;

    // Milliseconds per generated token, while `others` further requests were in the batch.
    void onTokenTime(double others, double milliseconds);
    // Tokens of the part of a prompt that belongs to its conversation.
    void onConversation(double tokens);
    // Milliseconds from the dispatch of a request that did not queue to its first event; `uncached` is the number of
    // prompt tokens that were not expected to be cached, 0 at the home of the conversation.
    void onFirstEvent(double uncached, double milliseconds);
    // Milliseconds that an endpoint of a plain service took to answer a request of this kind.
    void onAnswer(std::string_view kind, double milliseconds);

    [[nodiscard]] const engine_speeds &typical() const;
    // Typical milliseconds per generated token; nothing before the first measurements.
    [[nodiscard]] std::optional<double> tokenTime(double others) const;
    [[nodiscard]] std::optional<double> answerTime(std::string_view kind) const;

private:
    struct sample
    {
        float x = 0;
        float y = 0;
    };

    // The latest samples, in no particular order.
    struct sample_window
    {
        std::size_t capacity = 0;
        std::size_t next = 0;
        std::vector<sample> samples;
        void add(sample value);
    };

    void fitTokenTime();
    void fitReading();

    engine_speeds m_typical;
    sample_window m_tokenTimes{.capacity = 256}; // x: other requests in the batch.
    std::size_t m_sinceFit = 0;
    std::optional<double> m_aloneTokenTime; // With no other request in the batch.
    sample_window m_readings{.capacity = 64}; // x: tokens that had to be read, y: time beyond that at the home.
    recent_values m_homeTimes{64}; // Until the first event, at the home of the conversation.
    double m_newTokens = 0; // Tokens that a turn adds to its conversation; no engine can have them cached.
    std::map<std::string, recent_values, std::less<>> m_answerTimes; // By kind.
};

// Ratios of intervals that a daemon has measured lately, for its heartbeats. With many daemons each of them sends a
// request to an engine twice a minute, and would learn its speed in minutes.
struct speed_sample
{
    std::uint32_t endpoint = 0; // Hash of the id and the start of the endpoint.
    double ratio = 1; // To the typical time; told in hundredths.
    bool operator==(const speed_sample &) const = default;
};

struct speed_samples
{
    std::uint32_t total = 0; // Since the start of the daemon; the newest one is the last of `latest`.
    std::vector<speed_sample> latest;
    bool operator==(const speed_samples &) const = default;
};

// The speed of one start of an endpoint, relative to the typical one of its service.
class endpoint_speed
{
public:
    // Lasting speeds count as weights in powers of two, from this many samples on.
    static constexpr std::size_t minWeightSamples = 12;
    // Smaller ratios to the lasting speed are explained by the load.
    static constexpr double slowdownThreshold = 1.5;
    // A slow endpoint is tried again when nothing was heard of it for twice the time that it has been slow, within
    // these bounds.
    static constexpr std::chrono::milliseconds minSlowdownLifetime{600};
    static constexpr std::chrono::milliseconds maxSlowdownLifetime{4000};

    // The ratio of a measured time to the typical one. Returns the ratio of a whole interval each time one ends.
    std::optional<double> onRelativeTime(double ratio, time_point now);
    // Another daemon has measured this ratio in an interval.
    void onReportedRatio(double ratio, time_point now);

    // 1 is typical, and the estimate without measurements; larger is faster.
    [[nodiscard]] double lasting() const;
    // The lasting speed in coarse steps with hysteresis, so that daemons with slightly different measurements come to
    // the same weight and each change of it, which moves callers, is rare.
    [[nodiscard]] double weight() const;
    // Whether requests take clearly longer than at most endpoints of the service, all the time.
    [[nodiscard]] bool isLastinglySlow() const;
    // Ratio of the current times to the lasting ones in a slow period, decaying to 1 with the age of the last sample.
    [[nodiscard]] double slowdown(time_point now) const;

private:
    void addLasting(double ratio, time_point now);
    void updateSlowdown(double ratio, time_point now);

    recent_values m_lastingRatios{48};
    double m_lasting = 1;
    int m_step = 0; // Binary logarithm of the weight.
    recent_values m_interval{16}; // Ratios of the current interval.
    time_point m_intervalBegan{};
    std::optional<time_point> m_lastingAt; // When the last ratio of an interval was added.
    recent_values m_recent{5}; // Relative to the lasting speed.
    double m_slowdown = 1;
    time_point m_slowSince{};
    time_point m_lastAt{};
};

} // namespace jackdawpick::fleet
