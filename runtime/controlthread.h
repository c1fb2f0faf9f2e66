// The control thread: owns the router's state and the contracts, publishes immutable snapshots and executes the
// router's actions.
//
// Sections of this file: Snapshot, Hooks, Control thread.
//
// Other threads read snapshots and post events. Only the control thread changes state, so no locks are needed.
#pragma once

#include "control/contracts.h"
#include "control/router.h"
#include "net/beacons.h"
#include "net/timer.h"
#include "runtime/metrics.h"
#include "runtime/peerrpc.h"

#include <asio/io_context.hpp>

namespace galenafold
{

// Snapshot

/// Control state for other threads. Immutable: every change publishes a new snapshot.
struct ControlSnapshot {
    std::shared_ptr<const ContractTable> contracts;
    std::vector<VmRecord> entryVms;      // live, including this VM
    std::set<VmId> knownEntryVms;        // in any VM list so far; a draining VM may still send
    std::vector<VmRecord> endpoints;     // routable
    std::uint64_t membershipVersion = 0; // incremented with each VM list
    bool hasContracts = false;
    bool hasVmList = false;
    bool isComplete = false; // no earlier record of the contract stream is missing
};

// Hooks

/// Hooks of the control thread. All are called on it.
struct ControlHooks {
    std::function<void(const Actions &)> executeActions; // decisions on calls
    std::function<void(const PeerAddress &, const GossipMessage &)> gossip;
    std::function<void(const PeerAddress &, LogOffset)> pull; // requests contract records from an offset; 0: snapshot
    std::function<void(const std::string &record)> appendContractSnapshot; // to the contract stream of the log
    std::function<std::int64_t()> controlBytes;                            // sent to peers, for metrics
    std::function<std::int64_t()> refusedPeerMessages; // from senders never in the VM list, for metrics
};

// Control thread

class ControlThread
{
public:
    ControlThread(const Settings &settings, ControlHooks hooks, Metrics &metrics);
    ~ControlThread();

    /// Opens the UDP socket for load beacons and starts the thread.
    /// @param peerPort UDP port, the same number as the RPC's TCP port
    /// @return false if the port is in use
    bool start(int peerPort);
    void stop(); ///< Stops and joins the thread. May be called more than once.

    std::shared_ptr<const ControlSnapshot> snapshot() const; ///< @return the latest snapshot; any thread

    // Events of calls, from the traffic thread. Decisions come back through `ControlHooks::executeActions`.

    /// Applies the contract's rate and concurrency limits.
    /// @param answer called on the control thread; Reason::None: admitted
    void admit(const Contract &contract, std::function<void(Reason)> answer);
    void cancelAdmission(const CustomerId &customer); ///< Releases an admitted call that will not be submitted.
    void submit(const Call &call, double weight);     ///< Queues an admitted call. @param weight of the contract
    void onFirstByte(CallKey call, int attempt, Tokens reused);
    void onAttemptEnded(const AttemptReport &report);
    void onCallerDisconnected(CallKey call);

    // State of other VMs, from the threads of the platform poller and of the peers' RPC.

    void onVmList(const std::vector<VmRecord> &list);
    void onLoadReport(const LoadReport &report);
    void onPrefixEvicted(const VmId &endpoint, const std::vector<ChatId> &chats);
    void onContractRecords(const std::vector<LogRecord> &records, LogOffset firstRetained, LogOffset end);
    LogOffset onGossip(const GossipMessage &message); ///< @return offset up to which contracts are applied here
    void onPeerOffset(const VmId &peer, LogOffset upTo);
    void onPulled(const PulledContracts &pulled); ///< Applies the records or the snapshot that a peer sent.

    /// Collects the contract records from `offset` on for a peer that lags, or a snapshot if `offset` is 0 or
    /// there are no such records.
    /// @param callback called on the control thread
    void contractsSince(LogOffset offset, std::function<void(const PulledContracts &)> callback);

    std::int64_t beaconBytesSent() const { return m_beaconBytes; }    ///< @return bytes of beacons sent
    LogOffset nextContractOffset() const { return m_nextReadOffset; } ///< @return offset to read from next

private:
    void post(std::function<void(Instant)> job);
    void tick();
    void gossipRound(Instant now);
    void sendBeacon(Instant now);
    void sendToPeers(const std::string &payload);
    void appendContractSnapshotIfDue(Instant now);
    void publishSnapshot();
    void publishMetrics();
    void executeActions(Instant now, const Actions &actions);
    void applyContractRecord(const LogRecord &record, LogOffset firstRetained);
    bool peerAddress(const VmId &vm, PeerAddress &address) const;

    Settings m_settings;
    ControlHooks m_hooks;
    Metrics &m_metrics;
    Router m_router;
    ContractStateMachine m_contracts;
    GossipBudget m_gossipBudget;
    PeerPicker m_peerPicker;
    BeaconBudget m_beaconBudget;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    DeadlineTimer m_timer;
    BeaconSocket m_beacons;
    std::atomic<std::int64_t> m_beaconBytes{0};
    std::thread m_thread;
    std::shared_ptr<const ControlSnapshot> m_snapshot; // accessed by std::atomic_load and std::atomic_store
    std::atomic<LogOffset> m_contractsUpTo{0};         // next contract record to apply; copy for other threads
    std::atomic<LogOffset> m_nextReadOffset{0};        // next contract record to read; copy for other threads
    std::atomic<bool> m_isStopping{false};
    int m_lastBeaconBytes = 64; // size of the last full beacon; initially an estimate
    std::uint64_t m_membershipVersion = 0;
    bool m_hasVmList = false;
    std::int64_t m_refusedRecords = 0; // contract records that were not applied: stale, malformed or of a later release
    Instant m_contractSnapshotDue{};
    Instant m_nextGossip{};
    Instant m_nextMetrics{};
    Instant m_nextPull{};
};

} // namespace galenafold
