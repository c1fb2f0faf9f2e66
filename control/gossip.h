// What daemons tell each other every round, under a byte budget, and what a daemon makes of it.
//
// Sections of this file: Message, Beacon, Budget, Peers.
//
// Gossip is only efficiency. Whatever it says, contracts advance by offset alone and leaving merges by OR.
#pragma once

#include "control/limitshares.h"
#include "control/loadview.h"
#include "control/membership.h"

#include <boost/random/mersenne_twister.hpp>

namespace galenafold
{

// Message

/// A report that the sender got from an endpoint.
struct ReportDigest {
    std::uint32_t endpointHash = 0;
    std::uint16_t ageMillis = 0; // when sent
    std::uint16_t slots = 0;
    std::uint16_t inFlight = 0;
    std::uint16_t longInFlight = 0;
};

/// A call is told as longer than expected by this factor; one that waits at its endpoint is there for longer.
constexpr double startNoticeMargin = 1.3;

/// How slow the sender found an endpoint.
struct SlowFinding {
    std::uint32_t endpointHash = 0;
    float ratio = 1; // of its times to its peers'
};

struct GossipMessage {
    VmId from;
    LogOffset contractsUpTo = 0;
    std::vector<ReportDigest> reports;
    std::vector<LeavingMark> leaving;
    std::vector<CustomerDemand> demand;
    std::vector<SlowFinding> slow;
};

std::uint32_t endpointHash(const VmId &endpoint);

// Beacon

/// Calls that the sender has in progress at one endpoint.
struct PeerLoad {
    std::uint32_t endpointHash = 0;
    std::uint16_t total = 0;
    std::uint16_t longLane = 0;
    double slowdown = 0; // how long work takes there against its usual time, by a report not told before; 0: none
};

constexpr std::uint16_t briefCallMillis = 300; // a call expected to end before is told as a start only

/// One call that has just started. It counts until it should have ended, so its end need not be told.
struct StartNotice {
    std::uint32_t endpointHash = 0;
    std::uint16_t expectedMillis = 0; // expected; 0: such a call has ended before its time
    bool isLong = false;
};

/// A router's own calls in progress, told to all peers as often as bytes allow. Lossy: the newest counts. In a small
/// fleet it makes every router's view nearly exact; in a large one the budget stops it, and reports serve.
struct LoadBeacon {
    std::uint32_t from = 0;     // hash of the VM's name
    std::uint32_t number = 0;   // rises; an older beacon is ignored
    bool isStartNotice = false; // only `start` is set
    StartNotice start;
    std::vector<std::uint32_t> peers; // IPv4 numbers of routers that the sender hears
    bool hasPeerList = false;         // `peers` and `placesUpTo` are told
    std::uint32_t placesUpTo = 0;     // how far the sender has read the places in the store; 0: it cannot now
    std::vector<PeerLoad> loads; // endpoints where the sender has calls that last; brief ones are told as starts only
};

/// @return the number of a router's first beacon; one that restarts goes on above the numbers of its earlier life
std::uint32_t firstBeaconNumber(std::chrono::system_clock::time_point now);

bool isNewerBeacon(std::uint32_t number, std::uint32_t than); ///< Numbers may wrap.

/// When to send beacons.
class BeaconPacer
{
public:
    explicit BeaconPacer(const GossipSettings &settings);

    /// @param bytes of a beacon to all peers. @param hasChanged since the last. @return true: send it now
    bool take(Instant now, int bytes, bool hasChanged);

    /// @param bytes of a beacon to all peers. @return true: half of the depth is left after it, for starts in a clump
    bool hasReserveAfter(Instant now, int bytes);

    /// @param bytes of a start notice to all peers. @return true: send it now
    bool takeStartNotice(Instant now, int bytes);

private:
    void fill(Instant now);

    GossipSettings m_settings;
    double m_bytes = 0;
    Instant m_filled{};
    Instant m_heartbeatAt{};
    int m_beaconBytes = 0; // of the last whole count to all peers
};

// Budget

/// Says how many messages of a size may go out this round.
class GossipBudget
{
public:
    explicit GossipBudget(const GossipSettings &settings);

    /// @param bytes of one message with all overheads. @param peers that there are. @return messages allowed now.
    int take(Instant now, int bytes, int peers);

private:
    GossipSettings m_settings;
    double m_bytes = 0;
    Instant m_filled{};
    bool m_isNew = true;
};

/// Picks peers to tell: each gets its turn before one gets a second.
class PeerPicker
{
public:
    explicit PeerPicker(std::uint64_t seed);
    std::vector<VmId> pick(const std::vector<VmId> &peers, int count);

private:
    boost::random::mt19937_64 m_random;
    std::vector<VmId> m_turn;
};

// Peers

/// What peers said lately.
class PeerLoadTable
{
public:
    explicit PeerLoadTable(Span silentAfter);
    void onBeacon(Instant now, const LoadBeacon &beacon);

    /// Puts the sums of peers' calls into the view, if all live peers were heard lately.
    void apply(Instant now, const std::vector<VmId> &peers, LoadView &view);

    /// Forgets peers that are no longer live.
    void keepOnly(const std::vector<VmId> &peers);

private:
    struct CountedStart {
        StartNotice notice;
        Instant until{};
    };
    struct Peer {
        Instant heard{};
        std::uint32_t number = 0;
        std::vector<PeerLoad> loads;
        std::vector<CountedStart> starts;
    };

    static void takeBack(std::vector<CountedStart> &starts, std::uint32_t endpointHash);

    Span m_silentAfter;
    std::unordered_map<std::uint32_t, Peer> m_peers; // by hash of the name
};

} // namespace galenafold
