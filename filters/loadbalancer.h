// Selects the replica for a request: requests with a common prompt prefix go to the engine that has it cached, within a
// bound on load.
//
// Load pattern: a few dozen shared prompts, some of them hot, over a dozen engines that come and go, seen by many
// routers, each of which handles a small part of the traffic. Every router ranks the engines for a prompt in the same
// order (rendezvous hashing), so a prompt is prefilled once per fleet and not once per router. An engine that is full
// or failing passes its requests to the next in rank. An engine that works four times slower for some seconds fills up
// with its usual share of requests, so its bound on load is divided by its slowdown: it is full at a quarter of the
// bound.
//
// Load pattern: requests for several prompts of one engine arrive within a moment, at as many routers. What the routers
// tell each other is late by the time between two of their messages, over a second in a large fleet, and until then
// each takes the engine for free. The engine's own report is exact, so the first router that gets one tells the others
// at once.
//
// Sections of this file: State, Request, Load balancer.
#pragma once

#include "control/gossip.h"
#include "control/ratelimits.h"
#include "control/replicaholds.h"
#include "control/softwareversions.h"
#include "control/warmups.h"
#include "filters/headerfields.h"
#include "filters/placetable.h"
#include "filters/replicaroom.h"
#include "filters/requestpace.h"

#include <boost/random/mersenne_twister.hpp>
#include <set>

namespace galenafold
{

// State

struct LoadBalancerSettings {
    double loadBound = 2;     // maximum load per engine, as a multiple of the mean load
    double loadAllowance = 3; // requests in progress added to that bound
};

constexpr double typicalDurationSeconds = 0.7; // of a request; load that is older has been replaced by other requests

/// How one attempt ended, for the health of the replica.
enum class AttemptOutcome : std::uint8_t {
    Good,        // complete response
    Refused,     // the replica did not run it: full, or draining
    Error,       // complete response that reports an error of the replica itself
    Failed,      // incomplete, timed out or invalid
    Unreachable, // no connection
    Abandoned,   // the caller disconnected, or the deadline passed in mid-response; not counted for health
};

/// One replica as this router sees it.
struct EndpointState {
    ReplicaRecord record;
    std::optional<std::uint64_t> place; // position for rendezvous hashing; none: serves only spilled requests
    std::uint32_t nameHash = 0;         // identifies the replica in messages between routers
    std::uint32_t incarnation = 0;      // identifies this run of its process
    VersionHash version{};              // of its software
    bool servesPrompts = false;         // gets requests with prompts; these run long enough to be reported to peers
    int ownInFlight = 0;                // requests in progress from this router
    Tokens ownTokens = 0;               // that these hold there
    double othersInFlight = 0;          // requests in progress from other routers, from the replica's last load report
    double peersInFlight = 0;           // the same, as the other routers report it
    double slowdown = 1;                // smoothed service time, as a multiple of the usual one
    Instant slowdownExpiry{};           // `slowdown` is valid until then
    double unsentSlowdown = 0;          // from the newest report, not yet sent to peers; 0: none
    double bound = 0;                   // load above which it was to get no more prompts, at the last choice
    Instant lastEventAt{};              // last event of any stream of this router
    Instant stalledUntil{};             // streams of this router are stalled; waiting requests may go elsewhere
    Instant reportedAt{};               // when the last load report was received
    Instant loadExpiry{};               // the load report is valid until then
    Instant loadFreshUntil{};           // the load report takes precedence over the peers' counts until then
    double smoothedLoad = 0;            // requests in progress of all routers, smoothed
    Instant smoothedLoadExpiry{};       // `smoothedLoad` is valid until then
    double demandRate = 0;              // requests per second that this router would send there
    Instant demandUpdatedAt{};          // last update of `demandRate`
    int reportedSlots = 0;              // requests that it runs concurrently, from its last load report
    int refusals = 0;                   // in a row
    Instant fullUntil{};                // it has refused a request, or is asked whether it still would
    RequestPace pace;                   // of requests to a replica that tells no load
    int consecutiveFailures = 0;
    double failureRate = 0; // smoothed, 0 to 1
    Instant avoidUntil{};   // gets no new work until then while other replicas can take it
};

/// What the load of a replica is estimated from, besides this router's own requests.
enum class LoadSource : std::uint8_t {
    OwnOnly,    // neither a recent report nor a peer is heard
    LoadReport, // the replica's last load report
    PeerCounts, // the requests in progress that peers report
};

const char *text(LoadSource source); ///< @return the source's name in logs

// Request

struct SelectionRequest {
    ServiceId service;
    std::optional<std::uint64_t> affinity; // hash of the shared prompt parts
    std::set<EndpointId> excluded;         // replicas already tried
    bool needsRoom = false;                // only replicas that can start the request at once
    int yielding = 0;                      // this router's requests in progress that left the backlog to others: they
                                           // take no part of the room from this one, unless it does so too
    bool leavesBacklog = false;            // with `needsRoom`, only where a slot is free: what may wait there is left
                                           // to others
    std::optional<std::set<DataCentreId>> allowedDataCentres = std::nullopt; // nothing: any
    std::optional<VersionHash> version = std::nullopt;                       // of the replica's software; nothing: any
    Tokens tokens = 0;        // that the request holds at its replica; 0: not known
    Tokens replicaTokens = 0; // that one replica of the service holds; 0: not known
};

/// The chosen replica, and how many engines that rank before it for the prompt were skipped.
struct ReplicaChoice {
    const EndpointState *endpoint = nullptr;  // null: no replica is left to try
    int skippedFull = 0;                      // engines skipped because they were at the bound on load
    int skippedAvoided = 0;                   // engines skipped because they fail or were already tried
    int skippedLimited = 0;                   // replicas skipped because of the rate that they take
    int skippedLeaving = 0;                   // replicas skipped because their answers announced that they will stop
    int skippedTurnedAway = 0;                // replicas skipped because they named a time for which they want none
    int skippedEvacuated = 0;                 // replicas skipped because their data centre is evacuated
    int skippedRegion = 0;                    // replicas skipped because their data centre is not allowed
    int skippedVersion = 0;                   // replicas skipped because their software did not begin the stream
    int skippedWarming = 0;                   // replicas skipped because they warm up and get enough meanwhile
    int skippedBusy = 0;                      // replicas skipped because they have no room; only with `needsRoom`
    Instant turnedAwayUntil = Instant::max(); // the shortest of these times
    double bound = 0;                         // load above which no engine was to be chosen; 0: chosen without a bound

