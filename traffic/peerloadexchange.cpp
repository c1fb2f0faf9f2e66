// Exchange of load between routers.
#include "traffic/peerloadexchange.h"

#include "control/loadview.h"
#include "net/stream.h"

#include <algorithm>

namespace galenafold
{

constexpr auto endReportInterval = std::chrono::milliseconds(150); // ends only free capacity, so they are less urgent
constexpr auto startRetryInterval = std::chrono::milliseconds(50); // while a start waits for the budget
constexpr double startDelayWeight = 0.2;                           // smoothing factor for the delay of a new start
constexpr int maxListsPerTick = 8;
constexpr auto peerListInterval = std::chrono::seconds(3);         // while there are no newcomers
constexpr auto heartbeatInterval = std::chrono::milliseconds(700); // between beacons without a change
constexpr auto peerExpiry = std::chrono::seconds(10); // a silent peer is kept for this long, as it may be partitioned
constexpr double beaconSizeWeight = 0.2;              // smoothing factor for the size of a new beacon
constexpr auto placesNoticeInterval = std::chrono::seconds(1); // between notices that a peer has newer places
constexpr auto startingTime = std::chrono::seconds(2); // after a start, in which peers are asked for their lists
constexpr auto startIdTime = std::chrono::seconds(4);  // after a start, in which peers are told of it
constexpr auto repeatedListInterval = std::chrono::seconds(2); // between lists to the same router that starts
constexpr auto minPeerTimeout = std::chrono::seconds(2);       // a peer that is silent for longer does not count
constexpr int peerTimeoutIntervals = 4; // the same, in broadcasts at the rate of the budget; the longer time counts

static bool hasOtherSeed(const PeerSettings &settings)
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(),
                       [&](const std::string &seed) { return seed != settings.address; });
}

PeerLoadExchange::PeerLoadExchange(asio::io_context &io, const PeerSettings &settings, LoadBalancer &loadBalancer,
                                   QueryOfDeathDetector &queryOfDeath)
    : m_settings(settings)
    , m_loadBalancer(loadBalancer)
    , m_queryOfDeath(queryOfDeath)
    , m_socket(io, [this](const LoadBeacon &beacon, const auto &sender) { onBeacon(beacon, sender); })
    , m_beaconBudget(GossipSettings{settings.bytesPerSecond})
    , m_timer(io)
    , m_random(hashName(settings.address))
    , m_fleetSize(settings.address.empty() || !hasOtherSeed(settings))
{
}

bool PeerLoadExchange::start()
{
    if (m_settings.address.empty()) {
        m_loadBalancer.rateLimits().setFleet(clockNow(), 1, Duration{});
        return true;
    }
    const auto own = parseAddress(m_settings.address);
    if (!own || !own->address().is_v4() || !m_socket.open(own->address().to_string(), own->port())) {
        return false;
    }
    m_ownAddress = own->address().to_v4().to_uint();
    m_port = own->port();
    m_beaconNumber = firstBeaconNumber(std::chrono::system_clock::now());
    m_startId = m_beaconNumber;
    m_startingUntil = clockNow() + startingTime;
    m_startIdToldUntil = clockNow() + startIdTime;
    for (const std::string &seed : m_settings.seeds) {
        const auto address = parseAddress(seed);
        const bool isOther =
            address && address->address().is_v4() && address->address().to_v4().to_uint() != m_ownAddress;
        if (isOther) {
            m_peers[address->address().to_v4().to_uint()].heardAt = clockNow(); // expires if it stays silent
        }
    }
    tick();
    return true;
}

