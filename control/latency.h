// Time to the first byte, by class of work: quantiles over recent calls.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/histogram.hpp>

namespace galenafold
{

/// A histogram over recent times, 50 microseconds to 20 minutes. Old ones fade by halving.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void add(Span time);
    Span quantile(double fraction) const; ///< @return zero before the first sample
    double samples() const { return m_samples; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> m_histogram;
    double m_samples = 0;
};

} // namespace galenafold
