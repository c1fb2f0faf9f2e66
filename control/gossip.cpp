// Composition and use of gossip.
#include "control/gossip.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace galenafold
{

constexpr double budgetDepthSeconds = 0.5;                 // of gossip that may be saved up
constexpr double beaconDepthSeconds = 2;                   // of beacons: calls start in clumps
constexpr double beaconPart = 0.85;                        // of the byte budget; the rest is for gossip
constexpr auto numberStep = std::chrono::milliseconds(10); // faster than any router sends beacons
constexpr auto heartbeatEvery = std::chrono::milliseconds(700);

std::uint32_t endpointHash(const VmId &endpoint)
{
    return static_cast<std::uint32_t>(hashName(endpoint.text));
}

// Beacon

std::uint32_t firstBeaconNumber(std::chrono::system_clock::time_point now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / numberStep);
}

bool isNewerBeacon(std::uint32_t number, std::uint32_t than)
{
    return static_cast<std::int32_t>(number - than) > 0;
}

BeaconPacer::BeaconPacer(const GossipSettings &settings)
    : m_settings(settings)
{
}

void BeaconPacer::fill(Instant now)
{
    const double rate = m_settings.bytesPerSecond * beaconPart;
    const double depth = rate * beaconDepthSeconds;
    const double elapsed = std::chrono::duration<double>(now - m_filled).count();
    m_bytes = std::min(depth, m_bytes + elapsed * rate);
    m_filled = now;
}

bool BeaconPacer::take(Instant now, int bytes, bool hasChanged)
{
    fill(now);
    m_beaconBytes = bytes;
    const bool isDue = hasChanged || now >= m_heartbeatAt;
    if (!isDue || bytes > m_bytes) {
        return false;
    }
    m_bytes -= bytes;
    m_heartbeatAt = now + heartbeatEvery;
    return true;
}

bool BeaconPacer::hasReserveAfter(Instant now, int bytes)
{
    fill(now);
    return m_bytes - bytes >= m_settings.bytesPerSecond * beaconPart * beaconDepthSeconds / 2;
}

bool BeaconPacer::takeStartNotice(Instant now, int bytes)
{
    fill(now);
    const double spared = now + heartbeatEvery / 2 > m_heartbeatAt ? m_beaconBytes : 0; // for the whole count
    if (bytes + spared > m_bytes) {
        return false;
    }
    m_bytes -= bytes;
    return true;
}

// Budget

GossipBudget::GossipBudget(const GossipSettings &settings)
    : m_settings(settings)
{
}

int GossipBudget::take(Instant now, int bytes, int peers)
{
    const double rate = m_settings.bytesPerSecond * (1 - beaconPart);
    const double depth = std::max(rate * budgetDepthSeconds, static_cast<double>(bytes));
    const double elapsed = m_isNew ? 0 : std::chrono::duration<double>(now - m_filled).count();
    m_bytes = std::min(depth, m_bytes + elapsed * rate);
    m_filled = now;
    m_isNew = false;
    const int affordable = static_cast<int>(m_bytes / std::max(1, bytes));
    const int messages = std::min({affordable, peers, m_settings.fanout});
    m_bytes -= static_cast<double>(messages) * bytes;
    return messages;
}

PeerPicker::PeerPicker(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<VmId> PeerPicker::pick(const std::vector<VmId> &peers, int count)
{
    std::vector<VmId> picked;
    while (static_cast<int>(picked.size()) < std::min<int>(count, static_cast<int>(peers.size()))) {
        if (m_turn.empty()) {
            m_turn = peers;
            for (std::size_t i = m_turn.size(); i > 1; --i) {
                std::swap(m_turn[i - 1],
                          m_turn[boost::random::uniform_int_distribution<std::size_t>(0, i - 1)(m_random)]);
            }
        }
        const VmId next = m_turn.back();
        m_turn.pop_back();
        const bool isLive = std::find(peers.begin(), peers.end(), next) != peers.end();
        if (isLive && std::find(picked.begin(), picked.end(), next) == picked.end()) {
            picked.push_back(next);
        }
    }
    return picked;
}

// Peers

PeerLoadTable::PeerLoadTable(Span silentAfter)
    : m_silentAfter(silentAfter)
{
}

void PeerLoadTable::takeBack(std::vector<CountedStart> &starts, std::uint32_t endpointHash)
{
    const auto isThere = [endpointHash](const CountedStart &start) {
        return start.notice.endpointHash == endpointHash;
    };
    const auto oldest = std::find_if(starts.begin(), starts.end(), isThere);
    if (oldest != starts.end()) {
        starts.erase(oldest);
    }
}

void PeerLoadTable::onBeacon(Instant now, const LoadBeacon &beacon)
{
    Peer &peer = m_peers[beacon.from];
    const bool isOlder = beacon.number <= peer.number && now < peer.heard + m_silentAfter;
    if (isOlder) {
        return; // overtaken on the way; after a silence the sender may have started anew
    }
    peer.heard = now;
    peer.number = beacon.number;
    if (beacon.isStartNotice && beacon.start.expectedMillis == 0) {
        takeBack(peer.starts, beacon.start.endpointHash);
        return;
    }
    if (beacon.isStartNotice) {
        peer.starts.push_back({beacon.start, now + std::chrono::milliseconds(beacon.start.expectedMillis)});
        return;
    }
    peer.loads = beacon.loads; // names all calls that last; of the others, starts stay until they should have ended
    const auto isCovered = [](const CountedStart &start) { return start.notice.expectedMillis >= briefCallMillis; };
    peer.starts.erase(std::remove_if(peer.starts.begin(), peer.starts.end(), isCovered), peer.starts.end());
}

void PeerLoadTable::keepOnly(const std::vector<VmId> &peers)
{
    std::unordered_map<std::uint32_t, Peer> kept;
    for (const VmId &vm : peers) {
        const auto peer = m_peers.find(endpointHash(vm));
        if (peer != m_peers.end()) {
            kept.insert(*peer);
        }
    }
    m_peers.swap(kept);
}

void PeerLoadTable::apply(Instant now, const std::vector<VmId> &peers, LoadView &view)
{
    std::unordered_map<std::uint32_t, InFlight> sums;
    for (const VmId &vm : peers) {
        const auto peer = m_peers.find(endpointHash(vm));
        if (peer == m_peers.end() || peer->second.heard + m_silentAfter < now) {
            view.setPeersComplete(false);
            return;
        }
        for (const PeerLoad &load : peer->second.loads) {
            InFlight &sum = sums[load.endpointHash];
            sum.total += load.total;
            sum.longLane += load.longLane;
        }
        std::vector<CountedStart> &starts = peer->second.starts;
        const auto hasEnded = [now](const CountedStart &start) { return start.until <= now; };
        starts.erase(std::remove_if(starts.begin(), starts.end(), hasEnded), starts.end());
        for (const CountedStart &start : starts) {
            InFlight &sum = sums[start.notice.endpointHash];
            sum.total += 1;
            sum.longLane += start.notice.isLong ? 1 : 0;
        }
    }
    view.setPeersComplete(true);
    for (std::size_t i = 0; i < view.size(); ++i) {
        const auto slot = static_cast<EndpointIndex>(i);
        const auto sum = sums.find(static_cast<std::uint32_t>(view.at(slot).hash));
        view.setOthers(slot, sum == sums.end() ? InFlight{} : sum->second);
    }
}

} // namespace galenafold