    explicit operator bool() const { return endpoint != nullptr; }
    const EndpointState *operator->() const { return endpoint; }
    const EndpointState &operator*() const { return *endpoint; }
};

/// State of one service's replicas, for metrics.
struct ServiceStats {
    ServiceId id;
    double meanLoad = 0; // requests in progress per replica
    double bound = 0;    // load above which a replica gets no more requests
    std::vector<const EndpointState *> endpoints;
};

/// @return hash of the prompt parts that a request shares with others; nothing when it shares none
std::optional<std::uint64_t> affinityKey(const std::vector<PromptPart> &parts);

// Load balancer

/// Not thread-safe: used on the traffic thread.
class LoadBalancer
{
public:
    LoadBalancer(const LoadBalancerSettings &settings, DataCentreId localDataCentre, std::uint64_t seed);

    /// Sets the replicas that may get new work.
    /// @param draining replicas that only finish their requests, and still have their prefix caches
    /// @return replicas that were removed and may get no more work
    std::vector<EndpointId> updateReplicas(Instant now, const std::vector<ReplicaRecord> &records,
                                           const std::vector<ReplicaRecord> &draining = {});

    /// Applies the assignment of places to engines that the fleet has agreed on. @see PlaceTable
    void setAgreedPlaces(const std::vector<PlaceRecord> &agreed);

    /// @return places that are missing from the agreed assignment or differ from it
    std::vector<PlaceRecord> placeDifferences(const std::vector<PlaceRecord> &agreed) const
    {
        return m_places.differences(agreed);
    }

    void assignPlaces(Instant now); ///< Assigns places to waiting engines where the others are busy. Call periodically.

    /// Sets the services in force; of them, how their replicas warm up.
    void setServices(Instant now, const std::unordered_map<ServiceId, ServiceSpec> &services);

    /// Sets the data centres whose replicas get no requests. Replicas of those that are not evacuated any more warm up.
    void setEvacuated(Instant now, std::set<DataCentreId> dataCentres);

