// The control thread: owns the router's decisions and the contracts, publishes immutable snapshots, carries actions
// out.
//
// Sections of this file: Snapshot, Hooks, Core.
//
// Traffic threads read snapshots and post events; only this thread changes state, so nothing here is locked.
#pragma once

#include "control/contracts.h"
#include "control/router.h"
#include "net/beacons.h"
#include "net/timer.h"
#include "shell/metrics.h"
#include "shell/peers.h"

#include <asio/io_context.hpp>

namespace galenafold
{

// Snapshot

/// What other threads may know of the control state. Immutable, replaced whole.
struct ControlSnapshot {
    std::shared_ptr<const ContractTable> contracts;
    std::vector<VmRecord> entryVms;   // live ones, this one included
    std::set<VmId> knownEntries;      // every entry VM that the list ever named; a leaving one may still speak
    std::vector<VmRecord> endpoints;  // routable ones
    std::uint64_t membersVersion = 0; // another number whenever the list changed
    bool hasContracts = false;
    bool hasVmList = false;
    bool isComplete = false; // nothing of the contract stream is missing
};

// Hooks

/// What the control thread asks of the rest of the daemon.
struct CoreHooks {
    std::function<void(const Actions &)> carryOut; // what was decided on calls
    std::function<void(const PeerAddress &, const GossipMessage &)> gossip;
    std::function<void(const PeerAddress &, LogOffset)> pull;
    std::function<void(const std::string &record)> appendSnapshot;
    std::function<std::int64_t()> controlBytes;
    std::function<std::int64_t()> peersRefused;
};

// Core

class Core
{
public:
    Core(const Settings &settings, CoreHooks hooks, Metrics &metrics);
    ~Core();

    bool start(int peerPort); ///< @param peerPort of the RPC; beacons go by UDP on the same. @return false: taken
    void stop();

    std::shared_ptr<const ControlSnapshot> snapshot() const; ///< Any thread.

    // Calls; from the traffic thread. What is decided on them comes back by `carryOut`.

    /// Applies limits. @param answer called on the control thread
    void admit(const Contract &contract, std::function<void(Reason)> answer);
    void cancelAdmission(const CustomerId &customer);
    void submit(const Call &call, double weight);
    void onFirstByte(CallKey call, int attempt, Tokens reused);
    void onAttemptEnded(const AttemptReport &report);
    void onCallerGone(CallKey call);

    // What is known of others; from the followers' and the peers' threads.

    void onVmList(const std::vector<VmRecord> &list);
    void onLoadReport(const LoadReport &report);
    void onContextEvicted(const VmId &endpoint, const std::vector<ChatId> &chats);
    void onContractRecords(const std::vector<LogRecord> &records, LogOffset firstRetained, LogOffset end);
    LogOffset onGossip(const GossipMessage &message); ///< @return offset of our contracts
    void onPeerOffset(const VmId &peer, LogOffset upTo);
    void onPulled(const PulledContracts &pulled);
    void recordsFor(LogOffset offset, std::function<void(const PulledContracts &)> callback); ///< For a lagging peer.
    std::int64_t beaconBytes() const { return m_beaconBytes; }
    LogOffset nextContractOffset() const { return m_nextToRead; }

private:
    void post(std::function<void(Instant)> job);
    void tick();
    void gossipRound(Instant now);
    void sendBeacon(Instant now);
    void sendToPeers(const std::string &payload);
    void keepSnapshot(Instant now);
    void publish();
    void publishFigures();
    void carryOut(Instant now, const Actions &actions);
    void takeRecord(const LogRecord &record, LogOffset firstRetained);
    bool peerAddress(const VmId &vm, PeerAddress &address) const;

    Settings m_settings;
    CoreHooks m_hooks;
    Metrics &m_metrics;
    Router m_router;
    ContractStateMachine m_book;
    GossipBudget m_gossipBudget;
    PeerPicker m_picker;
    BeaconPacer m_beaconPacer;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    DeadlineTimer m_timer;
    BeaconSocket m_beacons;
    std::atomic<std::int64_t> m_beaconBytes{0};
    std::thread m_thread;
    std::shared_ptr<const ControlSnapshot> m_snapshot; // by std::atomic_load and std::atomic_store
    std::atomic<LogOffset> m_contractsUpTo{0};
    std::atomic<LogOffset> m_nextToRead{0};
    std::atomic<bool> m_isStopping{false};
    int m_beaconSize = 64; // bytes of the last one
    std::uint64_t m_membersVersion = 0;
    bool m_hasVmList = false;
    std::int64_t m_recordsRefused = 0;
    Instant m_snapshotDue{};
    Instant m_nextGossip{};
    Instant m_nextFigures{};
    Instant m_nextPull{};
};

} // namespace galenafold
