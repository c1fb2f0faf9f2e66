// The traffic thread: one event loop that owns the connections to callers and replicas, and processes requests.
//
// Sections of this file: Settings, State, Traffic thread.
//
// The control thread posts updates to it: a new desired state, a new set of replicas, the engines' places, and the time
// at which the desired state was last confirmed to be the newest. Apart from the counters and the log, the threads
// share no mutable state.
#pragma once

#include "control/freshness.h"
#include "control/regions.h"
#include "filters/callermemory.h"
#include "filters/loadbalancer.h"
#include "filters/retry.h"
#include "filters/servicetime.h"
#include "filters/startupgate.h"
#include "galenafold/eventlog.h"
#include "traffic/endpointconnection.h"
#include "traffic/listener.h"
#include "traffic/metrics.h"
#include "traffic/peerloadexchange.h"
#include "traffic/refusallog.h"
#include "traffic/streamorigins.h"
#include "traffic/waitingrequests.h"

#include <atomic>
#include <thread>

namespace galenafold
{

// Settings

/// Settings of the traffic thread.
struct TrafficSettings {
    std::string listenAddress; // IP:PORT to listen on for callers
    DataCentreId dataCentre;
    RegionMap regions;
    Duration maxRevocationDelay{};     // limit on a revoked API key's acceptance; 0: unlimited
    CallerMemorySettings memory;       // of callers' requests, and of the responses to them
    int receiveBytes = 0;              // of the kernel's buffer of each caller's connection; 0: the system's default
    std::size_t maxCallers = SIZE_MAX; // open connections of callers
    std::size_t maxConnections = SIZE_MAX;                 // open connections of callers, and to replicas, together
    Duration startupWait = std::chrono::milliseconds(300); // limit on the wait of requests for the store at start
    Duration startupWaitForPeers = std::chrono::milliseconds(100); // the same, for the peers
    LoadBalancerSettings loadBalancer;
    RetryBudgetSettings retry;
    AdmissionSettings admission;
    PeerSettings peers;
    int storePartitions = 12; // of streams, as of each topic of the store
    std::uint64_t seed = 1;   // of random choices
};

// State

/// Counters that other threads may read.
struct TrafficCounts {
    std::atomic<int> callers{0};            // open caller connections
    std::atomic<int> inProgress{0};         // requests in progress
    std::atomic<int> streaming{0};          // of these, streams of which an event was relayed
    std::atomic<int> replicas{0};           // replicas that may get new work
    std::atomic<int> peers{0};              // highest number of peers heard at the same time
    std::atomic<std::int64_t> peerBytes{0}; // bytes sent in beacons
    std::atomic<std::int64_t> served{0};    // requests served with a replica's complete response
    std::atomic<std::int64_t> refused{0};   // requests not served, and run by no replica
    std::atomic<std::int64_t> failed{0};    // requests not served, but perhaps run by a replica
};

class RequestHandler;

/// State shared by all requests of the traffic thread.
struct TrafficState {
    TrafficState(asio::io_context &theIo, const TrafficSettings &theSettings, HeaderCodec theHeaderCodec,
                 EventLog &theLog);

    asio::io_context &io;
    const TrafficSettings settings;
    const HeaderCodec headerCodec;
    EventLog &log;
    std::shared_ptr<const RouteTable> table; // null until a desired state is known
    FreshnessProof proof;                    // when `table` was last confirmed to be the newest
    bool isDraining = false;
    std::optional<Instant> stopsAt; // set late in a drain: requests with a later deadline are refused
    StartupGate gate;
    std::vector<std::shared_ptr<RequestHandler>> waiting; // requests that `gate` holds
    LoadBalancer loadBalancer;
    SoftwareVersions softwareVersions;
    StreamOrigins origins;
    QueryOfDeathDetector queryOfDeath;
    std::unordered_map<ServiceId, ServiceTimeModel> serviceTimes;
    RetryBudget budget;
    std::shared_ptr<CallerMemory> memory; // shared with requests that outlive this state
    ConnectionPool connectionPool;
    TrafficCounts counts;
    TrafficMetrics metrics;
    WaitingRequests waitingForRoom;           // at replicas
    std::function<void()> onPeerNews = [] {}; // peers must know: request with prompt sent, replica stalled or crashed
};

// Traffic thread

/// Runs the traffic thread.
class TrafficThread
{
public:
    TrafficThread(const TrafficSettings &settings, HeaderCodec headerCodec, EventLog &log);
    ~TrafficThread();

    bool start(); ///< Starts the thread. @return false if an address is invalid or in use
    void stop();  ///< Stops the event loop and joins the thread.

