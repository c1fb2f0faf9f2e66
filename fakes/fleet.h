// A fleet in one process on loopback: daemons, engines, services, and the platform's stand-ins. For the demo, the load
// tool and tests.
#pragma once

#include "control/contracts.h"
#include "fakes/engine.h"
#include "fakes/platform.h"
#include "fakes/service.h"

namespace galenafold
{

struct FleetPlan {
    int daemons = 3;
    int engines = 3;
    int services = 1;
    EngineKnobs engine;
    std::chrono::milliseconds serviceTime{5};
    std::vector<PoolId> models{{"tea-large"}};
    std::vector<PoolId> serviceNames{{"ledger"}};
    Settings settings; // what all daemons share; name, ports and addresses are filled in
};

class Fleet
{
public:
    explicit Fleet(const FleetPlan &plan);
    ~Fleet();

    bool start(); ///< Starts all, publishes the list, and waits until daemons serve. Contracts must come before.

    /// Publishes or amends a contract. @param base version that it was made from. @return offset, -1 on failure.
    LogOffset publish(const std::string &customer, const std::string &ini, std::int64_t base);

    /// Waits until every daemon has the customer's contract at a version. @return false at the deadline.
    bool waitVersion(const std::string &customer, std::int64_t version, Instant deadline);

    void addDaemon();                    ///< A fresh VM; on the list at once.
    void drainDaemon(std::size_t index); ///< Off the list, drained, gone.
    void killDaemon(std::size_t index);  ///< Gone at once.
    FakeEngine &addEngine();
    void removeEngine(std::size_t index);              ///< Gone at once, off the list.
    void replaceEngine(std::size_t index);             ///< Gone at once; a fresh one takes its place.
    void hideEngine(std::size_t index, bool isHidden); ///< Off the list for a while, though it runs.
    void markLeaving(const VmId &vm);                  ///< On the list.
    void publishList();

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
    void cutHalfFromList();   ///< Every other daemon's list stays as it is from now on.
    bool hasContracts = true; ///< false: `start` does not wait for readiness

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
    FakeVmList m_otherList; // what every other daemon reads
    bool m_isHalfCut = false;
    std::vector<EngineEntry> m_engines;
    std::vector<std::unique_ptr<FakeService>> m_services;
    std::vector<DaemonEntry> m_daemons;
    std::vector<std::thread> m_enders; // stop engines that are gone; idle connections hold them a while
    std::set<VmId> m_leaving;
    int m_nextDaemon = 1;
    int m_nextEngine = 1;
    std::uint64_t m_nextIncarnation = 1;
};

/// A contract good for demos and tests. @param key the API key in clear; only its hash goes into the text.
std::string sampleContract(const std::string &customer, const std::string &key, double rate, double concurrency);

/// A UUID of version 7 for now. @param serial makes it unique.
std::string makeUuidV7(UnixMillis time, std::uint64_t serial);

/// @return the wall clock
UnixMillis wallClock();

} // namespace galenafold
