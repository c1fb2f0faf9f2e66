// The traffic thread: one event loop that owns the callers, the links to replicas and all decisions about requests.
//
// Sections of this file: Settings, State, Traffic.
//
// It shares nothing with the control thread but what is posted to it: a new desired state, a new set of replicas, and a
// moment up to which that desired state is proved to be the newest.
#pragma once

#include "control/freshness.h"
#include "filters/loadbalancer.h"
#include "filters/retry.h"
#include "filters/startupgate.h"
#include "galenafold/eventlog.h"
#include "traffic/endpointconnection.h"
#include "traffic/listener.h"
#include "traffic/metrics.h"
#include "traffic/peers.h"

#include <atomic>
#include <thread>

namespace galenafold
{

// Settings

struct TrafficSettings {
    std::string listenAddress; // IP:PORT for callers
    DataCentreId dataCentre;
    Duration maxRevocationDelay{}; // a key may serve for this long after it was taken away; 0: not bounded
    Duration startupWait = std::chrono::milliseconds(300); // requests wait for the store's first answers
    LoadBalancerSettings board;
    RetryBudgetSettings retry;
    PeerSettings peers;
    std::uint64_t seed = 1;
};

// State

/// Counts that other threads may read.
struct TrafficCounts {
    std::atomic<int> callers{0};
    std::atomic<int> inProgress{0};
    std::atomic<int> streaming{0}; // calls whose caller has at least one event
    std::atomic<int> replicas{0};  // that may get new work
    std::atomic<int> peers{0};     // most routers heard at one time
    std::atomic<std::int64_t> peerBytes{0};
    std::atomic<std::int64_t> answered{0}; // with the replica's own answer
    std::atomic<std::int64_t> refused{0};  // not run
    std::atomic<std::int64_t> failed{0};   // may have run
};

class RequestFlow;

/// What the calls of one loop share.
struct TrafficState {
    TrafficState(asio::io_context &theIo, const TrafficSettings &theSettings, HeaderCodec theHeaderCodec,
                 EventLog &theLog);

    asio::io_context &io;
    const TrafficSettings settings;
    const HeaderCodec headerCodec;
    EventLog &log;
    std::shared_ptr<const RouteTable> table; // nothing until a desired state is known
    FreshnessProof proof;                    // of the table
    bool isDraining = false;
    StartupGate gate;
    std::vector<std::shared_ptr<RequestFlow>> waiting; // at the gate
    LoadBalancer board;
    RetryBudget budget;
    ConnectionPool links;
    TrafficCounts counts;
    TrafficFigures figures;
    std::function<void()> onNews = [] {}; // for peers: a generation was sent to an engine, or an engine fell silent
};

// Traffic

class Traffic
{
public:
    Traffic(const TrafficSettings &settings, HeaderCodec headerCodec, EventLog &log);
    ~Traffic();

    bool start(); ///< @return false: the address is taken
    void stop();

    // From the control thread.

    void setTable(std::shared_ptr<const RouteTable> table);
    void setReplicas(std::vector<ReplicaRecord> replicas, std::vector<ReplicaRecord> leaving);

    /// Which engine has which place, as the store holds it. @param upTo end of what was read
    void setPlaces(std::vector<PlaceRecord> agreed, LogOffset upTo);
    void setStoreLost(); ///< Others decide on places until they are set again; nothing waits at the start any more.
    void setProof(Instant provedAt);
    void beginDrain();    ///< Answers end their connections from now on.
    void stopAccepting(); ///< Takes no new connections, and closes those that have no request.

    /// Called on the traffic thread, at most once a second, by the first router of the fleet: places that the store
    /// does not hold, or not so. Set before `start`.
    std::function<void(std::vector<PlaceRecord>)> onPlacesToSave;

    /// Called on the traffic thread: a peer has read or written newer places. Set before `start`.
    std::function<void()> onNewerPlaces;

    /// Has the traffic thread write all its figures. @param answer called on that thread
    void requestMetrics(std::function<void(std::string)> answer);

    const TrafficCounts &counts() const { return m_state.counts; }
    int port() const { return m_listener.port(); }

private:
    void onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest &&request);
    void releaseWaiting();
    void sweep();
    void savePlaces(Instant now) const;
    std::string figures();

    TrafficSettings m_settings;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    TrafficState m_state;
    PeerLoadExchange m_peers;
    CallerListener m_listener;
    DeadlineTimer m_sweepTimer;
    DeadlineTimer m_gateTimer;
    std::thread m_thread;
    Instant m_startedAt{};
    std::optional<std::vector<PlaceRecord>> m_agreedPlaces; // nothing until the store's were read
};

} // namespace galenafold