/// Datagrams may be late, duplicated or forged. A beacon is used only if it comes from the routers' common port and is
/// the newest of its sender.
void PeerLoadExchange::onBeacon(const LoadBeacon &beacon, const asio::ip::udp::endpoint &sender)
{
    if (!sender.address().is_v4() || sender.port() != m_port) {
        return;
    }
    const std::uint32_t from = sender.address().to_v4().to_uint();
    if (from == m_ownAddress) {
        return;
    }
    const Instant now = clockNow();
    const auto [entry, isNew] = m_peers.try_emplace(from);
    Peer &peer = entry->second;
    const bool asksForList =
        beacon.isStarting && now >= m_startingUntil && now >= peer.listSentAt + repeatedListInterval;
    peer.isNewcomer = peer.isNewcomer || (isNew && beacon.isStarting); // one that has a list needs no second one
    const bool isRestarted = now >= peer.heardAt + peerTimeout();
    if (peer.number > 0 && !isNewerBeacon(beacon.number, peer.number) && !isRestarted) {
        return;
    }
    peer.number = beacon.number;
    peer.heardAt = now;
    if (beacon.site.dataCentre != 0) { // told for some seconds after a start; others learn it from peer lists
        peer.site = beacon.site;
    }
    ++m_beaconsReceived;
    m_queryOfDeath.onNews(now, beacon.news);
    m_loadBalancer.rateLimits().onReport(now, from, beacon.limits);
    for (const std::uint32_t other : beacon.peers) {
        if (other != m_ownAddress) {
            // is sent beacons from now on; expires if it stays silent
            m_peers.try_emplace(other, Peer{now, 0, 0, false, {}, {}});
        }
    }
    for (std::size_t i = 0; i < beacon.peerSites.size(); ++i) {
        const auto other = m_peers.find(beacon.peers[i]);
        if (other != m_peers.end() && other->second.site.dataCentre == 0) {
            other->second.site = beacon.peerSites[i];
        }
    }
    if (beacon.placesUpTo) {
        peer.placesUpTo = *beacon.placesUpTo;
        const bool isNewer = peer.placesUpTo > m_placesUpTo && m_placesUpTo > 0;
        if (isNewer && now >= m_nextPlacesNoticeAt && onNewerPlaces) {
            m_nextPlacesNoticeAt = now + placesNoticeInterval;
            onNewerPlaces();
        }
    }
    m_loadBalancer.onPeerLoads(now, from, beacon.loads);
    m_loadBalancer.onReportedLoads(now, beacon.reported);
    if (asksForList) {
        sendPeerListTo(now, from);
    }
    if (beacon.stateVersion >= 0 && now < m_startIdToldUntil) {
        onStateVersionTold(beacon.stateVersion);
    }
    if (!beacon.peers.empty() && !beacon.isStarting) {
        m_startingUntil = now;
        onListReceived();
    }
}

void PeerLoadExchange::reportDataCentre(Instant now)
{
    std::vector<DataCentreRouter> others;
    for (const auto &[address, peer] : m_peers) {
        const bool isHeard = peer.number > 0 && now < peer.heardAt + peerTimeout();
        if (isHeard && m_settings.site.dataCentre != 0 && peer.site.dataCentre == m_settings.site.dataCentre) {
            others.push_back({address, peer.site.linkClass});
        }
    }
    if (onDataCentreChanged && others != m_dataCentre) {
        m_dataCentre = others;
        onDataCentreChanged({m_ownAddress, m_settings.site.linkClass}, others);
    }
}

void PeerLoadExchange::tick()
{
    const Instant now = clockNow();
    int heard = 0;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        heard += peer->second.number > 0 && now < peer->second.heardAt + peerTimeout() ? 1 : 0;
        peer = now >= peer->second.heardAt + std::max<Duration>(peerExpiry, peerTimeout()) ? m_peers.erase(peer)
                                                                                           : std::next(peer);
    }
    reportDataCentre(now);
    m_peersHeard = heard;
    m_maxPeersHeard = std::max(m_maxPeersHeard, heard);
    m_fleetSize.observe(now, static_cast<int>(m_peers.size()), heard);
    const double waiting = m_unsentStartAt ? std::chrono::duration<double>(now - *m_unsentStartAt).count() : 0;
    const auto reportDelay =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(m_startDelaySeconds, waiting)));
    m_loadBalancer.setActivePeers(heard, reportDelay, peerTimeout());
    m_queryOfDeath.setNewsInterval(reportDelay);
    m_loadBalancer.rateLimits().setFleet(now, std::max(m_fleetSize.routers(), static_cast<int>(m_peers.size()) + 1),
                                         reportDelay, m_fleetSize.routers() > 0);
    sendIfDue(now);
    sendPeerLists(now);
    armTimer(now);
}

