// Estimate of service times: a linear model that follows observed times (normalised least mean squares).
#include "filters/servicetime.h"

#include "galenafold/seconds.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double tokensPerUnit = 10000; // makes the two inputs of the model about equally large
constexpr double learningRate = 0.1;    // of the newest observation
constexpr int firstObservations = 10;   // count alike, so that the estimate is useful soon after a start

/// @return weight of the newest of `count` observations
static double weight(std::int64_t count)
{
    return count < firstObservations ? 1.0 / static_cast<double>(count + 1) : learningRate;
}

/// Those that wait start as running ones end.
double ServiceTimeModel::waitSeconds(const ReplicaOccupancy &occupancy) const
{
    if (occupancy.slots == 0) {
        return 0;
    }
    const double waiting = std::max(0.0, occupancy.load + 1 - occupancy.slots);
    return waiting * m_meanSeconds * occupancy.slowdown / occupancy.slots;
}

double ServiceTimeModel::firstEventSeconds(const ServiceWork &work, const ReplicaOccupancy &occupancy) const
{
    const double units = work.uncached / tokensPerUnit;
    return (m_baseSeconds + m_secondsPerUnit * units) * occupancy.slowdown + waitSeconds(occupancy);
}

ServiceTime ServiceTimeModel::estimate(const ServiceWork &work, const ReplicaOccupancy &occupancy) const
{
    const double first = firstEventSeconds(work, occupancy);
    const double rest = m_secondsPerOutputToken * work.output * occupancy.slowdown;
    return {durationOf(first), durationOf(first + rest)};
}

/// The pace is learnt from requests that did not wait: a wait says little of it.
void ServiceTimeModel::onFirstEvent(const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration took)
{
    const double error = secondsOf(took) - firstEventSeconds(work, occupancy);
    const double weightOfNewest = weight(m_error.count);
    m_error.meanSeconds += weightOfNewest * (error - m_error.meanSeconds);
    m_error.meanAbsoluteSeconds += weightOfNewest * (std::abs(error) - m_error.meanAbsoluteSeconds);
    ++m_error.count;
    if (occupancy.slots > 0 && occupancy.load >= occupancy.slots) {
        return;
    }
    const double units = work.uncached / tokensPerUnit;
    const double step = std::max(learningRate, weightOfNewest) * error / occupancy.slowdown / (1 + units * units);
    m_baseSeconds = std::max(0.0, m_baseSeconds + step);
    m_secondsPerUnit = std::max(0.0, m_secondsPerUnit + step * units);
}

void ServiceTimeModel::onEnd(const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration sinceFirstEvent,
                             Duration took)
{
    const double weightOfNewest = weight(m_error.count);
    if (work.output > 0) {
        const double perToken = secondsOf(sinceFirstEvent) / work.output / occupancy.slowdown;
        m_secondsPerOutputToken += weightOfNewest * (perToken - m_secondsPerOutputToken);
    }
    m_meanSeconds += weightOfNewest * (secondsOf(took) / occupancy.slowdown - m_meanSeconds);
}

} // namespace galenafold
