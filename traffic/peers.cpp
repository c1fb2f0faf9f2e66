// What routers tell each other of their calls in progress.
#include "traffic/peers.h"

#include "control/loadview.h"
#include "net/stream.h"

namespace galenafold
{

constexpr auto endsEvery = std::chrono::milliseconds(150);  // ends make room that can wait a little
constexpr auto startsEvery = std::chrono::milliseconds(50); // starts that had to wait for bytes are tried again
constexpr double untoldWeight = 0.2;                        // of the newest start in the smoothed time
constexpr auto listEvery = std::chrono::seconds(3);         // seeds and restarted routers learn of all others from it
constexpr auto heartbeatEvery = std::chrono::milliseconds(700);
constexpr auto forgetAfter = std::chrono::seconds(10); // a peer not heard; it may be cut off for that long
constexpr double sizeWeight = 0.2; // of the newest beacon in the smoothed size; each seventh carries the list
constexpr auto heardWithin = std::chrono::seconds(2);

PeerLoadExchange::PeerLoadExchange(asio::io_context &io, const PeerSettings &settings, LoadBalancer &board)
    : m_settings(settings)
    , m_board(board)
    , m_socket(io, [this](const LoadBeacon &beacon, const auto &sender) { onBeacon(beacon, sender); })
    , m_pacer(GossipSettings{settings.bytesPerSecond})
    , m_timer(io)
{
}

bool PeerLoadExchange::start()
{
    if (m_settings.address.empty()) {
        return true;
    }
    const auto own = parseAddress(m_settings.address);
    if (!own || !own->address().is_v4() || !m_socket.open(own->address().to_string(), own->port())) {
        return false;
    }
    m_own = own->address().to_v4().to_uint();
    m_port = own->port();
    m_number = firstBeaconNumber(std::chrono::system_clock::now());
    for (const std::string &seed : m_settings.seeds) {
        const auto address = parseAddress(seed);
        const bool isOther = address && address->address().is_v4() && address->address().to_v4().to_uint() != m_own;
        if (isOther) {
            m_peers[address->address().to_v4().to_uint()].heardAt = clockNow(); // forgotten if it stays silent
        }
    }
    tick();
    return true;
}

/// Datagrams can be late, doubled or forged; only the newest of a known port counts, and only for placement.
void PeerLoadExchange::onBeacon(const LoadBeacon &beacon, const asio::ip::udp::endpoint &sender)
{
    if (!sender.address().is_v4() || sender.port() != m_port) {
        return;
    }
    const std::uint32_t from = sender.address().to_v4().to_uint();
    if (from == m_own) {
        return;
    }
    const Instant now = clockNow();
    Peer &peer = m_peers[from];
    const bool isRestarted = now >= peer.heardAt + heardWithin;
    if (peer.number > 0 && !isNewerBeacon(beacon.number, peer.number) && !isRestarted) {
        return;
    }
    peer.number = beacon.number;
    peer.heardAt = now;
    for (const std::uint32_t other : beacon.peers) {
        if (other != m_own) {
            m_peers.try_emplace(other, Peer{now, 0, 0}); // told from now on; forgotten if it stays silent
        }
    }
    if (beacon.hasPeerList) {
        peer.placesUpTo = beacon.placesUpTo;
        if (beacon.placesUpTo > m_placesUpTo && m_placesUpTo > 0 && onNewerPlaces) {
            onNewerPlaces();
        }
    }
    m_board.onPeerLoads(now, from, beacon.loads);
}

void PeerLoadExchange::tick()
{
    const Instant now = clockNow();
    int heard = 0;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        heard += peer->second.number > 0 && now < peer->second.heardAt + heardWithin ? 1 : 0;
        peer = now >= peer->second.heardAt + forgetAfter ? m_peers.erase(peer) : std::next(peer);
    }
    m_maxPeersHeard = std::max(m_maxPeersHeard, heard);
    const double waiting = m_since ? std::chrono::duration<double>(now - *m_since).count() : 0;
    m_board.setActivePeers(
        heard, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(m_untoldSeconds, waiting))));
    sendIfDue(now);
    armTimer(now);
}

void PeerLoadExchange::armTimer(Instant now)
{
    m_timer.expires_at(now + (m_since ? startsEvery : endsEvery));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PeerLoadExchange::requestBeacon()
{
    const Instant now = clockNow();
    m_since = m_since.value_or(now);
    sendIfDue(now);
    if (m_since && m_timer.expiry() > now + startsEvery) {
        armTimer(now);
    }
}

void PeerLoadExchange::setPlaces(std::uint32_t upTo)
{
    if (upTo != m_placesUpTo) {
        m_placesUpTo = upTo;
        m_listAt = Instant{}; // goes with the next beacon
    }
}

bool PeerLoadExchange::isFirst() const
{
    const Instant now = clockNow();
    const auto own = std::make_pair(m_placesUpTo == 0, m_own);
    for (const auto &[address, peer] : m_peers) {
        const bool isHeard = peer.number > 0 && now < peer.heardAt + heardWithin;
        if (isHeard && std::make_pair(peer.placesUpTo == 0, address) < own) {
            return false;
        }
    }
    return true;
}

int PeerLoadExchange::bytesToAll() const
{
    return static_cast<int>(m_beaconBytes * static_cast<double>(m_peers.size()));
}

void PeerLoadExchange::sendIfDue(Instant now)
{
    const bool mayTellEnds = now >= m_sentAt + endsEvery && m_pacer.hasReserveAfter(now, bytesToAll());
    if (m_peers.empty() || (!m_since && !mayTellEnds && now < m_sentAt + heartbeatEvery)) {
        return;
    }
    const auto isSame = [](const PeerLoad &a, const PeerLoad &b) {
        return a.endpointHash == b.endpointHash && a.total == b.total;
    };
    const std::vector<PeerLoad> loads = m_board.ownLoads();
    const bool hasChanged = m_board.hasUnsentStall()
        || !std::equal(loads.begin(), loads.end(), m_lastSent.begin(), m_lastSent.end(), isSame);
    if (!hasChanged) {
        m_since.reset(); // the call took the place of one that has just ended
    }
    if (m_pacer.take(now, bytesToAll(), hasChanged)) {
        m_lastSent = loads;
        send(now);
    }
}

void PeerLoadExchange::send(Instant now)
{
    LoadBeacon beacon;
    beacon.loads = m_board.consumeLoads();
    beacon.from = m_own;
    beacon.number = ++m_number;
    if (now >= m_listAt) {
        m_listAt = now + listEvery;
        beacon.hasPeerList = true;
        beacon.placesUpTo = m_placesUpTo;
        for (const auto &[address, peer] : m_peers) {
            if (peer.number > 0) {
                beacon.peers.push_back(address);
            }
        }
    }
    const std::string payload = encodeBeacon(beacon);
    m_beaconBytes += sizeWeight * (datagramBytes(payload) - m_beaconBytes);
    m_sentAt = now;
    if (m_since) {
        const double untold = std::chrono::duration<double>(now - *m_since).count();
        m_untoldSeconds += untoldWeight * (untold - m_untoldSeconds);
        m_since.reset();
    }
    for (const auto &[address, peer] : m_peers) {
        m_socket.send(payload, asio::ip::address_v4(address).to_string(), m_port);
    }
}

} // namespace galenafold