    /// @return the replica to send to. The request counts at once for the pace of a replica that tells no load, whether
    /// it is sent or not.
    ReplicaChoice choose(Instant now, const SelectionRequest &request);

    /// @return requests that the service's replicas could start at once, by what is known of their load; negative if
    /// requests already wait there
    double freeSlots(Instant now, const ServiceId &service) const;

    void onSent(const EndpointId &id, Tokens tokens = 0); ///< A request that holds `tokens` was sent to the replica.

    /// An attempt that was sent has ended. @param tokens as in `onSent`
    /// @return true if the replica is to be avoided from now on
    bool onEnded(Instant now, const EndpointId &id, AttemptOutcome outcome, Tokens tokens = 0);

    void onLoad(Instant now, const EndpointId &id, const ReplicaLoad &sample); ///< A response carried a load report.

    /// A complete answer was received. Call before `onEnded`.
    /// @param took time since the request was sent
    /// @param objective time within which the answer is of full use; 0: none
    void onAnswerTime(Instant now, const EndpointId &id, Duration took, Duration objective);

    /// A replica's answer named the rate of requests that it takes from all routers together, or none.
    /// @return true if that has changed
    bool onRateLimit(Instant now, const EndpointId &id, std::optional<double> perSecond);

    ReplicaHolds &holds() { return m_holds; } ///< @return replicas whose own answers keep requests away, by incarnation

    ReplicaRateLimits &rateLimits() { return m_rateLimits; } ///< @return limits of replicas, by `nameHash`

    void onStreamEvent(Instant now, const EndpointId &id); ///< A stream event was received from the replica.

    /// A stream has had no event for a while. @param pause time without events after which a stream counts as stalled
    /// @return true if no stream of this router from that replica had an event within `pause`: the replica is stalled
    bool onStreamStall(Instant now, const EndpointId &id, Duration pause);

    bool isStalled(Instant now, const EndpointId &id) const; ///< @return true if `onStreamStall` found a recent stall

    /// Replaces the counts of requests in progress that one other router last reported.
    void onPeerLoads(Instant now, std::uint32_t peer, const std::vector<PeerLoad> &loads);

    /// @param peers other routers that are heard; with none, the replicas' own load reports are used
    /// @param reportDelay time from the start of a request until its router reports it
    /// @param reportLifetime time after which the counts of a silent peer are dropped
    void setActivePeers(int peers, Duration reportDelay, Duration reportLifetime = std::chrono::seconds(2));

    std::vector<PeerLoad> ownLoads() const; ///< @return engines where this router has requests in progress, for peers
    std::vector<PeerLoad> consumeLoads();   ///< @return the same with new slowdowns, which then count as sent

    /// @return engines that have reported more requests than peers can know of, which then count as told
    std::vector<ReportedLoad> takeUnexpectedLoads(Instant now);

    /// Another router has just received these reports of engines.
    void onReportedLoads(Instant now, const std::vector<ReportedLoad> &reported);

    /// @return true if peers are yet to be told of a stalled engine, or of one that is fuller than they can know
    bool hasUrgentNews(Instant now) const;

    /// @return IP:PORT of the engine, other than the chosen one, that most likely holds a prompt's shared parts in its
    /// cache; "" when there is none
    std::string cacheSource(Instant now, const SelectionRequest &request, const EndpointId &chosen) const;

    double load(Instant now, const EndpointState &state) const; ///< @return estimated requests in progress there

    LoadSource loadSource(Instant now, const EndpointState &state) const; ///< @return what `load` is estimated from

    ReplicaOccupancy occupancy(Instant now, const EndpointState &state) const; ///< @return load and slots, as known

    /// @return requests that the replica can start at once, by its load or by the pace that its answers allow; 0 or
    /// less: it has no room
    double roomAt(Instant now, const EndpointState &state) const;

    std::vector<ServiceStats> serviceStats(Instant now) const; ///< @return state of all services, for metrics

    /// @return smoothed service time as a multiple of the usual one; 1 without recent reports
    static double slowdown(Instant now, const EndpointState &state)
    {
        return now < state.slowdownExpiry ? state.slowdown : 1;
    }

private:
    struct Service {
        std::vector<EndpointState *> replicas; // of `m_endpoints`
        double peersInFlight = 0;              // requests in progress from other routers, as they report
        double toldInFlight = 0;               // from this router, as last told to the others
        double meanTokens = 0;                 // that one of this router's requests holds at its replica, smoothed
    };

