// What routers tell each other of the load of engines: counts of their own requests, and engines that are fuller than
// these counts tell.
#include "filters/loadbalancer.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr auto peerDatagramDelay = std::chrono::milliseconds(10); // delivery of a datagram between busy routers
constexpr int unexpectedLoad = 3;          // requests in progress beyond those that peers can know of
constexpr double nearlyFullFraction = 0.6; // of the bound on load; below it late counts do no harm
constexpr auto peerReportFreshness = std::chrono::milliseconds(400); // of a report that a peer told of; if the engine
                                                                     // is fuller by then, another one tells
constexpr int maxReportedLoad = 65535;                               // requests in progress; 16 bits on the wire
constexpr auto unexpectedLoadLifetime = std::chrono::milliseconds(300); // about the time in which short requests end

void LoadBalancer::setActivePeers(int peers, Duration reportDelay, Duration reportLifetime)
{
    m_peerReportLifetime = reportLifetime;
    m_peersHeard = peers;
    m_peerReportDelay = std::chrono::duration<double>(reportDelay + peerDatagramDelay).count();
}

void LoadBalancer::onPeerLoads(Instant now, std::uint32_t peer, const std::vector<PeerLoad> &loads)
{
    m_peerCounts[peer] = {now + m_peerReportLifetime, loads};
    sumPeerLoads(now);
    for (auto &[id, state] : m_endpoints) {
        for (const PeerLoad &load : loads) {
            if (load.endpointHash == state.nameHash && load.slowdown > 0) {
                updateSlowdown(now, state, load.slowdown);
            }
        }
    }
}

void LoadBalancer::sumPeerLoads(Instant now)
{
    std::unordered_map<std::uint32_t, int> sums;
    for (auto peer = m_peerCounts.begin(); peer != m_peerCounts.end();) {
        if (now >= peer->second.until) {
            peer = m_peerCounts.erase(peer);
            continue;
        }
        for (const PeerLoad &load : peer->second.loads) {
            sums[load.endpointHash] += load.total;
        }
        ++peer;
    }
    for (auto &[id, service] : m_services) {
        service.peersInFlight = 0;
        for (EndpointState *state : service.replicas) {
            const auto sum = sums.find(state->nameHash);
            state->peersInFlight = sum == sums.end() ? 0 : sum->second;
            service.peersInFlight += state->peersInFlight;
        }
    }
}

std::vector<PeerLoad> LoadBalancer::ownLoads() const
{
    std::vector<PeerLoad> loads;
    for (const auto &[id, state] : m_endpoints) {
        if (state.ownInFlight > 0 && state.servesPrompts) {
            loads.push_back({state.nameHash, static_cast<std::uint16_t>(state.ownInFlight), 0, 0});
        }
    }
    return loads;
}

std::vector<PeerLoad> LoadBalancer::consumeLoads()
{
    std::vector<PeerLoad> loads;
    for (auto &[id, state] : m_endpoints) {
        const bool isReported = state.servesPrompts && (state.ownInFlight > 0 || state.unsentSlowdown > 0);
        if (isReported) {
            loads.push_back({state.nameHash, static_cast<std::uint16_t>(state.ownInFlight), 0, state.unsentSlowdown});
        }
        state.unsentSlowdown = 0;
    }
    m_hasUnsentStall = false;
    for (auto &[id, service] : m_services) {
        service.toldInFlight = ownInFlight(service);
    }
    return loads;
}

void LoadBalancer::noteUnexpectedLoad(Instant now, const EndpointState &state, int inProgress)
{
    const bool isUnexpected = inProgress >= load(now, state) + unexpectedLoad;
    const bool isNearlyFull = inProgress > nearlyFullFraction * state.bound;
    if (m_peersHeard > 0 && state.servesPrompts && isUnexpected && isNearlyFull) {
        m_unexpectedLoads[state.nameHash] = {inProgress, now + unexpectedLoadLifetime};
    }
}

/// The replica refuses requests though it should have room by what is known of it: its memory may be full. Counts it as
/// full here and tells the peers, so that no other router has to find out by a refusal.
void LoadBalancer::noteFull(Instant now, EndpointState &state)
{
    const int full = static_cast<int>(std::ceil(roomBound(state)));
    applyReport(now, state, full);
    if (m_peersHeard > 0) {
        m_unexpectedLoads[state.nameHash] = {full, now + unexpectedLoadLifetime};
    }
}

bool LoadBalancer::hasUrgentNews(Instant now) const
{
    const auto isRecent = [now](const auto &entry) { return now < entry.second.until; };
    return m_hasUnsentStall || std::any_of(m_unexpectedLoads.begin(), m_unexpectedLoads.end(), isRecent);
}

std::vector<ReportedLoad> LoadBalancer::takeUnexpectedLoads(Instant now)
{
    std::vector<ReportedLoad> reported;
    for (const auto &[hash, load] : m_unexpectedLoads) {
        if (now < load.until) {
            reported.push_back({hash, static_cast<std::uint16_t>(std::min(load.inProgress, maxReportedLoad))});
        }
    }
    m_unexpectedLoads.clear();
    return reported;
}

void LoadBalancer::onReportedLoads(Instant now, const std::vector<ReportedLoad> &reported)
{
    if (reported.empty()) {
        return;
    }
    for (auto &[id, state] : m_endpoints) {
        for (const ReportedLoad &load : reported) {
            if (load.endpointHash == state.nameHash) {
                applyReport(now, state, load.inProgress);
                state.loadFreshUntil = now + peerReportFreshness;
                m_unexpectedLoads.erase(state.nameHash); // that peer has told the others as well
            }
        }
    }
}

} // namespace galenafold
