// Gossip messages and load beacons between routers, the byte budgets that pace them, and the merged view of peers.
//
// Sections of this file: Message, Beacon, Budget, Peers.
//
// Gossip is an optimisation and correctness never depends on it: contracts advance by log offset only, and leaving
// marks are merged by OR, whatever a message says.
#pragma once

#include "control/accountuse.h"
#include "control/limitshares.h"
#include "control/loadview.h"
#include "control/membership.h"
#include "control/queryofdeath.h"
#include "control/ratelimits.h"
#include "control/topicsources.h"

#include <boost/random/mersenne_twister.hpp>
#include <optional>

namespace galenafold
{

// Message

/// Condensed form of a load report that the sender received from an endpoint.
struct ReportDigest {
    std::uint32_t endpointHash = 0;
    std::uint16_t ageMillis = 0;    // age of the measurement when the message is sent
    std::uint16_t slots = 0;        // calls that the endpoint can run concurrently
    std::uint16_t inFlight = 0;     // running and waiting there
    std::uint16_t longInFlight = 0; // of these, in the long lane
};

/// Factor on the expected service time that gives the duration announced for a call. It covers time that the call
/// spends in the endpoint's queue.
constexpr double startNoticeMargin = 1.3;

/// How slow an endpoint is, as observed by the sender.
struct SlowFinding {
    std::uint32_t endpointHash = 0;
    float ratio = 1; // its times to first byte relative to the expected ones
};

struct GossipMessage {
    VmId from;
    LogOffset contractsUpTo = 0; // the sender has applied all contract records below it
    std::vector<ReportDigest> reports;
    std::vector<LeavingMark> leaving;
    std::vector<CustomerDemand> demand;
    std::vector<SlowFinding> slow;
};

/// @return the low 32 bits of hashName; identifies an endpoint or a router in gossip and beacons
std::uint32_t vmHash(const VmId &vm);

// Beacon

/// Calls that the sender has in progress at one endpoint.
struct PeerLoad {
    std::uint32_t endpointHash = 0;
    std::uint16_t total = 0;
    std::uint16_t longLane = 0;
    double slowdown = 0; // service time relative to normal, from a report not sent to peers before; 0: none
};

/// Calls of all routers in progress at one endpoint, as it has just reported to the sender.
struct ReportedLoad {
    std::uint32_t endpointHash = 0;
    std::uint16_t inProgress = 0;
};

constexpr std::uint16_t briefCallMillis = 300; // shorter calls are announced by a start notice only

/// One call that has just started. Peers count it until its expected end, so that its end needs no message.
struct StartNotice {
    std::uint32_t endpointHash = 0;
    std::uint16_t expectedMillis = 0; // expected duration; 0: a call announced earlier has ended ahead of time
    bool isLong = false;
};

/// Up to where a router has read the topic of places.
struct PlacesProgress {
    std::uint32_t upTo = 0; // end of the topic, plus 1; 0: store unreachable
    std::uint8_t era = 0;   // of the store, its lowest eight bits: few restores lie between two routers
};

/// @return true if a router that has read up to `other` knows something that one which has read up to `own` does not
bool isFurther(const PlacesProgress &other, const PlacesProgress &own);

/// A router's own calls in progress, sent to all peers as often as the byte budget allows. Delivery is lossy; only the
/// newest beacon counts. In a small fleet beacons make every router's view nearly exact. In a large fleet the budget
/// suppresses them, and routers rely on the endpoints' load reports.
struct LoadBeacon {
    std::uint32_t from = 0;     // hash of the sender's VM name
    std::uint32_t number = 0;   // sequence number; older beacons are ignored
    bool isStartNotice = false; // true: this is a start notice and only `start` is set
    StartNotice start;
    std::vector<std::uint32_t> peers;  // IPv4 addresses, as numbers, of routers that the sender receives beacons from
    std::vector<RouterSite> peerSites; // of the peers, in the same order; empty: not told
    RouterSite site;                   // of the sender; no data centre: as told before
    std::optional<PlacesProgress> places;  // as the sender has read them
    std::vector<PeerLoad> loads;           // endpoints with longer calls of the sender; brief calls go as start notices
    std::vector<ReportedLoad> reported;    // endpoints that are fuller than the counts of all routers tell
    CrashNews news;                        // of requests that crash replicas
    LimitReport limits;                    // of replicas that name a limit
    std::vector<AccountWork> accountWork;  // of client accounts, while requests wait; empty: as told before
    bool isStarting = false;               // the sender has just started and does not know of blocked prompts
    DesiredStateVersion stateVersion = -1; // in force at the sender; -1: not told
};

/// @return the sequence number of a router's first beacon, derived from the wall clock so that a restarted router
/// continues above the numbers that it used before
std::uint32_t firstBeaconNumber(std::chrono::system_clock::time_point now);

/// Compares sequence numbers, which may wrap. @return true if `number` is newer than `than`
bool isNewerBeacon(std::uint32_t number, std::uint32_t than);

/// Token bucket, in bytes, that paces beacons and start notices. It holds two seconds of the rate, and always enough
/// for two beacons, so that a beacon to many peers is sent less often but never suppressed.
class BeaconBudget
{
public:
    explicit BeaconBudget(const GossipSettings &settings);

