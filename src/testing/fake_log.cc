#include "testing/fake_log.h"

#include <algorithm>

namespace jackdawpick
{

fake_log::fake_log(std::uint64_t seed, fake_log_options options)
    : m_options(options)
    , m_random(seed)
{
}

std::size_t fake_log::addClient()
{
    return m_clients++;
}

bool fake_log::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

duration fake_log::randomDuration(duration low, duration high)
{
    return duration(std::uniform_int_distribution<duration::rep>(low.count(), high.count())(m_random));
}

void fake_log::send(std::size_t client, const log_request &request, time_point now)
{
    takeEffect(now);
    if (chance(m_options.loseRequest)) {
        return;
    }
    duration total = randomDuration(m_options.minDelay, m_options.maxDelay);
    if (chance(m_options.delay)) {
        total += randomDuration(duration{0}, m_options.lateBy);
    }
    const time_point effect = now + randomDuration(duration{0}, total);
    m_requests.emplace(effect, pending_request{client, request, now + total, chance(m_options.loseAnswer)});
}

void fake_log::takeEffect(time_point now)
{
    while (!m_requests.empty() && m_requests.begin()->first <= now) {
        const time_point when = m_requests.begin()->first;
        const pending_request request = std::move(m_requests.begin()->second);
        m_requests.erase(m_requests.begin());
        auto answer = std::visit([&](const auto &what) { return apply(what, when); }, request.request);
        if (!request.answerLost) {
            m_answers.emplace(request.answerAt, pending_answer{request.client, std::move(answer)});
        }
    }
}

log_answer fake_log::apply(const append_request &request, time_point now)
{
    while (!m_recentAppends.empty() && m_recentAppends.front() + std::chrono::seconds(1) <= now) {
        m_recentAppends.pop_front();
    }
    const bool overRate = m_options.appendsPerSecond > 0 && m_recentAppends.size() >= m_options.appendsPerSecond;
    if (m_down || overRate) {
        return append_result{request.stream, std::nullopt};
    }
    m_recentAppends.push_back(now);
    return append_result{request.stream, append(request.stream, request.payload, now)};
}

log_offset fake_log::append(const std::string &stream, std::string payload, time_point now)
{
    stream_state &state = m_streams[stream];
    const log_offset offset = state.records.size() + 1;
    state.records.push_back({offset, std::move(payload)});
    state.times.push_back(now);
    return offset;
}

log_answer fake_log::apply(const read_request &request, time_point now)
{
    read_result result{.stream = request.stream, .ok = !m_down, .records = {}, .first = 1, .end = 1};
    const auto found = m_streams.find(request.stream);
    if (m_down || found == m_streams.end()) {
        return result;
    }
    stream_state &state = found->second;
    expire(state, now);
    result.first = state.first;
    result.end = state.records.size() + 1;
    const log_offset from = std::max(request.from, state.first);
    const log_offset until = std::min<log_offset>(result.end, from + request.limit);
    for (log_offset offset = from; offset < until; ++offset) {
        result.records.push_back(state.records[offset - 1]);
    }
    return result;
}

void fake_log::expire(stream_state &stream, time_point now) const
{
    if (m_options.retention.count() == 0) {
        return;
    }
    while (stream.first <= stream.records.size() && stream.times[stream.first - 1] + m_options.retention <= now) {
        ++stream.first;
    }
}

std::vector<log_answer> fake_log::takeAnswers(std::size_t client, time_point now)
{
    takeEffect(now);
    std::vector<log_answer> arrived;
    for (auto it = m_answers.begin(); it != m_answers.end() && it->first <= now;) {
        if (it->second.client != client) {
            ++it;
            continue;
        }
        arrived.push_back(std::move(it->second.answer));
        it = m_answers.erase(it);
    }
    return arrived;
}

void fake_log::removeClient(std::size_t client)
{
    std::erase_if(m_answers, [client](const auto &entry) { return entry.second.client == client; });
    for (auto &[when, request] : m_requests) {
        request.answerLost = request.answerLost || request.client == client;
    }
}

void fake_log::setOutage(bool down)
{
    m_down = down;
}

void fake_log::setOptions(const fake_log_options &options)
{
    m_options = options;
}

std::optional<time_point> fake_log::nextDeadline() const
{
    std::optional<time_point> next;
    if (!m_requests.empty()) {
        next = m_requests.begin()->first;
    }
    if (!m_answers.empty() && (!next || m_answers.begin()->first < *next)) {
        next = m_answers.begin()->first;
    }
    return next;
}

const std::vector<raw_record> &fake_log::everything(const std::string &stream) const
{
    static const std::vector<raw_record> nothing;
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nothing : found->second.records;
}

std::vector<std::string> fake_log::streams() const
{
    std::vector<std::string> names;
    std::ranges::transform(m_streams, std::back_inserter(names), [](const auto &entry) { return entry.first; });
    return names;
}

} // namespace jackdawpick
