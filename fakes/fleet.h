// A complete fleet in one process on loopback, for the demo, the load tool, benchmarks and tests: router daemons with
// fake engines, fake services and a fake platform (log and list of VMs). Also sample data for these.
#pragma once

#include "control/contracts.h"
#include "fakes/engine.h"
#include "fakes/platform.h"
#include "fakes/service.h"

namespace galenafold
{

/// Size and settings of a fleet.
struct FleetPlan {
    int daemons = 3;
    int engines = 3;
    int services = 1;
    EngineSettings engine;
    std::chrono::milliseconds serviceTime{5};
    std::vector<PoolId> models{{"tea-large"}};
    std::vector<PoolId> serviceNames{{"ledger"}};
    Settings settings; // of all daemons; Fleet sets name, data centre, seed, addresses and log descriptor
};

/// Owns and controls the daemons, engines, services and platform fakes. Not thread-safe. Daemons, engines and services
/// are addressed by their present index, which shifts when an earlier one is removed.
class Fleet
{
public:
    explicit Fleet(const FleetPlan &plan);
    ~Fleet();

    /// Starts everything, publishes the list of VMs and waits until the daemons are ready. Contracts must have been
    /// published before, because a daemon without contracts does not become ready; see `waitsForReadiness`.
    /// @return false if a daemon cannot start or is not ready within 20 s
    bool start();

    /// Publishes or amends a contract. @param base version that the amendment is based on, 0 for a new contract
    /// @return offset in the log, -1 on failure
    LogOffset publish(const std::string &customer, const std::string &ini, std::int64_t base);

    /// Waits until every daemon applies this version of the customer's contract. @return false at the deadline
    bool waitForVersion(const std::string &customer, std::int64_t version, Instant deadline);

    void addDaemon();                     ///< Starts a daemon as a new VM and publishes the list.
    void drainDaemon(std::size_t index);  ///< Removes a daemon from the list and shuts it down gracefully.
    void killDaemon(std::size_t index);   ///< Destroys a daemon without draining it and publishes the list.
    FakeEngine &addEngine();              ///< Starts an engine; it is on the list after the next publishList.
    void removeEngine(std::size_t index); ///< Removes an engine from the list and stops it without draining.

    /// Replaces an engine by a new one without draining it, and publishes the list.
    void replaceEngine(std::size_t index);

    void setEngineHidden(std::size_t index,
                         bool isHidden); ///< Takes a running engine off the list, or puts it back on.
    void markLeaving(const VmId &vm);    ///< Marks a VM as leaving and publishes the list.
    void publishList();                  ///< Publishes the present VMs as the new list.

    Daemon &daemon(std::size_t index) { return *m_daemons[index].daemon; }
    const VmId &daemonId(std::size_t index) const { return m_daemons[index].id; }
    std::size_t daemons() const { return m_daemons.size(); }
    FakeEngine &engine(std::size_t index) { return *m_engines[index].engine; }
    const VmId &engineId(std::size_t index) const { return m_engines[index].id; }
    std::size_t engines() const { return m_engines.size(); }
    FakeService &service(std::size_t index) { return *m_services[index]; }
    std::size_t services() const { return m_services.size(); }
    FakeLog &log() { return m_log; }
    FakeVmList &vmList() { return m_vmList; }
    void freezeSecondVmList();     ///< Freezes the list of VMs that every second daemon reads.
    bool waitsForReadiness = true; ///< false: `start` does not wait for readiness

private:
    struct DaemonEntry {
        VmId id;
        std::unique_ptr<Daemon> daemon;
    };
    struct EngineEntry {
        VmId id;
        std::unique_ptr<FakeEngine> engine;
        bool isHidden = false;
    };

    bool startDaemon();

    FleetPlan m_plan;
    FakeLog m_log;
    FakeVmList m_vmList;
    FakeVmList m_secondVmList; // read by every second daemon, so that it can be frozen
    bool m_isSecondListFrozen = false;
    std::vector<EngineEntry> m_engines;
    std::vector<std::unique_ptr<FakeService>> m_services;
    std::vector<DaemonEntry> m_daemons;
    std::vector<std::thread> m_stopThreads; // stop replaced engines, which idle connections delay
    std::set<VmId> m_leaving;
    int m_nextDaemon = 1;
    int m_nextEngine = 1;
    std::uint64_t m_nextIncarnation = 1;
};

/// @param key API key in plain text; the contract contains only its hash @param rate limit in calls per second
/// @param concurrency limit of concurrent calls @return the INI text of a contract for demos and tests
std::string sampleContract(const std::string &customer, const std::string &key, double rate, double concurrency);

/// @param time creation time that the UUID carries @param serial makes it unique @return a version 7 UUID
std::string makeUuidV7(UnixMillis time, std::uint64_t serial);

} // namespace galenafold
