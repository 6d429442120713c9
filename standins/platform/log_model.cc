#include "platform/log_model.h"

namespace jackdawpick::standins
{

namespace
{

// A tenth of a second of appends may arrive at once; a log that batches internally behaves like this.
constexpr double burstSeconds = 0.1;

} // namespace

log_model::log_model(const log_options &options, std::uint64_t seed)
    : m_options(options)
    , m_faults({{"outage", 0.0}, {"hang", 0.0}, {"lost_answer", 0.0}, {"slow_ms", 0.0}, {"appends_per_second", 0.0}})
    , m_rate(options.appendsPerSecond, options.appendsPerSecond * burstSeconds)
    , m_random(seed)
{
}

std::chrono::milliseconds log_model::answerDelay() const
{
    return m_options.latency + std::chrono::milliseconds(static_cast<std::int64_t>(m_faults.number("slow_ms")));
}

void log_model::expire(stream_state &stream, time_point now) const
{
    while (!stream.records.empty() && now - stream.records.front().at > m_options.retention) {
        stream.records.pop_front();
    }
}

log_append log_model::append(const std::string &stream, std::string payload, time_point now)
{
    if (m_faults.isOn("hang")) {
        return {.status = log_status::NoAnswer};
    }
    if (m_faults.isOn("outage")) {
        return {.status = log_status::Unavailable, .delay = m_options.latency};
    }
    const double changedRate = m_faults.number("appends_per_second");
    m_rate.setRate(changedRate > 0 ? changedRate : m_options.appendsPerSecond);
    if (!m_rate.take(now)) {
        return {.status = log_status::RateLimited, .delay = m_options.latency, .retryAfter = m_rate.retryAfter(now)};
    }
    auto &state = m_streams[stream];
    expire(state, now);
    const log_offset offset = state.end++;
    state.records.push_back({.offset = offset, .payload = std::move(payload), .at = now});
    const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.number("lost_answer");
    return {.status = lost ? log_status::NoAnswer : log_status::Ok, .offset = offset, .delay = answerDelay()};
}

log_page log_model::read(const std::string &stream, log_offset from, std::size_t limit, time_point now)
{
    log_page page;
    page.delay = answerDelay();
    if (m_faults.isOn("hang") || m_faults.isOn("outage")) {
        page.status = m_faults.isOn("hang") ? log_status::NoAnswer : log_status::Unavailable;
        return page;
    }
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return page;
    }
    auto &state = found->second;
    expire(state, now);
    page.end = state.end;
    page.first = state.records.empty() ? state.end : state.records.front().offset;
    std::size_t bytes = 0;
    const std::size_t skipped = from > page.first ? from - page.first : 0;
    for (std::size_t index = skipped; index < state.records.size() && page.records.size() < limit; ++index) {
        const auto &record = state.records[index];
        bytes += record.payload.size();
        if (bytes > m_options.pageBytes && !page.records.empty()) {
            break;
        }
        page.records.push_back(record);
    }
    return page;
}

std::map<std::string, log_offset> log_model::ends() const
{
    std::map<std::string, log_offset> result;
    for (const auto &[name, state] : m_streams) {
        result.emplace(name, state.end);
    }
    return result;
}

fault_table &log_model::faults()
{
    return m_faults;
}

} // namespace jackdawpick::standins
