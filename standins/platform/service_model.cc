#include "platform/service_model.h"

#include "model/model.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace jackdawpick::standins
{

service_model::service_model(const service_options &options, std::uint64_t seed)
    : m_options(options)
    , m_faults({{"leaving", 0.0},
                {"refuse", 0.0},
                {"hang", 0.0},
                {"lost_answer", 0.0},
                {"error_rate", 0.0},
                {"latency_ms", 0.0}})
    , m_random(seed)
{
}

std::chrono::milliseconds service_model::drawLatency()
{
    const double changed = m_faults.number("latency_ms");
    const double median = changed > 0 ? changed : static_cast<double>(m_options.latency.count());
    const double factor = std::exp(m_options.spread * std::normal_distribution<double>(0, 1)(m_random));
    return std::chrono::milliseconds(static_cast<std::int64_t>(median * factor));
}

bool service_model::draw(const std::string &fault)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.number(fault);
}

service_answer service_model::call(const service_call_data &data, time_point now)
{
    if (m_faults.isOn("refuse")) {
        return {.status = 503};
    }
    if (m_faults.isOn("hang")) {
        return {.status = 0};
    }
    const auto delay = drawLatency();
    if (draw("error_rate")) {
        return {.status = 500, .delay = delay};
    }
    auto &count = m_counts[data.operation.empty() ? data.requestId : data.operation];
    if (count.runs++ == 0) {
        count.call = data;
        count.firstAt = now;
    }
    const std::uint16_t status = draw("lost_answer") ? 0 : 200;
    return {.status = status, .ran = true, .delay = delay, .result = serviceResult(data.operation, data.path)};
}

const std::map<std::string, service_count> &service_model::counts() const
{
    return m_counts;
}

std::uint64_t service_model::doubled() const
{
    return static_cast<std::uint64_t>(std::ranges::count_if(
        m_counts, [](const auto &entry) { return entry.second.runs > 1 && !entry.second.call.idempotent; }));
}

fault_table &service_model::faults()
{
    return m_faults;
}

std::string serviceResult(const std::string &operation, const std::string &path)
{
    return fmt::format("{:016x}", digestOf(operation + "\n" + path));
}

} // namespace jackdawpick::standins
