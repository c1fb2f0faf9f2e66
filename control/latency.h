// Latency quantiles over recent samples, from a histogram with exponential decay.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/histogram.hpp>

namespace galenafold
{

/// A histogram of latencies from 50 microseconds to 20 minutes. All counts are halved each time that their sum reaches
/// a limit, so old samples lose weight.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void add(Duration time);
    Duration quantile(double fraction) const;    ///< @param fraction 0 to 1 @return zero without samples
    double samples() const { return m_samples; } ///< @return decayed number of samples

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> m_histogram;
    double m_samples = 0;
};

} // namespace galenafold
