// Which replica? Requests with shared prompt parts go where those parts were read before, within a bound on load.
//
// Load pattern: a few dozen shared prompts, some of them hot, over a dozen engines that come and go, seen by many
// routers of which each handles a sliver. Every router ranks the engines for a prompt alike (rendezvous hashing), so a
// prompt is read once and not once a router; a full or failing engine passes its requests to the next in rank. One that
// works four times slower for some seconds fills up with its usual share; it is full at a quarter of the bound.
//
// Sections of this file: State, Request, Board.
#pragma once

#include "control/gossip.h"
#include "filters/headerfields.h"
#include "filters/placetable.h"

#include <boost/random/mersenne_twister.hpp>
#include <set>

namespace galenafold
{

// State

struct LoadBalancerSettings {
    double loadBound = 2;     // no engine carries more than this multiple of the mean load
    double loadAllowance = 3; // plus so many requests
};

/// How one attempt ended, for the replica's health.
enum class AttemptOutcome : std::uint8_t {
    Good,        // a whole answer
    Refused,     // the replica did not run it: full, or leaving
    Error,       // a whole answer that tells of an error of the replica's own
    Failed,      // broken, silent or wrong
    Unreachable, // no connection
    Abandoned,   // given up by the caller: tells nothing
};

/// One replica as this router sees it.
struct EndpointState {
    ReplicaRecord record;
    std::optional<std::uint64_t> place; // its share of the prompts; nothing: what spills over
    std::uint32_t nameHash = 0;         // stands for it between routers
    bool isEngine = false;              // gets requests with prompts; they last, so peers are told of them
    int own = 0;                        // requests in progress from this router
    double others = 0;                  // requests in progress from other routers, when last reported
    double peers = 0;                   // the same, as the other routers themselves tell
    double slowdown = 1;                // smoothed: how long work takes there, against its usual time
    Instant slowdownUntil{};            // it counts until then
    double untoldSlowdown = 0;          // of the newest report, which peers have not heard of; 0: they have
    Instant progressAt{};               // the last event of any stream of this router
    Instant silentUntil{};              // streams of this router stand still; requests that wait there may go elsewhere
    Instant loadUntil{};                // the report counts until then
    Instant freshUntil{};               // the report goes before what peers tell
    double usual = 0;                   // smoothed requests in progress, all routers'
    Instant usualUntil{};               // the smoothed figure counts until then
    double demand = 0;                  // requests a second that this router would send there
    Instant demandAt{};                 // of the last one
    int failuresInRow = 0;
    double failureRate = 0; // smoothed, 0 to 1
    Instant avoidUntil{};   // no new work before, while others can take it
};

// Request

struct SelectionRequest {
    ServiceId service;
    std::optional<std::uint64_t> affinity; // hash of the shared prompt parts
    std::set<EndpointId> excluded;         // tried already
};

/// What was chosen, and which engines before it in a prompt's rank were passed over.
struct ReplicaChoice {
    const EndpointState *endpoint = nullptr; // none: no replica serves
    int skippedFull = 0;                     // passed over at the bound on load
    int skippedAvoided = 0;                  // passed over as failing, or asked already

    explicit operator bool() const { return endpoint != nullptr; }
    const EndpointState *operator->() const { return endpoint; }
    const EndpointState &operator*() const { return *endpoint; }
};

/// What the board knows of one service's replicas.
struct ServiceStats {
    ServiceId id;
    double meanLoad = 0;
    double bound = 0; // above it a replica gets no more
    std::vector<const EndpointState *> endpoints;
};

/// @return hash of the parts that a request shares with others; nothing when it shares none
std::optional<std::uint64_t> affinityKey(const std::vector<PromptPart> &parts);

// Board

class LoadBalancer
{
public:
    LoadBalancer(const LoadBalancerSettings &settings, DataCentreId here, std::uint64_t seed);

    /// Sets which replicas may get new work. @param leaving replicas that end what they have, and still hold their
    /// caches
    /// @return those that may get no more work
    std::vector<EndpointId> updateReplicas(Instant now, const std::vector<ReplicaRecord> &records,
                                           const std::vector<ReplicaRecord> &leaving = {});

