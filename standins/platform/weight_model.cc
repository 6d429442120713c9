#include "platform/weight_model.h"

namespace jackdawpick::standins
{

weight_model::weight_model(const weight_options &options)
    : m_options(options)
    , m_faults({{"outage", 0.0}, {"hang", 0.0}, {"slow_ms", 0.0}})
    , m_rate(options.loadsPerMinute / 60, options.burst)
{
}

weight_answer weight_model::load(const std::string &model, time_point now)
{
    if (m_faults.isOn("hang")) {
        return {.status = 0};
    }
    if (m_faults.isOn("outage")) {
        return {.status = 503};
    }
    if (!m_rate.take(now)) {
        return {.status = 429, .retryAfter = m_rate.retryAfter(now)};
    }
    ++m_served[model];
    const std::chrono::milliseconds slow(static_cast<std::int64_t>(m_faults.number("slow_ms")));
    return {.status = 200, .delay = m_options.loadTime + slow};
}

const std::map<std::string, std::uint64_t> &weight_model::served() const
{
    return m_served;
}

fault_table &weight_model::faults()
{
    return m_faults;
}

} // namespace jackdawpick::standins
