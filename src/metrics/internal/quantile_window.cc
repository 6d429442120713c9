#include "metrics/internal/quantile_window.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jackdawpick
{

quantile_window::quantile_window()
    : m_estimator(boost::accumulators::tag::extended_p_square::probabilities = quantileProbabilities)
{
}

void quantile_window::add(double value)
{
    if (m_values.size() < exactValues) {
        m_values.push_back(value);
    }
    ++m_count;
    m_estimator(value);
}

bool quantile_window::empty() const
{
    return m_count == 0;
}

std::array<double, quantileProbabilities.size()> quantile_window::quantiles() const
{
    std::array<double, quantileProbabilities.size()> result{};
    if (m_count == 0) {
        result.fill(std::numeric_limits<double>::quiet_NaN());
    } else if (m_count <= exactValues) {
        std::vector<double> sorted = m_values;
        std::ranges::sort(sorted);
        std::ranges::transform(quantileProbabilities, result.begin(), [&sorted](double probability) {
            const auto rank = std::ceil(probability * static_cast<double>(sorted.size()));
            return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
        });
    } else {
        const auto estimates = boost::accumulators::extended_p_square(m_estimator);
        std::copy(estimates.begin(), estimates.end(), result.begin());
    }
    return result;
}

} // namespace jackdawpick