    /// Decides whether a beacon is sent now: on a change or as a heartbeat, if the budget covers it.
    /// @param bytes size of the beacon times the number of peers
    /// @param hasChanged whether the load differs from that in the last beacon
    /// @return true if it is to be sent; its bytes are then deducted
    bool take(Instant now, int bytes, bool hasChanged);

    /// The same, but leaves enough in the budget for another beacon, with news that cannot wait.
    bool takeLeavingOne(Instant now, int bytes, bool hasChanged);

    /// @param bytes size of a beacon times the number of peers
    /// @return true if at least half of the bucket is left after it, as a reserve for many calls that start at once
    bool hasReserveAfter(Instant now, int bytes);

    /// @param bytes size of the beacon times the number of peers
    /// @return time between two such beacons at the rate of the budget
    Duration interval(int bytes) const;

    /// @param bytes size of a start notice times the number of peers
    /// @return true if it is to be sent now; its bytes are then deducted
    bool takeStartNotice(Instant now, int bytes);

    /// The same for a message, leaving enough for another beacon.
    bool takeMessageLeavingOne(Instant now, int bytes);

    /// @param bytes size of another message
    /// @return true if the budget covers it; its bytes are then deducted
    bool takeMessage(Instant now, int bytes);

private:
    double rate() const;
    double capacity() const;
    void refill(Instant now);

    GossipSettings m_settings;
    double m_bytes = 0;
    Instant m_refilledAt{};
    Instant m_nextHeartbeat{};
    int m_beaconBytes = 0; // `bytes` of the last call of take(): what a beacon to all peers costs
};

// Budget

/// Token bucket, in bytes, that limits the gossip messages of a round.
class GossipBudget
{
public:
    explicit GossipBudget(const GossipSettings &settings);

    /// @param bytes size of one message with all protocol overheads
    /// @param peers number of live peers
    /// @return messages that may be sent now, at most the fan-out; their bytes are then deducted
    int take(Instant now, int bytes, int peers);

private:
    GossipSettings m_settings;
    double m_bytes = 0;
    Instant m_refilledAt{};
    bool m_isFirstTake = true;
};

/// Selects gossip targets in random order; every peer is selected once before any is selected again.
class PeerPicker
{
public:
    explicit PeerPicker(std::uint64_t seed);

    /// @return `count` different peers, or all when there are fewer
    std::vector<VmId> pick(const std::vector<VmId> &peers, int count);

private:
    boost::random::mt19937_64 m_random;
    std::vector<VmId> m_remaining; // not yet selected in this cycle
};

// Peers

/// Load that each peer announced in its latest beacon and start notices.
class PeerLoadTable
{
public:
    /// @param peerTimeout a peer not heard from for this long counts as silent
    explicit PeerLoadTable(Duration peerTimeout);

    void onBeacon(Instant now, const LoadBeacon &beacon);

    /// Writes the sums of all peers' calls into the view. If a live peer is silent, marks the view as incomplete
    /// instead.
    void apply(Instant now, const std::vector<VmId> &peers, LoadView &view);

    /// Removes all peers but these.
    void keepOnly(const std::vector<VmId> &peers);

private:
    struct ActiveStart {
        StartNotice notice;
        Instant expectedEnd{};
    };
    struct Peer {
        Instant lastHeard{};
        std::uint32_t number = 0;
        std::vector<PeerLoad> loads;
        std::vector<ActiveStart> starts;
    };

    static void cancelStart(std::vector<ActiveStart> &starts, std::uint32_t endpointHash);

    Duration m_peerTimeout;
    std::unordered_map<std::uint32_t, Peer> m_peers; // keyed by the hash of the VM name
};

} // namespace galenafold