void PeerLoadExchange::armTimer(Instant now)
{
    m_timer.expires_at(now + (m_unsentStartAt ? startRetryInterval : endReportInterval));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PeerLoadExchange::requestBeacon()
{
    const Instant now = clockNow();
    m_unsentStartAt = m_unsentStartAt.value_or(now);
    sendIfDue(now);
    if (m_unsentStartAt && m_timer.expiry() > now + startRetryInterval) {
        armTimer(now);
    }
}

void PeerLoadExchange::setPlacesUpTo(std::uint32_t upTo)
{
    m_placesUpTo = upTo;
}

bool PeerLoadExchange::isLeader() const
{
    const Instant now = clockNow();
    const auto own = std::make_pair(m_placesUpTo == 0, m_ownAddress);
    for (const auto &[address, peer] : m_peers) {
        const bool isHeard = peer.number > 0 && now < peer.heardAt + peerTimeout();
        if (isHeard && std::make_pair(peer.placesUpTo == 0, address) < own) {
            return false;
        }
    }
    return true;
}

PeerExchangeStats PeerLoadExchange::stats() const
{
    PeerExchangeStats stats;
    stats.known = static_cast<int>(m_peers.size());
    stats.heard = m_peersHeard;
    stats.beaconsSent = m_beaconsSent;
    stats.beaconsReceived = m_beaconsReceived;
    stats.bytesSent = m_socket.bytesSent();
    stats.broadcastBytes = broadcastBytes();
    stats.startDelay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_startDelaySeconds));
    return stats;
}

int PeerLoadExchange::broadcastBytes() const
{
    return static_cast<int>(m_beaconBytes * static_cast<double>(m_peers.size()));
}

Duration PeerLoadExchange::peerTimeout() const
{
    return std::max<Duration>(minPeerTimeout, m_beaconBudget.interval(broadcastBytes()) * peerTimeoutIntervals);
}

void PeerLoadExchange::sendIfDue(Instant now)
{
    const bool maySendEnds =
        now >= m_lastSentAt + endReportInterval && m_beaconBudget.hasReserveAfter(now, broadcastBytes());
    const bool hasNews = m_loadBalancer.hasUrgentNews(now) || m_queryOfDeath.hasUnsentNews()
        || m_loadBalancer.rateLimits().hasUnsentNews();
    const bool isDue = m_unsentStartAt || hasNews || maySendEnds || now >= m_lastSentAt + heartbeatInterval;
    if (m_peers.empty() || !isDue) {
        return;
    }
    const auto isSame = [](const PeerLoad &a, const PeerLoad &b) {
        return a.endpointHash == b.endpointHash && a.total == b.total;
    };
    const std::vector<PeerLoad> loads = m_loadBalancer.ownLoads();
    const bool hasChanged =
        hasNews || !std::equal(loads.begin(), loads.end(), m_lastSentLoads.begin(), m_lastSentLoads.end(), isSame);
    if (!hasChanged) {
        m_unsentStartAt.reset(); // the counts are as last sent: a request that ended offsets the start
    }
    const bool isSent = hasNews ? m_beaconBudget.take(now, broadcastBytes(), true)
                                : m_beaconBudget.takeLeavingOne(now, broadcastBytes(), hasChanged);
    if (isSent) {
        m_lastSentLoads = loads;
        send(now);
    }
}

LoadBeacon PeerLoadExchange::nextBeacon(Instant now)
{
    LoadBeacon beacon;
    beacon.isStarting = now < m_startingUntil;
    beacon.number = ++m_beaconNumber;
    beacon.placesUpTo = m_placesUpTo;
    if (now < m_startIdToldUntil) {
        beacon.site = m_settings.site;
    }
    return beacon;
}

