// Outlier detection of slow endpoints relative to their pool.
#include "control/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double smoothingFactor = 0.3;  // weight of the latest observation in the moving average
constexpr int minEndpointSamples = 3;    // before an endpoint can be ejected
constexpr double minClassSamples = 10;   // in a class, before its quantiles are used
constexpr double recoveryFraction = 0.6; // of the ejection ratio; below it an endpoint is reinstated
constexpr double maxRatio = 50;          // cap on a single observation
constexpr double overtakenRatio = 2;     // recorded for an overtaken attempt, as a multiple of the ejection ratio
constexpr double minReportedRatio = 1.5; // up to it only ejected endpoints are reported to peers
constexpr auto findingLifetime = std::chrono::seconds(5); // after its last observation, for sending it to peers
constexpr std::uint64_t probeStaggerSteps = 20; // routers that eject at the same time probe at different times
constexpr double ejectedWeight = 0.05;          // weight of an ejected endpoint; 1 is normal

OutlierDetector::OutlierDetector(const OutlierDetectionSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_probeStagger(seed)
{
}

void OutlierDetector::observe(Instant now, EndpointIndex endpoint, double ratio)
{
    Health &health = m_health[static_cast<std::uint32_t>(endpoint)];
    const double bounded = std::min(ratio, maxRatio);
    ++health.samples;
    health.ratio += smoothingFactor * (bounded - health.ratio);
    health.ownRatio += smoothingFactor * (bounded - health.ownRatio);
    health.lastObserved = now;
}

void OutlierDetector::onPeerFinding(EndpointIndex endpoint, double ratio)
{
    Health &health = m_health[static_cast<std::uint32_t>(endpoint)];
    ++health.samples;
    health.ratio += smoothingFactor * (std::min(ratio, maxRatio) - health.ratio);
}

void OutlierDetector::onOvertaken(Instant now, EndpointIndex endpoint)
{
    observe(now, endpoint, overtakenRatio * m_settings.ejectRatio);
}

Duration OutlierDetector::expected(const std::string &classKey, double quantile) const
{
    const auto found = m_latencyByClass.find(classKey);
    if (found == m_latencyByClass.end() || found->second.samples() < minClassSamples) {
        return Duration(0);
    }
    return found->second.quantile(quantile);
}

static double ratioOf(Duration time, Duration median)
{
    return static_cast<double>(time.count()) / static_cast<double>(std::max<Duration::rep>(1, median.count()));
}

void OutlierDetector::onFirstByte(Instant now, EndpointIndex endpoint, const std::string &classKey, Duration time,
                                  Duration expectedTime)
{
    const Duration baseline = expectedTime.count() > 0 ? expectedTime : expected(classKey, 0.5);
    m_latencyByClass[classKey].add(time);
    if (baseline.count() > 0) {
        observe(now, endpoint, ratioOf(time, baseline));
    }
}

void OutlierDetector::onWaiting(Instant now, EndpointIndex endpoint, const std::string &classKey, Duration soFar,
                                Duration expectedTime)
{
    const Duration baseline = expectedTime.count() > 0 ? expectedTime : expected(classKey, 0.5);
    if (baseline.count() > 0 && ratioOf(soFar, baseline) > m_settings.ejectRatio) {
        observe(now, endpoint, ratioOf(soFar, baseline));
    }
}

void OutlierDetector::onConnectFailed(EndpointIndex endpoint)
{
    Health &health = m_health[static_cast<std::uint32_t>(endpoint)];
    health.samples = std::max(health.samples, minEndpointSamples);
    health.ratio = maxRatio;
    health.ownRatio = maxRatio;
}

double OutlierDetector::medianRatio(const Pool &pool) const
{
    std::vector<double> ratios;
    for (const EndpointIndex index : pool.members) {
        const auto health = m_health.find(static_cast<std::uint32_t>(index));
        const bool isKnown = health != m_health.end() && health->second.samples >= minEndpointSamples;
        ratios.push_back(isKnown ? health->second.ratio : 1); // without enough samples an endpoint counts as normal
    }
    if (ratios.empty()) {
        return 1;
    }
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return std::max(*middle, 0.05);
}

void OutlierDetector::updateWeights(Instant now, const Pool &pool, LoadView &view)
{
    if (m_settings.policy == Policy::Naive) {
        return;
    }
    const double median = medianRatio(pool);
    const auto maxEjected =
        static_cast<std::size_t>(m_settings.maxEjectedFraction * static_cast<double>(pool.members.size()));
    std::vector<EndpointIndex> slow;
    for (const EndpointIndex index : pool.members) {
        const Health &health = m_health[static_cast<std::uint32_t>(index)];
        const double limit = m_settings.ejectRatio * median * (health.isEjected ? recoveryFraction : 1);
        if (health.samples >= minEndpointSamples && health.ratio > limit) {
            slow.push_back(index);
        }
    }
    const auto isSlower = [this](EndpointIndex a, EndpointIndex b) {
        return m_health[static_cast<std::uint32_t>(a)].ratio > m_health[static_cast<std::uint32_t>(b)].ratio;
    };
    std::sort(slow.begin(), slow.end(), isSlower);
    slow.resize(std::min(slow.size(), maxEjected));
    for (const EndpointIndex index : pool.members) {
        Health &health = m_health[static_cast<std::uint32_t>(index)];
        const bool isSlow = std::find(slow.begin(), slow.end(), index) != slow.end();
        if (isSlow && !health.isEjected) {
            health.nextProbe =
                now + m_settings.probeInterval * (1 + static_cast<Duration::rep>(m_probeStagger++ % probeStaggerSteps));
        }
        health.isEjected = isSlow;
        view.at(index).weight = isSlow ? ejectedWeight : 1;
    }
}

bool OutlierDetector::takeProbe(Instant now, const Pool &pool, const LoadView &view, std::size_t routers,
                                EndpointIndex &endpoint)
{
    for (const EndpointIndex index : pool.members) {
        Health &health = m_health[static_cast<std::uint32_t>(index)];
        if (health.isEjected && health.nextProbe <= now && view.at(index).isRoutable && view.at(index).own.total < 1) {
            health.nextProbe = now + m_settings.probeInterval * static_cast<Duration::rep>(routers);
            endpoint = index;
            return true;
        }
    }
    return false;
}

std::vector<std::pair<EndpointIndex, double>> OutlierDetector::findings(Instant now) const
{
    std::vector<std::pair<EndpointIndex, double>> result;
    for (const auto &[index, health] : m_health) {
        const bool isFresh = health.lastObserved != Instant{} && now < health.lastObserved + findingLifetime;
        if (isFresh && (health.ownRatio > minReportedRatio || health.isEjected)) {
            result.emplace_back(static_cast<EndpointIndex>(index), health.ownRatio);
        }
    }
    return result;
}

} // namespace galenafold
