// A daemon on the users' platform: the control thread, which follows the store, tells readiness and drains.
#pragma once

#include "control/freshness.h"
#include "control/replicadirectory.h"
#include "galenafold/galenafold.h"
#include "shell/placestore.h"
#include "traffic/traffic.h"

namespace galenafold
{

class RouterNode
{
public:
    explicit RouterNode(const RouterSettings &settings, const EventLogSettings &log = EventLogSettings());
    ~RouterNode();
    RouterNode(const RouterNode &) = delete;
    RouterNode &operator=(const RouterNode &) = delete;

    bool start();      ///< Binds and begins to follow the store. @return false: an address is taken
    void run();        ///< Runs the control thread here, until the drain has ended.
    void beginDrain(); ///< Any thread. Not ready from now on; ends once nothing is in progress.
    void stop();       ///< Any thread. Ends at once; calls in progress are cut off.
    void reload(const RouterSettings &settings); ///< Any thread. Settings that need no restart are taken over.

    int callersPort() const { return m_traffic.port(); }
    int adminPort() const { return m_admin.port(); }
    bool isReady() const;

private:
    StoreFollowerHooks desiredStateHooks();
    StoreFollowerHooks registryHooks();
    void applyDesiredState(const std::string &json, LogOffset offset);
    void logReplica(const RegistryUpdate &update);
    void publishReplicas();
    void onAdminRequest(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request);
    void answerMetrics(const std::shared_ptr<CallerConnection> &caller);
    std::string metrics() const;
    void scheduleFlush();
    void afterRegistryRead();
    void drainStep();

    RouterSettings m_settings;
    EventLog m_log;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Traffic m_traffic;
    ReplicaDirectory m_directory;
    FreshnessProof m_proof; // of the desired state
    StoreFollower m_desired;
    StoreFollower m_registry;
    PlaceStore m_places;
    CallerListener m_admin;
    DeadlineTimer m_flushTimer;
    DeadlineTimer m_expiryTimer;
    DeadlineTimer m_drainTimer;
    DesiredStateVersion m_version = -1;
    std::int64_t m_storeRecords = 0; // read of the desired state's topic
    bool m_isDesiredLost = false;
    bool m_isRegistryLost = false;
    Instant m_registryProvedAt{};
    Instant m_drainBegan{};
    bool m_hasRegistryChanged = false; // since the replicas were last published
    bool m_isDraining = false;
};

} // namespace galenafold
