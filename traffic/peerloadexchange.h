// Exchange of load between routers: each broadcasts its requests in progress to all peers in small datagrams (beacons),
// within a byte budget.
//
// Load pattern: fifteen routers each see a small part of the requests to a dozen engines, and must keep every engine
// within a multiple of a mean load that changes within seconds. A router sends its counts at the start of each request
// while the budget allows. All peers then know of the start within the latency of one datagram, so hardly any capacity
// of an engine must be kept free for starts that are not known yet. Ends are sent with the next start, or shortly
// after. In a fleet of a hundred, a broadcast takes more than a second of the budget: starts wait for it, the load
// balancer is told of the delay, and the time after which a peer counts as silent grows with it. While no peers are
// heard, the engines' own load reports are used instead.
//
// Peers are discovered through a few seed addresses and peer lists. A list goes to one peer at a time, newcomers first:
// lists to all would cost more than the loads. A newcomer's list is short, and begins with the routers that it will
// most likely follow, so that hundreds that start at once know those within a second. With the list goes what a router
// that has started must know: the prompts that are blocked because they crash replicas, and the limits that replicas
// name. News of both go with the loads.
#pragma once

#include "control/fleetsize.h"
#include "control/gossip.h"
#include "control/peerlistturns.h"
#include "filters/loadbalancer.h"
#include "net/beacons.h"
#include "net/originmessages.h"
#include "net/timer.h"

namespace galenafold
{

/// Settings of the exchange.
struct PeerSettings {
    std::string address;            // IP:PORT for load beacons between routers; "": none
    std::vector<std::string> seeds; // IP:PORT of the routers that get the first beacons; may include this one
    int bytesPerSecond = 7000;      // limit on sent bytes per second, of which beacons use a part
    RouterSite site = {};           // of this router; no data centre: peers are not told
};

/// Where the exchange takes its time from. Tests bring a time of their own, which does not depend on the machine.
struct PeerExchangeTime {
    std::function<Instant()> now = clockNow;

    /// Calls a function at a time, in place of the call that was set before. Empty: by a timer on the event loop.
    std::function<void(Instant, std::function<void()>)> wakeAt;
};

/// State of the exchange, for logs and metrics.
struct PeerExchangeStats {
    int known = 0;                    // peers that beacons are sent to
    int heard = 0;                    // of these, peers from which a beacon was received recently
    std::int64_t beaconsSent = 0;     // broadcasts since the start, each one datagram per known peer
    std::int64_t beaconsReceived = 0; // since the start
    std::int64_t bytesSent = 0;       // since the start
    int broadcastBytes = 0;           // expected size of the next broadcast
    Duration startDelay{};            // smoothed delay from the start of a request to its broadcast
};

/// Sends and receives load beacons, and updates the load balancer and the detector of queries of death. Not
/// thread-safe: used on one event loop.
class PeerLoadExchange
{
public:
    PeerLoadExchange(asio::io_context &io, const PeerSettings &settings, LoadBalancer &loadBalancer,
                     QueryOfDeathDetector &queryOfDeath, const PeerExchangeTime &time = PeerExchangeTime());

    bool start();         ///< @return false if the address is invalid or in use
    void requestBeacon(); ///< Sends a beacon as soon as the budget allows: a request was sent, or an engine is stalled.
    int fleetSize() const { return m_fleetSize.routers(); } ///< @return routers of the fleet; 0: not known yet
    int maxPeersHeard() const { return m_maxPeersHeard; }   ///< @return highest number of peers heard at the same time

    /// Sets how far this router has read the places topic (the engines' positions for rendezvous hashing) in the store,
    /// for the next beacon. @param upTo end of the topic as read, plus 1; 0 while the store is unreachable
    void setPlaces(const PlacesProgress &places);

    /// @return true if this router assigns places: it has the lowest address among the routers heard that reach the
    /// store, or among all routers heard if none does
    bool isLeader() const;

    bool hasPeers() const { return !m_peers.empty(); } ///< @return true if another router is known, heard or not

    std::function<void()> onNewerPlaces;          // a peer has read or written newer places
    std::function<void()> onListReceived = [] {}; // a peer has told which peers and blocked prompts it knows

    /// @return what client accounts use at this router, to be told now; empty: nothing
    std::function<std::vector<AccountWork>(Instant)> accountWork = [](Instant) { return std::vector<AccountWork>(); };

    /// A peer has told what client accounts use there. @param lifetime time after which it no longer counts
    std::function<void(Instant, std::uint32_t peer, const std::vector<AccountWork> &, Duration lifetime)>
        onAccountWork = [](Instant, std::uint32_t, const std::vector<AccountWork> &, Duration) {};

    /// Sets the version of the desired state in force at this router, for the next peer list. @param version -1: none
    void setStateVersion(DesiredStateVersion version) { m_stateVersion = version; }

    /// Shortly after the start of this router: a peer has this version of the desired state in force.
    std::function<void(DesiredStateVersion)> onStateVersionTold = [](DesiredStateVersion) {};

    /// A message on the origins of streams has come from a router.
    std::function<void(std::uint32_t from, const OriginMessage &)> onOriginMessage = [](std::uint32_t,
                                                                                        const OriginMessage &) {};

    /// A router is heard that has started lately.
    std::function<void(std::uint32_t router)> onPeerStarted = [](std::uint32_t) {};

