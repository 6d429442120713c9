#pragma once

// Rate-limited store of model weights. Pure; the time comes in.
//
//   weight_model store({.loadsPerMinute = 30});
//   weight_answer answer = store.load("tide-7b", now);

#include "platform/fault_table.h"
#include "platform/rate_limit.h"

#include <cstdint>
#include <map>
#include <string>

namespace jackdawpick::standins
{

struct weight_options
{
    double loadsPerMinute = 60;
    double burst = 2;
    std::chrono::milliseconds loadTime{500}; // Until the answer is sent.
};

struct weight_answer
{
    std::uint16_t status = 200; // 429 over the rate, 503 in an outage, 0: no answer.
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds retryAfter{0};
};

// Faults: outage, hang, slow_ms.
class weight_model
{
public:
    explicit weight_model(const weight_options &options);

    [[nodiscard]] weight_answer load(const std::string &model, time_point now);
    [[nodiscard]] const std::map<std::string, std::uint64_t> &served() const; // Loads by model.
    [[nodiscard]] fault_table &faults();

private:
    weight_options m_options;
    fault_table m_faults;
    rate_limit m_rate;
    std::map<std::string, std::uint64_t> m_served;
};

} // namespace jackdawpick::standins
