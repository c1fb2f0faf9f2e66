// Latency quantiles from a decaying histogram.
#include "control/latency.h"

namespace galenafold
{

constexpr unsigned histogramBins = 320; // each about 5% wide
constexpr double minSeconds = 50e-6;
constexpr double maxSeconds = 1200;
constexpr double decayThreshold = 512; // counts are halved at this many samples

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                        Axis(histogramBins, minSeconds, maxSeconds)))
{
}

void LatencyHistogram::add(Duration time)
{
    m_histogram(std::chrono::duration<double>(time).count());
    m_samples += 1;
    if (m_samples >= decayThreshold) {
        m_histogram *= 0.5;
        m_samples *= 0.5;
    }
}

Duration LatencyHistogram::quantile(double fraction) const
{
    double remaining = m_samples * fraction;
    if (m_samples <= 0) {
        return Duration(0);
    }
    for (auto &&bin : boost::histogram::indexed(m_histogram)) {
        remaining -= *bin;
        if (remaining <= 0) {
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bin.bin().upper()));
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(maxSeconds));
}

} // namespace galenafold
