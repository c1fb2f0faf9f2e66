// Relative detection of slow endpoints.
#include "control/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double observationRate = 0.3; // weight of the latest observation
constexpr int samplesToJudge = 3;
constexpr double samplesToExpect = 10;  // of a class, before its quantiles mean anything
constexpr double recoverFraction = 0.6; // of the ejecting ratio, at which an endpoint is taken back
constexpr double mostRatio = 50;        // one observation counts no more than this
constexpr double overtakenRatio = 2;    // times the ejecting ratio
constexpr double ratioWorthTelling = 1.5;
constexpr auto findingLife = std::chrono::seconds(5); // a probe's finding is told to peers this long
constexpr std::uint64_t probeSpread = 20;             // routers that eject together do not probe together
constexpr double slowWeight = 0.05;

OutlierDetector::OutlierDetector(const SlownessSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void OutlierDetector::observe(Instant now, EndpointIndex endpoint, double ratio)
{
    Health &health = m_health[static_cast<std::uint32_t>(endpoint)];
    const double bounded = std::min(ratio, mostRatio);
    ++health.samples;
    health.ratio += observationRate * (bounded - health.ratio);
    health.ownRatio += observationRate * (bounded - health.ownRatio);
    health.ownSeen = now;
}

void OutlierDetector::onPeerFinding(EndpointIndex endpoint, double ratio)
{
    Health &health = m_health[static_cast<std::uint32_t>(endpoint)];
    ++health.samples;
    health.ratio += observationRate * (std::min(ratio, mostRatio) - health.ratio);
}

void OutlierDetector::onOvertaken(Instant now, EndpointIndex endpoint)
{
    observe(now, endpoint, overtakenRatio * m_settings.ejectRatio);
}

Span OutlierDetector::expected(const std::string &classKey, double quantile) const
{
    const auto found = m_classes.find(classKey);
    if (found == m_classes.end() || found->second.samples() < samplesToExpect) {
        return Span(0);
    }
    return found->second.quantile(quantile);
}

static double ratioOf(Span time, Span median)
{
    return static_cast<double>(time.count()) / static_cast<double>(std::max<Span::rep>(1, median.count()));
}

void OutlierDetector::onFirstByte(Instant now, EndpointIndex endpoint, const std::string &classKey, Span time, Span due)
{
    const Span wanted = due.count() > 0 ? due : expected(classKey, 0.5);
    m_classes[classKey].add(time);
    if (wanted.count() > 0) {
        observe(now, endpoint, ratioOf(time, wanted));
    }
}

void OutlierDetector::onWaiting(Instant now, EndpointIndex endpoint, const std::string &classKey, Span soFar, Span due)
{
    const Span wanted = due.count() > 0 ? due : expected(classKey, 0.5);
    if (wanted.count() > 0 && ratioOf(soFar, wanted) > m_settings.ejectRatio) {
        observe(now, endpoint, ratioOf(soFar, wanted));
    }
}

void OutlierDetector::onConnectFailed(EndpointIndex endpoint)
{
    Health &health = m_health[static_cast<std::uint32_t>(endpoint)];
    health.samples = std::max(health.samples, samplesToJudge);
    health.ratio = mostRatio;
    health.ownRatio = mostRatio;
}

double OutlierDetector::medianRatio(const Pool &pool) const
{
    std::vector<double> ratios;
    for (const EndpointIndex slot : pool.members) {
        const auto health = m_health.find(static_cast<std::uint32_t>(slot));
        const bool isKnown = health != m_health.end() && health->second.samples >= samplesToJudge;
        ratios.push_back(isKnown ? health->second.ratio : 1); // innocent until known
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
    const auto most = static_cast<std::size_t>(m_settings.ejectedFraction * static_cast<double>(pool.members.size()));
    std::vector<EndpointIndex> slow;
    for (const EndpointIndex slot : pool.members) {
        const Health &health = m_health[static_cast<std::uint32_t>(slot)];
        const double limit = m_settings.ejectRatio * median * (health.isEjected ? recoverFraction : 1);
        if (health.samples >= samplesToJudge && health.ratio > limit) {
            slow.push_back(slot);
        }
    }
    const auto isSlower = [this](EndpointIndex a, EndpointIndex b) {
        return m_health[static_cast<std::uint32_t>(a)].ratio > m_health[static_cast<std::uint32_t>(b)].ratio;
    };
    std::sort(slow.begin(), slow.end(), isSlower);
    slow.resize(std::min(slow.size(), most));
    for (const EndpointIndex slot : pool.members) {
        Health &health = m_health[static_cast<std::uint32_t>(slot)];
        const bool isSlow = std::find(slow.begin(), slow.end(), slot) != slow.end();
        if (isSlow && !health.isEjected) {
            health.probeAt = now + m_settings.probeEvery * (1 + static_cast<Span::rep>(m_random++ % probeSpread));
        }
        health.isEjected = isSlow;
        view.at(slot).weight = isSlow ? slowWeight : 1;
    }
}

bool OutlierDetector::takeProbe(Instant now, const Pool &pool, const LoadView &view, std::size_t routers,
                                EndpointIndex &endpoint)
{
    for (const EndpointIndex slot : pool.members) {
        Health &health = m_health[static_cast<std::uint32_t>(slot)];
        if (health.isEjected && health.probeAt <= now && view.at(slot).isRoutable && view.at(slot).own.total < 1) {
            health.probeAt = now + m_settings.probeEvery * static_cast<Span::rep>(routers);
            endpoint = slot;
            return true;
        }
    }
    return false;
}

std::vector<std::pair<EndpointIndex, double>> OutlierDetector::findings(Instant now) const
{
    std::vector<std::pair<EndpointIndex, double>> result;
    for (const auto &[slot, health] : m_health) {
        const bool isFresh = health.ownSeen != Instant{} && now < health.ownSeen + findingLife;
        if (isFresh && (health.ownRatio > ratioWorthTelling || health.isEjected)) {
            result.emplace_back(static_cast<EndpointIndex>(slot), health.ownRatio);
        }
    }
    return result;
}

} // namespace galenafold
