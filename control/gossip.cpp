// Pacing of beacons and gossip, selection of gossip targets, and the load announced by peers.
#include "control/gossip.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace galenafold
{

constexpr double gossipBurstSeconds = 0.5; // gossip budget that may accumulate, in seconds of its rate
constexpr double beaconBurstSeconds = 2;   // the same for beacons; calls tend to start in bursts
constexpr double beaconFraction = 0.85;    // of the byte budget; gossip gets the rest
constexpr auto beaconNumberStep = std::chrono::milliseconds(10); // shorter than the mean interval between beacons
constexpr auto heartbeatInterval = std::chrono::milliseconds(700);

std::uint32_t vmHash(const VmId &endpoint)
{
    return static_cast<std::uint32_t>(hashName(endpoint.text));
}

// Beacon

std::uint32_t firstBeaconNumber(std::chrono::system_clock::time_point now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / beaconNumberStep);
}

bool isFurther(const PlacesProgress &other, const PlacesProgress &own)
{
    if (other.upTo == 0 || own.upTo == 0) {
        return false;
    }
    const auto eras = static_cast<std::int8_t>(other.era - own.era);
    return eras == 0 ? other.upTo > own.upTo : eras > 0;
}

bool isNewerBeacon(std::uint32_t number, std::uint32_t than)
{
    return static_cast<std::int32_t>(number - than) > 0;
}

BeaconBudget::BeaconBudget(const GossipSettings &settings)
    : m_settings(settings)
{
}

/// @return bytes per second
double BeaconBudget::rate() const
{
    return m_settings.bytesPerSecond * beaconFraction;
}

double BeaconBudget::capacity() const
{
    return std::max(rate() * beaconBurstSeconds, 2.0 * m_beaconBytes);
}

void BeaconBudget::refill(Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_bytes = std::min(capacity(), m_bytes + elapsed * rate());
    m_refilledAt = now;
}

Duration BeaconBudget::interval(int bytes) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / rate()));
}

bool BeaconBudget::take(Instant now, int bytes, bool hasChanged)
{
    m_beaconBytes = bytes;
    refill(now);
    const bool isDue = hasChanged || now >= m_nextHeartbeat;
    if (!isDue || bytes > m_bytes) {
        return false;
    }
    m_bytes -= bytes;
    m_nextHeartbeat = now + heartbeatInterval;
    return true;
}

bool BeaconBudget::hasReserveAfter(Instant now, int bytes)
{
    refill(now);
    return m_bytes - bytes >= capacity() / 2;
}

bool BeaconBudget::takeLeavingOne(Instant now, int bytes, bool hasChanged)
{
    m_beaconBytes = bytes; // before the refill, as the capacity depends on it
    refill(now);
    return m_bytes >= 2.0 * bytes && take(now, bytes, hasChanged);
}

bool BeaconBudget::takeStartNotice(Instant now, int bytes)
{
    refill(now);
    const double reserved = now + heartbeatInterval / 2 > m_nextHeartbeat ? m_beaconBytes : 0; // for the next beacon
    return bytes + reserved <= m_bytes && takeMessage(now, bytes);
}

bool BeaconBudget::takeMessageLeavingOne(Instant now, int bytes)
{
    refill(now);
    return m_bytes >= bytes + m_beaconBytes && takeMessage(now, bytes);
}

bool BeaconBudget::takeMessage(Instant now, int bytes)
{
    refill(now);
    if (bytes > m_bytes) {
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
    const double rate = m_settings.bytesPerSecond * (1 - beaconFraction);
    const double burst = std::max(rate * gossipBurstSeconds, static_cast<double>(bytes));
    const double elapsed = m_isFirstTake ? 0 : std::chrono::duration<double>(now - m_refilledAt).count();
    m_bytes = std::min(burst, m_bytes + elapsed * rate);
    m_refilledAt = now;
    m_isFirstTake = false;
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
        if (m_remaining.empty()) {
            m_remaining = peers;
            for (std::size_t i = m_remaining.size(); i > 1; --i) {
                std::swap(m_remaining[i - 1],
                          m_remaining[boost::random::uniform_int_distribution<std::size_t>(0, i - 1)(m_random)]);
            }
        }
        const VmId next = m_remaining.back();
        m_remaining.pop_back();
        const bool isLive = std::find(peers.begin(), peers.end(), next) != peers.end();
        if (isLive && std::find(picked.begin(), picked.end(), next) == picked.end()) {
            picked.push_back(next);
        }
    }
    return picked;
}

// Peers

PeerLoadTable::PeerLoadTable(Duration peerTimeout)
    : m_peerTimeout(peerTimeout)
{
}

void PeerLoadTable::cancelStart(std::vector<ActiveStart> &starts, std::uint32_t endpointHash)
{
    const auto isSameEndpoint = [endpointHash](const ActiveStart &start) {
        return start.notice.endpointHash == endpointHash;
    };
    const auto oldest = std::find_if(starts.begin(), starts.end(), isSameEndpoint);
    if (oldest != starts.end()) {
        starts.erase(oldest);
    }
}

void PeerLoadTable::onBeacon(Instant now, const LoadBeacon &beacon)
{
    Peer &peer = m_peers[beacon.from];
    const bool isOlder = beacon.number <= peer.number && now < peer.lastHeard + m_peerTimeout;
    if (isOlder) {
        return; // reordered in transit; after a silence lower numbers are accepted, as the sender may have restarted
    }
    peer.lastHeard = now;
    peer.number = beacon.number;
    if (beacon.isStartNotice && beacon.start.expectedMillis == 0) {
        cancelStart(peer.starts, beacon.start.endpointHash);
        return;
    }
    if (beacon.isStartNotice) {
        peer.starts.push_back({beacon.start, now + std::chrono::milliseconds(beacon.start.expectedMillis)});
        return;
    }
    peer.loads = beacon.loads; // covers all longer calls; start notices of brief calls stay until their expected end
    const auto isInBeacon = [](const ActiveStart &start) { return start.notice.expectedMillis >= briefCallMillis; };
    peer.starts.erase(std::remove_if(peer.starts.begin(), peer.starts.end(), isInBeacon), peer.starts.end());
}

void PeerLoadTable::keepOnly(const std::vector<VmId> &peers)
{
    std::unordered_map<std::uint32_t, Peer> kept;
    for (const VmId &vm : peers) {
        const auto peer = m_peers.find(vmHash(vm));
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
        const auto peer = m_peers.find(vmHash(vm));
        if (peer == m_peers.end() || peer->second.lastHeard + m_peerTimeout < now) {
            view.setPeersComplete(false);
            return;
        }
        for (const PeerLoad &load : peer->second.loads) {
            InFlight &sum = sums[load.endpointHash];
            sum.total += load.total;
            sum.longLane += load.longLane;
        }
        std::vector<ActiveStart> &starts = peer->second.starts;
        const auto hasEnded = [now](const ActiveStart &start) { return start.expectedEnd <= now; };
        starts.erase(std::remove_if(starts.begin(), starts.end(), hasEnded), starts.end());
        for (const ActiveStart &start : starts) {
            InFlight &sum = sums[start.notice.endpointHash];
            sum.total += 1;
            sum.longLane += start.notice.isLong ? 1 : 0;
        }
    }
    view.setPeersComplete(true);
    for (std::size_t i = 0; i < view.size(); ++i) {
        const auto index = static_cast<EndpointIndex>(i);
        const auto sum = sums.find(static_cast<std::uint32_t>(view.at(index).hash));
        view.setOthers(index, sum == sums.end() ? InFlight{} : sum->second);
    }
}

} // namespace galenafold
