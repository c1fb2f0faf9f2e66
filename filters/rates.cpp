// Exponentially decaying sums and smoothed response times. Sections of this file: Sum, Response time.
#include "filters/rates.h"

#include "galenafold/seconds.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr auto minRateAge = std::chrono::milliseconds(100); // a rate over less time would be guesswork
constexpr double emptySum = 0.01;                           // below it, what was added long ago no longer counts
constexpr double meanWeight = 0.125;                        // of the newest response time
constexpr double deviationWeight = 0.25;                    // of the newest deviation
constexpr double deviations = 2;                            // mean deviations; about one attempt in twenty exceeds them

// Sum

void DecayingSum::add(Instant now, double amount)
{
    m_sum = sum(now);
    if (m_sum < emptySum) {
        m_startedAt = now;
    }
    m_sum += amount;
    m_updatedAt = now;
}

double DecayingSum::sum(Instant now) const
{
    return m_sum * std::exp(-secondsOf(std::max(now, m_updatedAt) - m_updatedAt) / secondsOf(m_window));
}

double DecayingSum::perSecond(Instant now) const
{
    if (sum(now) < emptySum) {
        return 0;
    }
    const double window = secondsOf(m_window);
    const double age = secondsOf(std::max<Duration>(now - m_startedAt, minRateAge));
    return sum(now) / (window * (1 - std::exp(-age / window)));
}

// Response time

void ResponseTimeEstimate::add(Duration time)
{
    const double seconds = secondsOf(time);
    if (!m_isKnown) {
        m_isKnown = true;
        m_mean = seconds;
        m_deviation = seconds / 2;
        return;
    }
    m_deviation += deviationWeight * (std::abs(seconds - m_mean) - m_deviation);
    m_mean += meanWeight * (seconds - m_mean);
}

Duration ResponseTimeEstimate::expected() const
{
    return durationOf(m_mean + deviations * m_deviation);
}

} // namespace galenafold