    void sendOrigins(std::uint32_t to, const OriginMessage &message); ///< Its bytes are not taken from the budget.

    /// Takes bytes from the beacons' budget, as long as a beacon can still be sent. @return true if they may be sent
    bool lend(Instant now, int bytes);

    std::vector<std::uint32_t> heardPeers() const; ///< @return IPv4 addresses of the peers that are there
    std::uint32_t ownAddress() const { return m_ownAddress; }
    std::int64_t originBytes() const { return m_originBytes; } ///< @return sent in messages on origins since the start

    /// The routers of this router's data centre that are heard have changed.
    std::function<void(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others)> onDataCentreChanged;

    PeerExchangeStats stats() const;

private:
    struct Peer {
        Instant heardAt{};         // last beacon; when the peer became known, if none was received
        std::uint32_t number = 0;  // of the last beacon; 0: none was received
        PlacesProgress places;     // from its last beacon
        bool isNewcomer = false;   // has started and was sent no peer list yet
        Instant newcomerUntil{};   // until then it asks for a list unless another peer has sent it one
        Instant listSentAt{};      // last peer list
        std::uint32_t startId = 0; // differs after each of its starts; 0: not told
        RouterSite site;           // no data centre: not known yet
    };

    bool isRouter(const asio::ip::udp::endpoint &sender) const;
    void onBeacon(const LoadBeacon &beacon, const asio::ip::udp::endpoint &sender);
    void onDatagram(const std::string &bytes, const asio::ip::udp::endpoint &sender);
    void noteStart(std::uint32_t from, Peer &peer, std::uint32_t startId) const;
    void tick();
    void sendIfDue(Instant now);
    void sendPeerLists(Instant now);
    bool sendPeerListTo(Instant now, std::uint32_t receiver);
    std::optional<std::uint32_t> nextListReceiver(Instant now);
    void armTimer(Instant now);
    LoadBeacon nextBeacon(Instant now);
    void send(Instant now);
    std::vector<std::uint32_t> samplePeers(Instant now, const Peer &receiver, std::size_t most);
    bool isToBeTold(Instant now, const Peer &peer) const;
    std::vector<std::uint32_t> likelySourcesOf(Instant now, const Peer &receiver) const;
    void noteListWanted(Instant now, Peer &peer, const LoadBeacon &beacon, bool isNew);
    void onPeerList(Instant now, bool isSenderStarting);
    void reportDataCentre(Instant now);
    int broadcastBytes() const;
    Duration peerTimeout() const;
    Duration accountWorkInterval() const;

    PeerSettings m_settings;
    LoadBalancer &m_loadBalancer;
    QueryOfDeathDetector &m_queryOfDeath;
    BeaconSocket m_socket;
    BeaconBudget m_beaconBudget;
    BeaconBudget m_newcomerBudget; // besides, for the lists to many that start at once
    ByteBucket m_lentBytes;        // of the beacons' budget, for origins of streams
    DeadlineTimer m_timer;
    PeerExchangeTime m_time;
    Instant m_nextTickAt{};
    std::map<std::uint32_t, Peer> m_peers;   // by IPv4 address; includes known peers not heard yet
    std::uint32_t m_ownAddress = 0;          // IPv4 address of this router
    std::uint32_t m_beaconNumber = 0;        // number of the last beacon sent
    std::vector<PeerLoad> m_lastSentLoads;   // loads in the last beacon
    std::uint32_t m_startId = 0;             // differs after each start of this router
    Instant m_discoversUntil{};              // peers heard until then are not all, unless a list has come
    PeerListTurns m_listTurns;               // of peers that are no newcomers
    bool m_hasManyNewcomers = false;         // so many that their lists must be short
    Instant m_listsFrom{};                   // earliest time of peer lists to many newcomers
    Instant m_fleetFormsUntil{};             // peer lists are sent more often until then
    Instant m_startIdToldUntil{};            // peers are told of the start until then
    Instant m_startingUntil{};               // peers are asked for their lists until then, or until one arrives
    Instant m_nextPeerListAt{};              // when the next peer list is due if there is no newcomer
    Instant m_nextPlacesNoticeAt{};          // earliest time of the next `onNewerPlaces`
    boost::random::mt19937_64 m_random;      // chooses the receivers and the contents of peer lists
    Instant m_lastSentAt{};                  // time of the last beacon
    Instant m_nextAccountWorkAt{};           // when client accounts' use may be told again
    std::optional<Instant> m_unsentStartAt;  // time of the oldest start not yet sent to peers
    double m_startDelaySeconds = 0;          // smoothed delay from a start to its beacon
    PlacesProgress m_places;                 // as read by this router
    DesiredStateVersion m_stateVersion = -1; // in force at this router; -1: none
    int m_port = 0;                          // UDP port, the same on all routers
    double m_beaconBytes = 100;              // smoothed size of one datagram
    FleetSizeEstimate m_fleetSize;
    std::optional<std::vector<DataCentreRouter>> m_dataCentre; // known routers of this data centre, as last reported
    bool m_hasList = false;                                    // a peer has sent its list
    bool m_tellsOfList = false;                                // peers are to hear at once that this router has a list
    int m_peersHeard = 0;
    int m_maxPeersHeard = 0;
    std::int64_t m_beaconsSent = 0;
    std::int64_t m_beaconsReceived = 0;
    std::int64_t m_originBytes = 0; // sent
};

} // namespace galenafold
