// Part of class Router: composes gossip, beacons and start notices for peers, and applies those received.
#include "control/router.h"

#include <algorithm>

namespace galenafold
{

// Maximum items of each kind in one gossip message.
constexpr std::size_t maxDemandItems = 32;
constexpr std::size_t maxReports = 16;
constexpr std::size_t maxLeavingMarks = 8;
constexpr std::size_t maxSlowFindings = 8;
constexpr std::chrono::milliseconds maxDigestAge{2000}; // older load reports are not passed on

/// Converts to 16 bits and saturates at both ends.
static std::uint16_t saturatedUint16(double value)
{
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65535.0));
}

void Router::addStartNotice(const Call &call, EndpointIndex endpoint)
{
    StartNotice notice;
    notice.endpointHash = static_cast<std::uint32_t>(m_view.at(endpoint).hash);
    notice.expectedMillis = saturatedUint16(static_cast<double>(expectedTime(call).count()) * startNoticeMargin);
    notice.isLong = call.lane == Lane::Long;
    m_startNotices.push_back(notice);
}

bool Router::findByHash(std::uint32_t hash, EndpointIndex &index) const
{
    const auto name = m_endpointsByHash.find(hash);
    return name != m_endpointsByHash.end() && m_view.find(name->second, index);
}

void Router::onGossip(Instant now, const GossipMessage &message)
{
    m_shares.onPeerDemand(now, message.from, message.demand);
    for (const LeavingMark &mark : message.leaving) {
        onLeaving(now, mark);
    }
    for (const SlowFinding &finding : message.slow) {
        EndpointIndex index{};
        if (findByHash(finding.endpointHash, index)) {
            m_outlierDetector.onPeerFinding(index, finding.ratio);
        }
    }
    for (const ReportDigest &digest : message.reports) {
        EndpointIndex index{};
        if (!findByHash(digest.endpointHash, index)) {
            continue;
        }
        LoadReport report;
        report.endpoint = m_view.at(index).vm.id;
        report.incarnation = m_view.at(index).vm.incarnation;
        report.measuredAt = now - std::chrono::milliseconds(digest.ageMillis);
        report.slots = digest.slots;
        report.inFlight = digest.inFlight;
        report.longInFlight = digest.longInFlight;
        m_view.onReport(now, report);
    }
}

void Router::onBeacon(Instant now, const LoadBeacon &beacon)
{
    m_peerLoads.onBeacon(now, beacon);
    m_peerLoads.apply(now, m_peers, m_view);
}

GossipMessage Router::gossip(Instant now) const
{
    GossipMessage message;
    message.from = m_settings.name;
    message.demand = m_shares.ownDemand(maxDemandItems,
                                        [this](const CustomerId &customer) { return m_limiter.inProgress(customer); });
    message.leaving = m_membership.marksToGossip(maxLeavingMarks);
    for (const auto &[index, ratio] : m_outlierDetector.findings(now)) {
        if (message.slow.size() < maxSlowFindings) {
            message.slow.push_back({static_cast<std::uint32_t>(m_view.at(index).hash), static_cast<float>(ratio)});
        }
    }
    std::vector<std::pair<Instant, ReportDigest>> reports;
    for (std::size_t i = 0; i < m_view.size(); ++i) {
        const EndpointLoad &endpoint = m_view.at(static_cast<EndpointIndex>(i));
        const auto hash = static_cast<std::uint32_t>(endpoint.hash);
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - endpoint.report.measuredAt).count();
        if (endpoint.hasReport && endpoint.isRoutable && age < maxDigestAge.count()) {
            reports.push_back(
                {endpoint.report.measuredAt,
                 {hash, saturatedUint16(static_cast<double>(age)), saturatedUint16(endpoint.report.slots),
                  saturatedUint16(endpoint.report.inFlight), saturatedUint16(endpoint.report.longInFlight)}});
        }
    }
    const auto isNewer = [](const auto &a, const auto &b) { return a.first > b.first; };
    std::sort(reports.begin(), reports.end(), isNewer);
    for (std::size_t i = 0; i < std::min(reports.size(), maxReports); ++i) {
        message.reports.push_back(reports[i].second);
    }
    return message;
}

LoadBeacon Router::beacon()
{
    std::map<EndpointIndex, InFlight> longerCalls;
    for (const auto &[key, active] : m_calls) {
        for (const Attempt &attempt : active.live) {
            if (!isBrief(active.call)) {
                longerCalls[attempt.endpoint].total += 1;
                longerCalls[attempt.endpoint].longLane += active.call.lane == Lane::Long ? 1 : 0;
            }
        }
    }
    LoadBeacon beacon;
    beacon.from = vmHash(m_settings.name);
    beacon.number = ++m_beaconNumber;
    for (const auto &[index, count] : longerCalls) {
        const auto hash = static_cast<std::uint32_t>(m_view.at(index).hash);
        beacon.loads.push_back({hash, saturatedUint16(count.total), saturatedUint16(count.longLane), 0});
    }
    m_hasLoadChanged = false;
    return beacon;
}

std::vector<LoadBeacon> Router::takeStartNotices()
{
    std::vector<LoadBeacon> beacons;
    for (const StartNotice &notice : m_startNotices) {
        LoadBeacon beacon;
        beacon.from = vmHash(m_settings.name);
        beacon.number = ++m_beaconNumber;
        beacon.isStartNotice = true;
        beacon.start = notice;
        beacons.push_back(beacon);
    }
    m_startNotices.clear();
    return beacons;
}

} // namespace galenafold
