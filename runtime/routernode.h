// Router daemon for the users' platform: its control thread reads the desired state, the registry and the places from
// the store, answers readiness and metrics requests, and drains the router.
#pragma once

#include "control/evacuations.h"
#include "control/freshness.h"
#include "control/newestversion.h"
#include "control/replicadirectory.h"
#include "galenafold/galenafold.h"
#include "runtime/sharedstate.h"
#include "runtime/streamoriginstore.h"
#include "traffic/trafficthread.h"

namespace galenafold
{

/// Router of the users' platform. The thread that calls `run` is the control thread; requests are handled by the
/// `TrafficThread`.
class RouterNode
{
public:
    explicit RouterNode(const RouterSettings &settings, const EventLogSettings &log = EventLogSettings());
    ~RouterNode();
    RouterNode(const RouterNode &) = delete;
    RouterNode &operator=(const RouterNode &) = delete;

    bool start();      ///< Listens and begins to read the store. @return false if an address cannot be used
    void run();        ///< Runs the control thread on the calling thread until the drain has ended or `stop`.
    void beginDrain(); ///< Any thread. Not ready from now on; `run` returns once all connections are closed,
                       ///< or shortly before `drainTimeout`, which aborts the requests still in progress.
    void stop();       ///< Any thread. `run` returns at once; requests in progress are aborted.
    void reload(const RouterSettings &settings); ///< Any thread. Applies `drainTimeout`; others need a restart.

    int callerPort() const { return m_traffic.port(); } ///< @return the bound port for callers
    int adminPort() const { return m_admin.port(); }    ///< @return the bound port for readiness and metrics

    /// @return true if the desired state and the registry have been read, the state is recent enough to grant access,
    /// and the router is not draining
    bool isReady() const;

private:
    TopicSubscriptionSettings subscriptionSettings(StoreTopic topic) const;
    TopicSubscription &subscription(StoreTopic topic);
    void startAfter(StoreTopic topic);
    void setDataCentre(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others);
    TopicSubscriptionHooks desiredStateHooks();
    TopicSubscriptionHooks registryHooks();
    void listEvacuations(const std::vector<KeyedRecord> &records, const TopicPosition &begin);
    void publishEvacuations(const std::vector<EvacuationChange> &changes);
    void applyDesiredState(const std::string &json, LogOffset offset);
    void publishRouteTable();
    void onVersionTold(DesiredStateVersion version);
    bool isOutdated() const;
    void logReplica(const RegistryUpdate &update);
    void publishReplicas();
    void onVersionsRead(const std::vector<VersionRecord> &versions);
    void onAdminRequest(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request);
    void answerMetrics(const std::shared_ptr<CallerConnection> &caller);
    std::string metricsText() const;
    void scheduleFlush();
    void afterRegistryRead();
    void checkDrain();

    RouterSettings m_settings;
    EventLog m_log;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    TrafficThread m_traffic;
    ReplicaDirectory m_directory;
    SoftwareVersions m_softwareVersions;
    Evacuations m_evacuations;
    FreshnessProof m_proof; // that the desired state is current
    TopicSubscription m_desiredState;
    TopicSubscription m_registry;
    SharedState m_sharedState;
    StreamOriginStore m_originStore;
    TopicRelay m_relay; // to routers that follow this one
    CallerListener m_admin;
    RefusalLog m_adminRefusals;
    DeadlineTimer m_flushTimer;
    DeadlineTimer m_expiryTimer;
    DeadlineTimer m_drainTimer;
    DeadlineTimer m_versionTimer;              // for the end of the wait for a newer desired state
    NewestVersion m_newestVersion;             // that other routers have in force
    std::shared_ptr<const RouteTable> m_table; // newest one read
    DesiredStateVersion m_version = -1;        // of `m_table`; -1: none
    std::int64_t m_storeRestores = 0;          // of the store from a copy
    std::int64_t m_storeRecords = 0;           // read from the topic of the desired state
    bool m_isDesiredStateLost = false;
    bool m_isRegistryLost = false;
    Instant m_registryProvedAt{}; // the registry was read completely as of then
    Instant m_drainBegan{};
    bool m_hasRegistryChanged = false;   // since the replicas were last published
    std::size_t m_drainingPublished = 0; // replicas that drain, when they were last published
    bool m_isDraining = false;
};

} // namespace galenafold
