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
constexpr int maxListsPerTick = 32;
constexpr auto peerListInterval = std::chrono::seconds(3);         // while there are no newcomers
constexpr auto firstListInterval = std::chrono::seconds(1);        // the same while a fleet that has started forms
constexpr auto formingTime = std::chrono::seconds(6);              // after a start, in which lists are sent so often
constexpr auto heartbeatInterval = std::chrono::milliseconds(700); // between beacons without a change
constexpr auto peerExpiry = std::chrono::seconds(10); // a silent peer is kept for this long, as it may be partitioned
constexpr double beaconSizeWeight = 0.2;              // smoothing factor for the size of a new beacon
constexpr auto placesNoticeInterval = std::chrono::seconds(1); // between notices that a peer has newer places
constexpr auto startingTime = std::chrono::seconds(2); // after a start, in which peers are asked for their lists
constexpr auto startIdTime = std::chrono::seconds(4);  // after a start, in which peers are told of it
constexpr std::size_t manyNewcomers = 24;              // at the same time: their first lists come late, and are short
constexpr std::size_t shortListPeers = 20; // so that a few routers can send such a list to hundreds within a second
constexpr auto lostListTime = std::chrono::milliseconds(800);  // after which a list that was not noticed is sent again
constexpr auto newcomersTime = std::chrono::milliseconds(500); // in which all start that start at once
constexpr auto repeatedListInterval = std::chrono::seconds(2); // between lists to the same router that starts
constexpr auto minPeerTimeout = std::chrono::seconds(2);       // a peer that is silent for longer does not count
constexpr auto minAccountWorkInterval = std::chrono::seconds(2); // between beacons with client accounts' use
constexpr int accountWorkBeacons = 3;   // one in so many carries it, so that load is told hardly less often
constexpr int accountWorkLifetime = 3;  // intervals after which what a peer told of it no longer counts
constexpr int peerTimeoutIntervals = 4; // the same, in broadcasts at the rate of the budget; the longer time counts

static bool hasOtherSeed(const PeerSettings &settings)
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(),
                       [&](const std::string &seed) { return seed != settings.address; });
}

static PeerExchangeTime completed(PeerExchangeTime time, DeadlineTimer &timer)
{
    if (!time.wakeAt) {
        time.wakeAt = [&timer](Instant when, const std::function<void()> &wake) {
            timer.expires_at(when);
            timer.async_wait([wake](const asio::error_code &error) {
                if (!error) {
                    wake();
                }
            });
        };
    }
    return time;
}

PeerLoadExchange::PeerLoadExchange(asio::io_context &io, const PeerSettings &settings, LoadBalancer &loadBalancer,
                                   QueryOfDeathDetector &queryOfDeath, const PeerExchangeTime &time)
    : m_settings(settings)
    , m_loadBalancer(loadBalancer)
    , m_queryOfDeath(queryOfDeath)
    , m_socket(io, [this](const LoadBeacon &beacon, const auto &sender) { onBeacon(beacon, sender); })
    , m_beaconBudget(GossipSettings{settings.bytesPerSecond})
    , m_newcomerBudget(GossipSettings{settings.bytesPerSecond})
    , m_lentBytes(lentBytesPerSecond, 2 * lentBytesPerSecond)
    , m_timer(io)
    , m_time(completed(time, m_timer))
    , m_random(hashName(settings.address))
    , m_fleetSize(settings.address.empty() || !hasOtherSeed(settings))
{
    m_socket.isOther = isOriginMessage;
    m_socket.onOther = [this](const std::string &bytes, const auto &sender) { onDatagram(bytes, sender); };
}