    void copyPlaces();
    PlaceDemand placeDemand(Instant now, const std::vector<const EndpointState *> &engines) const;
    void recordDraining(Instant now, const std::vector<ReplicaRecord> &draining);
    double meanLoad(Instant now, const std::vector<const EndpointState *> &endpoints) const;
    double loadBoundFor(double meanLoad) const { return m_settings.loadBound * meanLoad + m_settings.loadAllowance; }
    void sumPeerLoads(Instant now);
    bool hasHeadroom(Instant now, EndpointState &state, double bound);
    static double updateDemand(Instant now, EndpointState &state);
    Duration loadFreshness() const;
    void noteUnexpectedLoad(Instant now, const EndpointState &state, int inProgress);
    void applyReport(Instant now, EndpointState &state, int inProgress) const;
    static void updateSlowdown(Instant now, EndpointState &state, double slowdown);
    void noteEntry(Instant now, const EndpointState &state, bool hasStarted);
    void countLimited(Instant now, const EndpointState &state, ReplicaChoice &choice) const;
    const std::vector<EndpointState *> &replicasOf(const ServiceId &service) const;
    double roomFor(Instant now, const EndpointState &state, const SelectionRequest &request) const;
    bool hasRoomFor(Instant now, const EndpointState &state, const SelectionRequest &request) const;
    double minPace() const;
    bool hasShare(Instant now, const SelectionRequest &request) const;
    double sharedBound(Instant now, const EndpointState &state) const;
    static int ownInFlight(const Service &service);
    static double roomBound(const EndpointState &state);
    std::vector<EndpointState *> withRoom(Instant now, const SelectionRequest &request,
                                          const std::vector<EndpointState *> &candidates, ReplicaChoice &choice) const;
    void noteRefusal(Instant now, EndpointState &state);
    void noteFull(Instant now, EndpointState &state);
    void noteChosen(Instant now, const EndpointId &id);
    std::vector<EndpointState *> twoOf(std::vector<EndpointState *> replicas);
    bool isHeld(Instant now, const EndpointState &state, ReplicaChoice &choice) const;
    ReplicaChoice chooseAmong(Instant now, const SelectionRequest &request,
                              const std::vector<EndpointState *> &candidates);
    ReplicaChoice chooseByAffinity(Instant now, const SelectionRequest &request,
                                   const std::vector<EndpointState *> &candidates);
    const EndpointState *leastLoaded(Instant now, const std::vector<EndpointState *> &candidates);
    bool mayGetPrompt(Instant now, const EndpointState &state, int position);
    void spill(Instant now, const std::vector<EndpointState *> &candidates, ReplicaChoice &choice);
    void chooseLeastLoaded(Instant now, std::vector<EndpointState *> candidates, ReplicaChoice &choice);

    LoadBalancerSettings m_settings;
    DataCentreId m_localDataCentre;
    boost::random::mt19937_64 m_random;
    ReplicaRateLimits m_rateLimits;
    WarmUps m_warmUps{m_rateLimits};
    ReplicaHolds m_holds;
    struct DrainingEngine {
        std::uint64_t place = 0; // the place that it had
        ReplicaRecord record;
        Instant until{}; // after this it may have stopped
    };
    struct PeerCounts {
        Instant until{}; // expiry
        std::vector<PeerLoad> loads;
    };

    PlaceTable m_places;
    std::map<std::uint32_t, PeerCounts> m_peerCounts; // by peer
    int m_peersHeard = 0;
    bool m_hasUnsentStall = false;
    struct UnexpectedLoad {
        int inProgress = 0;
        Instant until{}; // the report is too old to be told after this
    };
    std::map<std::uint32_t, UnexpectedLoad> m_unexpectedLoads; // to tell peers, by `nameHash`
    double m_peerReportDelay = 0; // seconds until a request started by a peer is known to this router
    Duration m_peerReportLifetime = std::chrono::seconds(2);
    std::map<EndpointId, EndpointState> m_endpoints;
    std::unordered_map<ServiceId, Service> m_services;
    std::map<EndpointId, DrainingEngine> m_drainingEngines;
};

} // namespace galenafold