void PeerLoadExchange::send(Instant now)
{
    LoadBeacon beacon = nextBeacon(now);
    beacon.loads = m_loadBalancer.consumeLoads();
    beacon.reported = m_loadBalancer.takeUnexpectedLoads(now);
    beacon.news = m_queryOfDeath.takeNews(now);
    beacon.limits = m_loadBalancer.rateLimits().takeReport(now);
    beacon.limits.startId = now < m_startIdToldUntil ? m_startId : 0;
    const std::string payload = encodeBeacon(beacon);
    m_beaconBytes += beaconSizeWeight * (datagramBytes(payload) - m_beaconBytes);
    m_lastSentAt = now;
    if (m_unsentStartAt) {
        const double delay = std::chrono::duration<double>(now - *m_unsentStartAt).count();
        m_startDelaySeconds += startDelayWeight * (delay - m_startDelaySeconds);
        m_unsentStartAt.reset();
    }
    ++m_beaconsSent;
    for (const auto &[address, peer] : m_peers) {
        m_socket.send(payload, asio::ip::address_v4(address).to_string(), m_port);
    }
}

/// @return addresses of peers that were heard: a random choice if there are more than a list holds, half of them in the
/// receiver's data centre
std::vector<std::uint32_t> PeerLoadExchange::samplePeers(const Peer &receiver)
{
    std::vector<std::uint32_t> near;
    std::vector<std::uint32_t> others;
    for (const auto &[address, peer] : m_peers) {
        if (peer.number > 0) {
            (peer.site.dataCentre == receiver.site.dataCentre ? near : others).push_back(address);
        }
    }
    std::shuffle(near.begin(), near.end(), m_random);
    std::shuffle(others.begin(), others.end(), m_random);
    near.resize(std::min(near.size(), maxListedPeers - std::min(others.size(), maxListedPeers / 2)));
    others.resize(std::min(others.size(), maxListedPeers - near.size()));
    near.insert(near.end(), others.begin(), others.end());
    return near;
}

/// @return the peer that gets the next list: a newcomer, or now and then any peer
std::optional<std::uint32_t> PeerLoadExchange::nextListReceiver(Instant now)
{
    std::vector<std::uint32_t> newcomers;
    std::vector<std::uint32_t> all;
    for (const auto &[address, peer] : m_peers) {
        all.push_back(address);
        if (peer.isNewcomer) {
            newcomers.push_back(address);
        }
    }
    if (newcomers.empty() && now < m_nextPeerListAt) {
        return std::nullopt;
    }
    const std::vector<std::uint32_t> &candidates = newcomers.empty() ? all : newcomers;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random() % candidates.size()];
}

/// Of many routers that start at once, several get their lists in one step.
void PeerLoadExchange::sendPeerLists(Instant now)
{
    for (int lists = 0; lists < maxListsPerTick; ++lists) {
        const auto receiver = nextListReceiver(now);
        if (!receiver || !sendPeerListTo(now, *receiver)) {
            return;
        }
    }
}

/// A peer list goes with the sender's loads, as each beacon replaces the one before.
/// @return false if the budget does not allow it yet
bool PeerLoadExchange::sendPeerListTo(Instant now, std::uint32_t receiver)
{
    LoadBeacon beacon = nextBeacon(now);
    beacon.loads = m_loadBalancer.ownLoads();
    beacon.site = m_settings.site;
    beacon.peers = samplePeers(m_peers[receiver]);
    if (m_settings.site.dataCentre != 0) {
        for (const std::uint32_t address : beacon.peers) {
            beacon.peerSites.push_back(m_peers[address].site);
        }
    }
    beacon.news = m_queryOfDeath.knownBlocks(now);
    beacon.stateVersion = m_stateVersion;
    beacon.limits = m_loadBalancer.rateLimits().fullReport(now);
    beacon.limits.startId = now < m_startIdToldUntil ? m_startId : 0;
    const std::string payload = encodeBeacon(beacon);
    m_peers[receiver].isNewcomer = true; // until the budget allows the list
    if (!m_beaconBudget.takeMessage(now, datagramBytes(payload))) {
        return false;
    }
    m_nextPeerListAt = now + peerListInterval;
    m_peers[receiver].isNewcomer = false;
    m_peers[receiver].listSentAt = now;
    m_socket.send(payload, asio::ip::address_v4(receiver).to_string(), m_port);
    return true;
}

} // namespace galenafold
