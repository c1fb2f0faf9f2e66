// Quantiles over a fading histogram.
#include "control/latency.h"

namespace galenafold
{

constexpr unsigned histogramBins = 320; // each 5% wide
constexpr double leastSeconds = 50e-6;
constexpr double mostSeconds = 1200;
constexpr double samplesBeforeFading = 512;

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                        Axis(histogramBins, leastSeconds, mostSeconds)))
{
}

void LatencyHistogram::add(Span time)
{
    m_histogram(std::chrono::duration<double>(time).count());
    m_samples += 1;
    if (m_samples >= samplesBeforeFading) {
        m_histogram *= 0.5;
        m_samples *= 0.5;
    }
}

Span LatencyHistogram::quantile(double fraction) const
{
    double left = m_samples * fraction;
    if (m_samples <= 0) {
        return Span(0);
    }
    for (auto &&bin : boost::histogram::indexed(m_histogram)) {
        left -= *bin;
        if (left <= 0) {
            return std::chrono::duration_cast<Span>(std::chrono::duration<double>(bin.bin().upper()));
        }
    }
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(mostSeconds));
}

} // namespace galenafold
