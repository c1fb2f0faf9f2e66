// What a router tells its peers, and what it takes from them: gossip, beacons and starts. Part of class Router.
#include "control/router.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t mostDemandTold = 32;
constexpr std::size_t mostReportsTold = 16;
constexpr std::size_t mostMarksTold = 8;
constexpr std::size_t mostFindingsTold = 8;
constexpr std::chrono::milliseconds oldestReportTold{2000};

static std::uint16_t narrowed(double value)
{
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65535.0));
}

void Router::noteStarted(const Call &call, EndpointIndex endpoint)
{
    StartNotice notice;
    notice.endpointHash = static_cast<std::uint32_t>(m_view.at(endpoint).hash);
    notice.expectedMillis = narrowed(static_cast<double>(expectedTime(call).count()) * startNoticeMargin);
    notice.isLong = call.lane == Lane::Long;
    m_starts.push_back(notice);
}

bool Router::slotByHash(std::uint32_t hash, EndpointIndex &slot) const
{
    const auto name = m_endpointNames.find(hash);
    return name != m_endpointNames.end() && m_view.find(name->second, slot);
}

void Router::onGossip(Instant now, const GossipMessage &message)
{
    m_shares.onPeerDemand(now, message.from, message.demand);
    for (const LeavingMark &mark : message.leaving) {
        onLeaving(now, mark);
    }
    for (const SlowFinding &finding : message.slow) {
        EndpointIndex slot{};
        if (slotByHash(finding.endpointHash, slot)) {
            m_slowness.onPeerFinding(slot, finding.ratio);
        }
    }
    for (const ReportDigest &digest : message.reports) {
        EndpointIndex slot{};
        if (!slotByHash(digest.endpointHash, slot)) {
            continue;
        }
        LoadReport report;
        report.endpoint = m_view.at(slot).vm.id;
        report.incarnation = m_view.at(slot).vm.incarnation;
        report.measured = now - std::chrono::milliseconds(digest.ageMillis);
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
    message.demand = m_shares.ownDemand(mostDemandTold,
                                        [this](const CustomerId &customer) { return m_limiter.inProgress(customer); });
    message.leaving = m_membership.marksToGossip(mostMarksTold);
    for (const auto &[slot, ratio] : m_slowness.findings(now)) {
        if (message.slow.size() < mostFindingsTold) {
            message.slow.push_back({static_cast<std::uint32_t>(m_view.at(slot).hash), static_cast<float>(ratio)});
        }
    }
    std::vector<std::pair<Instant, ReportDigest>> reports;
    for (std::size_t i = 0; i < m_view.size(); ++i) {
        const EndpointLoad &endpoint = m_view.at(static_cast<EndpointIndex>(i));
        const auto hash = static_cast<std::uint32_t>(endpoint.hash);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - endpoint.report.measured).count();
        if (endpoint.hasReport && endpoint.isRoutable && age < oldestReportTold.count()) {
            reports.push_back({endpoint.report.measured,
                               {hash, narrowed(static_cast<double>(age)), narrowed(endpoint.report.slots),
                                narrowed(endpoint.report.inFlight), narrowed(endpoint.report.longInFlight)}});
        }
    }
    const auto isNewer = [](const auto &a, const auto &b) { return a.first > b.first; };
    std::sort(reports.begin(), reports.end(), isNewer);
    for (std::size_t i = 0; i < std::min(reports.size(), mostReportsTold); ++i) {
        message.reports.push_back(reports[i].second);
    }
    return message;
}

LoadBeacon Router::beacon()
{
    std::map<EndpointIndex, InFlight> lasting;
    for (const auto &[key, active] : m_calls) {
        for (const Attempt &attempt : active.live) {
            if (!isBrief(active.call)) {
                lasting[attempt.endpoint].total += 1;
                lasting[attempt.endpoint].longLane += active.call.lane == Lane::Long ? 1 : 0;
            }
        }
    }
    LoadBeacon beacon;
    beacon.from = endpointHash(m_settings.name);
    beacon.number = ++m_beacons;
    for (const auto &[slot, count] : lasting) {
        const auto hash = static_cast<std::uint32_t>(m_view.at(slot).hash);
        beacon.loads.push_back({hash, narrowed(count.total), narrowed(count.longLane), 0});
    }
    m_hasLoadChanged = false;
    return beacon;
}

std::vector<LoadBeacon> Router::takeStartNotices()
{
    std::vector<LoadBeacon> beacons;
    for (const StartNotice &notice : m_starts) {
        LoadBeacon beacon;
        beacon.from = endpointHash(m_settings.name);
        beacon.number = ++m_beacons;
        beacon.isStartNotice = true;
        beacon.start = notice;
        beacons.push_back(beacon);
    }
    m_starts.clear();
    return beacons;
}

} // namespace galenafold
