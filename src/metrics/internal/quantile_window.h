#pragma once

// Quantiles of the values of one window of time, in bounded memory.

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <vector>

namespace jackdawpick
{

inline constexpr std::array<double, 3> quantileProbabilities{0.5, 0.95, 0.99};

class quantile_window
{
public:
    quantile_window();

    void add(double value);
    [[nodiscard]] bool empty() const;
    // One value per probability; NaN while empty.
    [[nodiscard]] std::array<double, quantileProbabilities.size()> quantiles() const;

private:
    // The P-square estimate starts from its first 9 values and is poor for small counts, so that a window with few
    // values answers from the values themselves.
    static constexpr std::size_t exactValues = 64;

    using estimator =
        boost::accumulators::accumulator_set<double,
                                             boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

    std::vector<double> m_values; // At most exactValues.
    std::size_t m_count = 0;
    estimator m_estimator;
};

} // namespace jackdawpick