bool PeerLoadExchange::start()
{
    if (m_settings.address.empty()) {
        m_loadBalancer.rateLimits().setFleet(m_time.now(), 1, Duration{});
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
    m_startingUntil = m_time.now() + startingTime;
    m_discoversUntil = hasOtherSeed(m_settings) ? m_startingUntil : m_time.now();
    m_listsFrom = m_time.now() + newcomersTime;
    m_fleetFormsUntil = m_time.now() + formingTime;
    m_startIdToldUntil = m_time.now() + startIdTime;
    for (const std::string &seed : m_settings.seeds) {
        const auto address = parseAddress(seed);
        const bool isOther =
            address && address->address().is_v4() && address->address().to_v4().to_uint() != m_ownAddress;
        if (isOther) {
            m_peers[address->address().to_v4().to_uint()].heardAt = m_time.now(); // expires if it stays silent
        }
    }
    tick();
    return true;
}

/// @return true if a datagram comes from the common port of the routers, and not from this one
bool PeerLoadExchange::isRouter(const asio::ip::udp::endpoint &sender) const
{
    return sender.address().is_v4() && sender.port() == m_port && sender.address().to_v4().to_uint() != m_ownAddress;
}

/// Datagrams may be late, duplicated or forged. A beacon is used only if it comes from the routers' common port and is
/// the newest of its sender.
void PeerLoadExchange::onBeacon(const LoadBeacon &beacon, const asio::ip::udp::endpoint &sender)
{
    if (!isRouter(sender)) {
        return;
    }
    const std::uint32_t from = sender.address().to_v4().to_uint();
    const Instant now = m_time.now();
    const auto [entry, isNew] = m_peers.try_emplace(from);
    Peer &peer = entry->second;
    const bool asksForList =
        beacon.isStarting && now >= m_startingUntil && now >= peer.listSentAt + repeatedListInterval;
    noteListWanted(now, peer, beacon, isNew);
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
    noteStart(from, peer, beacon.limits.startId);
    m_queryOfDeath.onNews(now, beacon.news);
    m_loadBalancer.rateLimits().onReport(now, from, beacon.limits);
    for (const std::uint32_t other : beacon.peers) {
        if (other != m_ownAddress) {
            // is sent beacons from now on; expires if it stays silent
            const auto [told, isAdded] = m_peers.try_emplace(other);
            told->second.heardAt = isAdded ? now : told->second.heardAt;
        }
    }
    for (std::size_t i = 0; i < beacon.peerSites.size(); ++i) {
        const auto other = m_peers.find(beacon.peers[i]);
        if (other != m_peers.end() && other->second.site.dataCentre == 0) {
            other->second.site = beacon.peerSites[i];
        }
    }
    if (beacon.places) {
        peer.places = *beacon.places;
        if (isFurther(peer.places, m_places) && now >= m_nextPlacesNoticeAt && onNewerPlaces) {
            m_nextPlacesNoticeAt = now + placesNoticeInterval;
            onNewerPlaces();
        }
    }
    m_loadBalancer.onPeerLoads(now, from, beacon.loads);
    m_loadBalancer.onReportedLoads(now, beacon.reported);
    if (!beacon.accountWork.empty()) {
        onAccountWork(now, from, beacon.accountWork, accountWorkInterval() * accountWorkLifetime);
    }
    if (asksForList) {
        sendPeerListTo(now, from);
    }
    if (beacon.stateVersion >= 0 && now < m_startIdToldUntil) {
        onStateVersionTold(beacon.stateVersion);
    }
    const bool isList = !beacon.peers.empty() && beacon.peers.front() != from;
    if (isList) {
        onPeerList(now, beacon.isStarting);
    }
}

/// A start is told of for some seconds.
void PeerLoadExchange::noteStart(std::uint32_t from, Peer &peer, std::uint32_t startId) const
{
    if (startId != 0 && startId != peer.startId) {
        peer.startId = startId;
        onPeerStarted(from);
    }
}

/// Where all routers start at once, the first lists come from routers that do not know of blocked prompts either.
void PeerLoadExchange::onPeerList(Instant now, bool isSenderStarting)
{
    m_tellsOfList = m_tellsOfList || (now < m_startingUntil && !m_hasList);
    m_hasList = true;
    if (!isSenderStarting) {
        m_startingUntil = now;
        onListReceived();
    }
    reportDataCentre(now);
}

/// A router that starts asks for a list until it has one. While many start, several peers could send it one: it tells
/// in its next beacon that it needs none any more, by naming itself as a peer. A list may be lost.
void PeerLoadExchange::noteListWanted(Instant now, Peer &peer, const LoadBeacon &beacon, bool isNew)
{
    const bool asks = beacon.isStarting && beacon.peers.empty();
    if (isNew && asks) {
        peer.isNewcomer = true;
        peer.newcomerUntil = now + startingTime - endReportInterval;
    } else if (now < peer.newcomerUntil) {
        const bool isLost = asks && now >= peer.listSentAt + lostListTime;
        peer.isNewcomer = asks && (peer.isNewcomer || isLost);
    }
}

/// Whether a router answers is found out when it is asked, so those count that a list has told of, and those that have
/// been silent for a while. Without a list, the first few that are heard tell nothing of who else is there.
void PeerLoadExchange::reportDataCentre(Instant now)
{
    if (!m_hasList && now < m_discoversUntil) {
        return;
    }
    std::vector<DataCentreRouter> others;
    for (const auto &[address, peer] : m_peers) {
        if (m_settings.site.dataCentre != 0 && peer.site.dataCentre == m_settings.site.dataCentre) {
            others.push_back({address, peer.site.linkClass});
        }
    }
    if (onDataCentreChanged && (!m_dataCentre || others != *m_dataCentre)) {
        m_dataCentre = others;
        onDataCentreChanged({m_ownAddress, m_settings.site.linkClass}, others);
    }
}

void PeerLoadExchange::tick()
{
    const Instant now = m_time.now();
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
    m_nextTickAt = now + (m_unsentStartAt ? startRetryInterval : endReportInterval);
    m_time.wakeAt(m_nextTickAt, [this] { tick(); });
}

void PeerLoadExchange::requestBeacon()
{
    const Instant now = m_time.now();
    m_unsentStartAt = m_unsentStartAt.value_or(now);
    sendIfDue(now);
    if (m_unsentStartAt && m_nextTickAt > now + startRetryInterval) {
        armTimer(now);
    }
}

void PeerLoadExchange::setPlaces(const PlacesProgress &places)
{
    m_places = places;
}

bool PeerLoadExchange::isLeader() const
{
    const Instant now = m_time.now();
    const auto own = std::make_pair(m_places.upTo == 0, m_ownAddress);
    for (const auto &[address, peer] : m_peers) {
        const bool isHeard = peer.number > 0 && now < peer.heardAt + peerTimeout();
        if (isHeard && std::make_pair(peer.places.upTo == 0, address) < own) {
            return false;
        }
    }
    return true;
}

// Origins of streams

void PeerLoadExchange::onDatagram(const std::string &bytes, const asio::ip::udp::endpoint &sender)
{
    if (!isRouter(sender)) {
        return;
    }
    if (const auto message = decodeOriginMessage(bytes)) {
        onOriginMessage(sender.address().to_v4().to_uint(), *message);
    }
}

void PeerLoadExchange::sendOrigins(std::uint32_t to, const OriginMessage &message)
{
    const std::string payload = encodeOriginMessage(message);
    m_originBytes += datagramBytes(payload);
    m_socket.send(payload, asio::ip::address_v4(to).to_string(), m_port);
}

bool PeerLoadExchange::lend(Instant now, int bytes)
{
    return m_lentBytes.take(now, bytes) && m_beaconBudget.takeMessageLeavingOne(now, bytes);
}

/// While the fleet forms, those count too that lists have told of: most have not been heard yet.
std::vector<std::uint32_t> PeerLoadExchange::heardPeers() const
{
    std::vector<std::uint32_t> heard;
    const Instant now = m_time.now();
    for (const auto &[address, peer] : m_peers) {
        if (isToBeTold(now, peer) && now < peer.heardAt + peerTimeout()) {
            heard.push_back(address);
        }
    }
    return heard;
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

Duration PeerLoadExchange::accountWorkInterval() const
{
    return std::max<Duration>(minAccountWorkInterval, m_beaconBudget.interval(broadcastBytes()) * accountWorkBeacons);
}

void PeerLoadExchange::sendIfDue(Instant now)
{
    const bool maySendEnds =
        now >= m_lastSentAt + endReportInterval && m_beaconBudget.hasReserveAfter(now, broadcastBytes());
    const bool hasNews = m_loadBalancer.hasUrgentNews(now) || m_queryOfDeath.hasUnsentNews()
        || m_loadBalancer.rateLimits().hasUnsentNews();
    const bool isDue =
        m_unsentStartAt || hasNews || maySendEnds || m_tellsOfList || now >= m_lastSentAt + heartbeatInterval;
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
    const bool isSent = hasNews || m_tellsOfList ? m_beaconBudget.take(now, broadcastBytes(), true)
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
    beacon.places = m_places;
    if (now < m_startIdToldUntil) {
        beacon.site = m_settings.site;
    }
    if (beacon.isStarting && m_hasList) {
        beacon.peers = {m_ownAddress};
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
    if (now >= m_nextAccountWorkAt) {
        beacon.accountWork = accountWork(now);
        m_nextAccountWorkAt = now + (beacon.accountWork.empty() ? Duration{} : accountWorkInterval());
    }
    const std::string payload = encodeBeacon(beacon);
    m_beaconBytes += beaconSizeWeight * (datagramBytes(payload) - m_beaconBytes);
    m_lastSentAt = now;
    m_tellsOfList = false;
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

/// While the fleet forms, a router passes on what it was told: most that it knows it has not heard yet. Later it tells
/// only of those that it has heard, so that nobody hears for ever of a router that has gone.
bool PeerLoadExchange::isToBeTold(Instant now, const Peer &peer) const
{
    return peer.number > 0 || now < m_fleetFormsUntil;
}

/// @return the routers that the receiver will most likely follow, of those that were heard lately
std::vector<std::uint32_t> PeerLoadExchange::likelySourcesOf(Instant now, const Peer &receiver) const
{
    std::vector<DataCentreRouter> routers;
    if (m_settings.site.dataCentre == receiver.site.dataCentre) {
        routers.push_back({m_ownAddress, m_settings.site.linkClass});
    }
    for (const auto &[address, peer] : m_peers) {
        const bool isNear = &peer != &receiver && peer.site.dataCentre == receiver.site.dataCentre;
        if (isNear && isToBeTold(now, peer) && now < peer.heardAt + peerTimeout()) {
            routers.push_back({address, peer.site.linkClass});
        }
    }
    return receiver.site.dataCentre == 0 ? std::vector<std::uint32_t>() : likelySources(routers);
}

/// @return addresses of peers: those that the receiver will follow, then a random choice if there are
/// more than a list holds, half of them in the receiver's data centre
std::vector<std::uint32_t> PeerLoadExchange::samplePeers(Instant now, const Peer &receiver, std::size_t most)
{
    const std::vector<std::uint32_t> first = likelySourcesOf(now, receiver);
    std::vector<std::uint32_t> near;
    std::vector<std::uint32_t> others;
    for (const auto &[address, peer] : m_peers) {
        if (isToBeTold(now, peer)) {
            (peer.site.dataCentre == receiver.site.dataCentre ? near : others).push_back(address);
        }
    }
    std::shuffle(near.begin(), near.end(), m_random);
    std::shuffle(others.begin(), others.end(), m_random);
    const auto isFirst = [&first](std::uint32_t address) {
        return std::find(first.begin(), first.end(), address) != first.end();
    };
    std::stable_partition(near.begin(), near.end(), isFirst);
    near.resize(std::min(near.size(), most - std::min(others.size(), most / 2)));
    others.resize(std::min(others.size(), most - near.size()));
    near.insert(near.end(), others.begin(), others.end());
    return near;
}

/// @return the peer that gets the next list: a newcomer, those with wide links first, or now and then the peer whose
/// turn it is. Of many routers that start at once, the first ones are sent their lists when those that start a moment
/// later have been heard as well.
std::optional<std::uint32_t> PeerLoadExchange::nextListReceiver(Instant now)
{
    std::vector<std::uint32_t> candidates;
    int highestRank = now < m_nextPeerListAt ? 1 : 0;
    std::size_t newcomers = 0;
    for (const auto &[address, peer] : m_peers) {
        const int rank = peer.isNewcomer ? 1 + peer.site.linkClass : 0;
        newcomers += peer.isNewcomer ? 1 : 0;
        if (rank > highestRank) {
            highestRank = rank;
            candidates.clear();
        }
        if (rank == highestRank) {
            candidates.push_back(address);
        }
    }
    m_hasManyNewcomers = newcomers >= manyNewcomers;
    if (candidates.empty() || (m_hasManyNewcomers && now < m_listsFrom)) {
        return std::nullopt;
    }
    return highestRank == 0 ? m_listTurns.next(candidates, m_ownAddress) : candidates[m_random() % candidates.size()];
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
    beacon.peers = samplePeers(now, m_peers[receiver], m_hasManyNewcomers ? shortListPeers : maxListedPeers);
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
    const int bytes = datagramBytes(payload);
    const bool isAllowed =
        m_beaconBudget.takeMessage(now, bytes) || (m_hasManyNewcomers && m_newcomerBudget.takeMessage(now, bytes));
    if (!isAllowed) {
        return false;
    }
    m_nextPeerListAt = now + (now < m_fleetFormsUntil ? firstListInterval : peerListInterval);
    m_peers[receiver].isNewcomer = false;
    m_peers[receiver].listSentAt = now;
    m_socket.send(payload, asio::ip::address_v4(receiver).to_string(), m_port);
    return true;
}

} // namespace galenafold
