// Exchange of load between routers: each broadcasts its calls in progress to all peers in small datagrams (beacons),
// within a byte budget.
//
// Load pattern: fifteen routers each see a small part of the requests to a dozen engines, and must keep every engine
// within a multiple of a mean load that changes within seconds. A router sends its counts at the start of each call
// while the budget allows. All peers then know of a start within the latency of one datagram, and no capacity of the
// engine that has a prompt cached is reserved for starts not yet known. Ends are sent with the next start, or shortly
// after. If the fleet is too large for the budget, starts wait for it, and the board is told the delay. If no peers are
// heard in time, the engines' own load reports are used instead.
//
// Peers are discovered through a few seed addresses and the peer lists in beacons. Nothing else depends on these.
#pragma once

#include "control/gossip.h"
#include "filters/loadbalancer.h"
#include "net/beacons.h"
#include "net/timer.h"

namespace galenafold
{

/// Settings of the exchange.
struct PeerSettings {
    std::string address;            // IP:PORT for beacons of this router; empty: disabled
    std::vector<std::string> seeds; // IP:PORT of some routers, possibly including this one
    int bytesPerSecond = 7000;      // budget for sending, bytes/s
};

/// Sends and receives load beacons, and updates the board. Used on one event loop; not thread-safe.
class PeerLoadExchange
{
public:
    PeerLoadExchange(asio::io_context &io, const PeerSettings &settings, LoadBalancer &board);

    bool start();         ///< @return false if the address is invalid or in use
    void requestBeacon(); ///< Sends a beacon as soon as the budget allows: a call started, or an engine is silent.
    int maxPeersHeard() const { return m_maxPeersHeard; } ///< @return highest number of peers heard at the same time

    /// Sets how far this router has read the engines' places (rendezvous-hash slots) in the store, for the next beacon.
    /// @param upTo log offset plus 1; 0 while the store is unreachable
    void setPlaces(std::uint32_t upTo);

    /// @return true if this router decides on places: routers that reach the store come first, then the lowest address
    bool isLeader() const;

    std::function<void()> onNewerPlaces; // a peer has read or written newer places

    std::int64_t bytesSent() const { return m_socket.bytesSent(); }

private:
    struct Peer {
        Instant heardAt{};            // last beacon; for a peer not heard yet, when it became known
        std::uint32_t number = 0;     // of the last beacon; 0: not heard yet
        std::uint32_t placesUpTo = 0; // as in its last list
    };

    void onBeacon(const LoadBeacon &beacon, const asio::ip::udp::endpoint &sender);
    void tick();
    void sendIfDue(Instant now);
    void armTimer(Instant now);
    void send(Instant now);
    int broadcastBytes() const;

    PeerSettings m_settings;
    LoadBalancer &m_board;
    BeaconSocket m_socket;
    BeaconPacer m_pacer;
    DeadlineTimer m_timer;
    std::map<std::uint32_t, Peer> m_peers;  // by IPv4 address; includes seeds and listed peers not heard yet
    std::uint32_t m_ownAddress = 0;         // IPv4 address of this router
    std::uint32_t m_sequence = 0;           // of the last beacon sent
    std::vector<PeerLoad> m_lastSent;       // loads in the last beacon
    Instant m_nextListAt{};                 // when a beacon carries the peer list again
    Instant m_lastSentAt{};                 // time of the last beacon
    std::optional<Instant> m_unsentStartAt; // oldest start not yet sent to peers
    double m_startDelaySeconds = 0;         // smoothed delay from a start to its beacon
    std::uint32_t m_placesUpTo = 0;         // log offset plus 1; 0: store unreachable
    int m_port = 0;                         // UDP port, the same on all routers
    double m_beaconBytes = 100;             // smoothed size of one datagram
    int m_maxPeersHeard = 0;
};

} // namespace galenafold
