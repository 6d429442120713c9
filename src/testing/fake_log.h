#pragma once

// In-memory log service for tests, on virtual time and a seed: streams with offsets, a rate limit, retention, outages,
// lost and delayed answers. Requests take effect between sending and answering, after a random part of the delay.
//
//   fake_log log(seed, faults);
//   std::size_t client = log.addClient();
//   log.send(client, request, clock.now());
//   for (auto &answer : log.takeAnswers(client, clock.now())) { ... }
//   clock.advanceTo(*log.nextDeadline());

#include "journal/journal.h"

#include <random>

namespace jackdawpick
{

using log_answer = std::variant<append_result, read_result>;

// Probabilities are per request, 0 to 1.
struct fake_log_options
{
    std::chrono::milliseconds minDelay{2}; // From sending to the answer.
    std::chrono::milliseconds maxDelay{8};
    double loseRequest = 0; // The request never arrives; no answer comes.
    double loseAnswer = 0; // The request takes effect; no answer comes.
    double delay = 0; // The request takes up to lateBy longer.
    std::chrono::milliseconds lateBy{5000};
    std::uint32_t appendsPerSecond = 0; // Of all streams together; more are refused. 0: no limit.
    std::chrono::milliseconds retention{0}; // 0: records are kept for ever.
};

class fake_log
{
public:
    fake_log(std::uint64_t seed, fake_log_options options);

    [[nodiscard]] std::size_t addClient();
    void send(std::size_t client, const log_request &request, time_point now);
    // Answers that have arrived at `now`, in order of arrival.
    [[nodiscard]] std::vector<log_answer> takeAnswers(std::size_t client, time_point now);
    // Drops answers on their way to a client that has crashed. Its requests may still take effect.
    void removeClient(std::size_t client);

    // Requests that take effect during an outage fail.
    void setOutage(bool down);
    void setOptions(const fake_log_options &options);

    // The next time at which a request takes effect or an answer arrives.
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    // For checks: everything ever appended, including what the retention has removed.
    [[nodiscard]] const std::vector<raw_record> &everything(const std::string &stream) const;
    [[nodiscard]] std::vector<std::string> streams() const;
    // Appends directly, without delay or faults.
    log_offset append(const std::string &stream, std::string payload, time_point now);

private:
    struct stream_state
    {
        std::vector<raw_record> records;
        std::vector<time_point> times;
        log_offset first = 1;
    };
    struct pending_request
    {
        std::size_t client = 0;
        log_request request;
        time_point answerAt;
        bool answerLost = false;
    };
    struct pending_answer
    {
        std::size_t client = 0;
        log_answer answer;
    };

    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] duration randomDuration(duration low, duration high);
    void takeEffect(time_point now);
    [[nodiscard]] log_answer apply(const append_request &request, time_point now);
    [[nodiscard]] log_answer apply(const read_request &request, time_point now);
    void expire(stream_state &stream, time_point now) const;

    fake_log_options m_options;
    std::mt19937_64 m_random;
    bool m_down = false;
    std::size_t m_clients = 0;
    std::map<std::string, stream_state> m_streams;
    std::multimap<time_point, pending_request> m_requests; // By the time at which they take effect.
    std::multimap<time_point, pending_answer> m_answers; // By arrival.
    std::deque<time_point> m_recentAppends;
};

} // namespace jackdawpick