    // Called on the control thread; executed on the traffic thread.

    /// Replaces the desired state: routes, services, API keys and limits.
    /// @param table null: none may be used; requests are refused
    void setRouteTable(std::shared_ptr<const RouteTable> table);

    /// Sets the replicas that may get new work.
    /// @param draining replicas that only finish their requests, and still have their prefix caches
    void setReplicas(std::vector<ReplicaRecord> replicas, std::vector<ReplicaRecord> draining);

    /// Sets the versions of the software that have served lately. Call it before `setReplicas`: a version must be known
    /// before requests reach it.
    void setSoftwareVersions(SoftwareVersions versions);

    /// Sets the data centres that the operator evacuates: their replicas get no new work.
    void setEvacuated(std::set<DataCentreId> dataCentres);

    /// Sets the engines' places (positions for rendezvous hashing) as recorded in the store.
    /// @param upTo offset up to which the places topic was read
    void setPlaces(std::vector<PlaceRecord> agreed, const TopicPosition &upTo);

    /// Tells what the store has of the places after it was restored from a copy. The places in use stay.
    void setStoredPlaces(std::vector<PlaceRecord> stored, const TopicPosition &upTo);

    void setStoredBlocks(std::vector<SuspectBlock> blocks); ///< Sets the blocked prompts as recorded in the store.

    /// Answers `onOriginsToLoad`. @param origins nothing: the store could not be read
    void setStoredOrigins(int partition, std::optional<std::vector<StreamOrigin>> origins);

    void setStoreLost(); ///< The store is unreachable: routers that reach it come first as leader; no request waits.
    void setProof(Instant provedAt); ///< The desired state was confirmed to be the newest at this time.
    void beginDrain();               ///< From now on, each response closes its connection.
    /// Stops accepting connections and closes idle ones. @param stopsAt when requests in progress are ended
    void stopAccepting(Instant stopsAt);

    void endRequests(); ///< Ends all requests in progress; callers get an answer, streams break visibly.

    /// Called on the traffic thread, at most once a second, while this router is the leader, with the places that are
    /// missing from the store or differ there. Set before `start`.
    std::function<void(std::vector<PlaceRecord>)> onPlacesToSave;

    /// Called like `onPlacesToSave`, with blocked prompts that are missing from the store or differ there.
    std::function<void(BlockChanges)> onBlocksToSave;

    /// Called like `onPlacesToSave`, with versions of which the store lacks that they serve, or have left.
    std::function<void(VersionChanges)> onVersionsToSave;

    /// Called on the traffic thread with origins of streams that the store is to keep. Set before `start`.
    std::function<void(int partition, std::vector<StreamOrigin>)> onOriginsToSave;

    /// Called on the traffic thread when what the store has of a partition of streams is needed. Set before `start`.
    std::function<void(int partition)> onOriginsToLoad;

    /// Called on the traffic thread when a peer has read or written newer places. Set before `start`.
    std::function<void()> onNewerPlaces;

    /// Called on the traffic thread, shortly after the start, when a peer tells which version of the desired state it
    /// has in force. Set before `start`.
    std::function<void(DesiredStateVersion)> onStateVersionTold = [](DesiredStateVersion) {};

    /// Called on the traffic thread when the routers of this data centre that are heard change. Set before `start`.
    std::function<void(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others)> onDataCentreChanged;

    /// Requests the metrics in Prometheus text format. @param callback called with them on the traffic thread
    void requestMetrics(std::function<void(std::string)> callback);

    const TrafficCounts &counts() const { return m_state.counts; }
    int port() const { return m_listener.port(); } ///< @return the bound port for caller connections

private:
    void onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    bool makeRoom();
    void armGateTimer();
    void releaseWaiting();
    void sweep();
    void setOriginHooks();
    void logPeers(Instant now);
    void logVerdict(const SuspectVerdict &verdict);
    void savePlaces(Instant now) const;
    void saveBlocks(Instant now) const;
    void saveVersions(Instant now) const;
    std::string metricsText();

    TrafficSettings m_settings;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    TrafficState m_state;
    PeerLoadExchange m_peers;
    CallerListener m_listener;
    RefusalLog m_refusals;
    DeadlineTimer m_sweepTimer;
    DeadlineTimer m_gateTimer; // limits on the wait after a start
    std::thread m_thread;
    Instant m_startedAt{};
    Instant m_nextPeersLogAt{};
    std::optional<std::vector<PlaceRecord>> m_agreedPlaces; // nothing: not read from the store since it was lost
};

} // namespace galenafold
