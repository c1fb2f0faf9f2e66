// Estimate of service times: a linear model that follows observed times (normalised least mean squares). Sections of
// this file: Work, Estimates, Observations.
#include "filters/servicetime.h"

#include "galenafold/seconds.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double tokensPerUnit = 10000;      // makes the inputs of the model about equally large
constexpr double outputTokensPerUnit = 1000; // likewise
constexpr double learningRate = 0.1;         // of the newest observation
constexpr int firstObservations = 10;        // count alike, so that the estimate is useful soon after a start
constexpr double delayWeight = 0.125;        // of the newest delay, which changes faster than the work of requests
constexpr double deviations = 2;             // mean deviations; about one attempt in twenty exceeds them
constexpr std::size_t maxRoutes = 16384;     // of one service, whose times are kept

/// @return weight of the newest of `count` observations
static double weight(std::int64_t count)
{
    return count < firstObservations ? 1.0 / static_cast<double>(count + 1) : learningRate;
}

// Work

Tokens sharedTokens(const RequestFields &fields)
{
    Tokens shared = 0;
    for (std::size_t i = 0; i + 1 < fields.promptParts.size(); ++i) {
        shared += fields.promptParts[i].tokens;
    }
    return shared;
}

Tokens promptTokens(const RequestFields &fields)
{
    if (fields.promptTokens > 0 || fields.promptParts.empty()) {
        return fields.promptTokens;
    }
    return sharedTokens(fields) + fields.promptParts.back().tokens;
}

Tokens responseTokens(const RequestFields &fields)
{
    return fields.expectedOutput > 0 ? fields.expectedOutput : fields.maxOutput;
}

ServiceWork expectedWork(const RequestFields &fields, bool hasShared, bool isStream)
{
    const Tokens cached = hasShared ? sharedTokens(fields) : 0;
    return {std::max<Tokens>(0, promptTokens(fields) - cached), responseTokens(fields), isStream};
}

// Estimates

static double units(const ServiceWork &work)
{
    return work.uncached / tokensPerUnit;
}

/// @return of the output, what comes before the first event is received
static double outputUnits(const ServiceWork &work)
{
    return work.isStream ? 0 : work.output / outputTokensPerUnit;
}

/// @return squared length of the model's inputs, which normalises its steps
static double weightOf(const ServiceWork &work)
{
    return 1 + std::pow(units(work), 2) + std::pow(outputUnits(work), 2);
}

double ServiceTimeModel::LinearTime::at(const ServiceWork &work) const
{
    return baseSeconds + secondsPerUnit * units(work) + secondsPerOutputUnit * outputUnits(work);
}

void ServiceTimeModel::LinearTime::learn(const ServiceWork &work, double error)
{
    baseSeconds = std::max(0.0, baseSeconds + error / weightOf(work));
    learnPace(work, error);
}

void ServiceTimeModel::LinearTime::learnPace(const ServiceWork &work, double error)
{
    const double read = units(work);
    const double output = outputUnits(work);
    const double step = error / weightOf(work);
    secondsPerUnit = std::max(0.0, secondsPerUnit + step * read);
    secondsPerOutputUnit = std::max(0.0, secondsPerOutputUnit + step * output);
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
    return m_work.at(work) * occupancy.slowdown + waitSeconds(occupancy);
}

ServiceTime ServiceTimeModel::estimate(const ServiceWork &work, const ReplicaOccupancy &occupancy) const
{
    const double first = firstEventSeconds(work, occupancy);
    const double rest = work.isStream ? m_secondsPerOutputToken * work.output * occupancy.slowdown : 0;
    return {durationOf(first), durationOf(first + rest)};
}

Duration ServiceTimeModel::likelyFirstEvent(const RouteId &route, const ServiceWork &work) const
{
    if (!work.isKnown()) {
        const auto found = m_routes.find(route);
        return found == m_routes.end() ? Duration{} : found->second.expected();
    }
    if (m_error.count == 0) {
        return {};
    }
    return durationOf(std::max(0.0, m_work.at(work) + m_delaySeconds) + deviations * m_deviation.at(work));
}

// Observations

/// Requests that waited tell how much longer larger ones take, but not how long those without tokens do.
void ServiceTimeModel::onFirstEvent(const RouteId &route, const ServiceWork &work, const ReplicaOccupancy &occupancy,
                                    Duration took)
{
    if (!work.isKnown()) {
        noteRoute(route, took);
    }
    const double error = secondsOf(took) - firstEventSeconds(work, occupancy);
    const double weightOfNewest = weight(m_error.count);
    m_error.meanSeconds += weightOfNewest * (error - m_error.meanSeconds);
    m_error.meanAbsoluteSeconds += weightOfNewest * (std::abs(error) - m_error.meanAbsoluteSeconds);
    if (occupancy.slots == 0 || occupancy.load < occupancy.slots) {
        m_work.learn(work, weightOfNewest * error / occupancy.slowdown);
    } else {
        const double beyond = secondsOf(took) - m_work.at(work) - m_delaySeconds;
        m_work.learnPace(work, weightOfNewest * beyond / occupancy.slowdown);
    }
    noteSpread(work, secondsOf(took));
    ++m_error.count;
}

/// The deviation starts at half of the first time, as that of TCP's round trips does.
void ServiceTimeModel::noteSpread(const ServiceWork &work, double observed)
{
    const double beyond = observed - m_work.at(work);
    const double deviation = m_error.count == 0 ? observed : std::abs(beyond - m_delaySeconds);
    m_deviation.learn(work, weight(m_error.count) * (deviation - m_deviation.at(work)));
    m_delaySeconds += delayWeight * (beyond - m_delaySeconds);
}

void ServiceTimeModel::noteRoute(const RouteId &route, Duration took)
{
    if (m_routes.size() >= maxRoutes && m_routes.count(route) == 0) {
        m_routes.clear(); // of routes that no longer exist, most of them
    }
    m_routes[route].add(took);
}

void ServiceTimeModel::onEnd(const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration sinceFirstEvent,
                             Duration took)
{
    const double weightOfNewest = weight(m_error.count);
    if (work.isStream && work.output > 0) {
        const double perToken = secondsOf(sinceFirstEvent) / work.output / occupancy.slowdown;
        m_secondsPerOutputToken += weightOfNewest * (perToken - m_secondsPerOutputToken);
    }
    m_meanSeconds += weightOfNewest * (secondsOf(took) / occupancy.slowdown - m_meanSeconds);
}

} // namespace galenafold