    /// Takes over which engine has which place, as the fleet has agreed on it.
    void adoptPlaces(const std::vector<PlaceRecord> &agreed);

    /// @return places that are not, or not so, in what the fleet has agreed on
    std::vector<PlaceRecord> placeDifferences(const std::vector<PlaceRecord> &agreed) const
    {
        return m_places.differences(agreed);
    }

    void assignPlaces(
        Instant now); ///< Gives newcomers shares of the prompts where the others are busy. Call now and then.

    ReplicaChoice choose(Instant now, const SelectionRequest &request); ///< @return the replica to send to

    void onSent(const EndpointId &id);
    /// @return true if the replica is to be avoided from now on
    bool onEnded(Instant now, const EndpointId &id, AttemptOutcome end);
    void onLoad(Instant now, const EndpointId &id, const LoadSample &sample);

    void onStreamEvent(Instant now, const EndpointId &id); ///< An event of a stream came.

    /// A stream has had no event for a while. @param pause that is longer than streams should stand still
    /// @return true if none of this router's streams there has had one: nothing seems to come from it any more
    bool onStreamStall(Instant now, const EndpointId &id, Duration pause);

    bool isStalled(Instant now, const EndpointId &id) const; ///< @return true if `onStreamStall` found so lately

    /// Takes another router's own calls in progress. What it told before no longer counts.
    void onPeerLoads(Instant now, std::uint32_t peer, const std::vector<PeerLoad> &loads);

    /// @param peers other routers that are heard; with none, replicas' own reports serve
    /// @param untold time that a start waits until its router tells it
    void setActivePeers(int peers, Duration untold);

    std::vector<PeerLoad> ownLoads() const; ///< @return engines where this router has calls, for its peers
    std::vector<PeerLoad> consumeLoads();   ///< @return the same, with what new reports say; it then counts as told
    bool hasUnsentStall() const { return m_hasSilence; } ///< @return true if peers have not heard of a silent engine

    /// @return IP:PORT of the engine that most likely holds a prompt's shared parts besides the one chosen; "" when
    /// none does
    std::string cacheSource(Instant now, const SelectionRequest &request, const EndpointId &chosen) const;

    double load(Instant now, const EndpointState &state) const; ///< @return requests in progress there, as best known

    std::vector<ServiceStats> figures(Instant now) const; ///< @return all that is known, for metrics

    /// @return how long work takes there against its usual time, smoothed over the last reports
    static double slowdown(Instant now, const EndpointState &state)
    {
        return now < state.slowdownUntil ? state.slowdown : 1;
    }

private:
    void takePlaces();
    void noteLeaving(Instant now, const std::vector<ReplicaRecord> &leaving);
    double meanLoad(Instant now, const std::vector<const EndpointState *> &endpoints) const;
    double boundOf(double meanLoad) const { return m_settings.loadBound * meanLoad + m_settings.loadAllowance; }
    void sumPeers(Instant now);
    bool hasRoom(Instant now, EndpointState &state, double bound);
    static void noteSlowdown(Instant now, EndpointState &state, double slowdown);
    std::vector<EndpointState *> rank(const ServiceId &service, std::uint64_t key);
    ReplicaChoice chooseByAffinity(Instant now, const SelectionRequest &request,
                                   const std::vector<EndpointState *> &sound);
    const EndpointState *leastLoaded(Instant now, const std::vector<EndpointState *> &candidates);

    LoadBalancerSettings m_settings;
    DataCentreId m_here;
    boost::random::mt19937_64 m_random;
    struct LeavingEngine {
        std::uint64_t place = 0; // that it had
        std::string address;     // IP:PORT
        Instant until{};         // it may have ended by then
    };
    struct PeerCounts {
        Instant until{};
        std::vector<PeerLoad> loads;
    };

    PlaceTable m_places;
    std::map<std::uint32_t, PeerCounts> m_peerCounts; // by peer
    int m_peersHeard = 0;
    bool m_hasSilence = false;
    double m_unheardSeconds = 0; // until a start at a peer is known here
    std::map<EndpointId, EndpointState> m_endpoints;
    std::map<EndpointId, LeavingEngine> m_leaving;
};

} // namespace galenafold
