// What routers tell each other of their calls in progress: small datagrams to all peers, under a byte budget.
//
// Load pattern: fifteen routers each see a sliver of the requests to a dozen engines, and must keep every engine within
// a multiple of a mean that swings within seconds. A router tells its counts at each start, while bytes allow: then all
// know of a start within the time of one datagram, and no room at a prompt's home is left unused for fear of starts
// that nobody has heard of. Ends are told with the next start, or a little later. In a fleet too large for the budget
// starts wait for bytes, and the board is told how long; where peers are not heard in time, the engines' own reports
// serve.
//
// Peers are found by a few seed addresses and by the lists that beacons carry; nothing else rests on them.
#pragma once

#include "control/gossip.h"
#include "filters/loadbalancer.h"
#include "net/beacons.h"
#include "net/timer.h"

namespace galenafold
{

struct PeerSettings {
    std::string address;            // IP:PORT of this router's beacons; empty: tells and hears nothing
    std::vector<std::string> seeds; // IP:PORT of a few routers, this one maybe among them
    int bytesPerSecond = 7000;      // that this router may send
};

class PeerLoadExchange
{
public:
    PeerLoadExchange(asio::io_context &io, const PeerSettings &settings, LoadBalancer &board);

    bool start();                                         ///< @return false: the address is taken
    void requestBeacon();                                 ///< A call has started, or an engine is silent: told at once.
    int maxPeersHeard() const { return m_maxPeersHeard; } ///< @return most peers that were heard at one time
    /// Tells how far this router has read the places in the store. @param upTo 0: it does not reach the store now
    void setPlaces(std::uint32_t upTo);

    /// @return true if this router decides on places: those that reach the store go first, then the lowest address
    bool isFirst() const;

    std::function<void()> onNewerPlaces; // a peer has read on, or has written
    std::int64_t bytesSent() const { return m_socket.bytesSent(); }

private:
    struct Peer {
        Instant heardAt{};
        std::uint32_t number = 0;     // of the last beacon
        std::uint32_t placesUpTo = 0; // as it told last
    };

    void onBeacon(const LoadBeacon &beacon, const asio::ip::udp::endpoint &sender);
    void tick();
    void sendIfDue(Instant now);
    void armTimer(Instant now);
    void send(Instant now);
    int bytesToAll() const;

    PeerSettings m_settings;
    LoadBalancer &m_board;
    BeaconSocket m_socket;
    BeaconPacer m_pacer;
    DeadlineTimer m_timer;
    std::map<std::uint32_t, Peer> m_peers; // by IPv4 number; seeds and named ones not heard yet included
    std::uint32_t m_own = 0;               // IPv4 number of this router
    std::uint32_t m_number = 0;
    std::vector<PeerLoad> m_lastSent;
    Instant m_listAt{};             // when the list of peers goes with a beacon again
    Instant m_sentAt{};             // the last beacon
    std::optional<Instant> m_since; // the oldest start that peers were not told of
    double m_untoldSeconds = 0;     // smoothed: how long a start is not told
    std::uint32_t m_placesUpTo = 0;
    int m_port = 0;
    double m_beaconBytes = 100; // smoothed size of one
    int m_maxPeersHeard = 0;
};

} // namespace galenafold
