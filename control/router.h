// One router's decisions: the whole chain of filters as a state machine driven by events. Owns no clock, socket, thread
// or lock.
//
// Sections of this file: Actions, Router.
#pragma once

#include "control/gossip.h"
#include "control/limitshares.h"
#include "control/membership.h"
#include "control/outlierdetector.h"
#include "filters/attempt.h"
#include "filters/classify.h"
#include "filters/limiter.h"
#include "filters/placement.h"
#include "filters/queue.h"

#include <map>

namespace galenafold
{

// Actions

/// Tells the runtime to send an attempt to an endpoint.
struct StartAttempt {
    CallKey call{};
    int attempt = 0; // 1 for the first
    VmRecord endpoint;
    Tokens resumeFrom = 0; // tokens that the caller already has; the endpoint continues after them
    bool isHedge = false;
    Placement placement; // reason for this endpoint
};

/// Tells the runtime to abort an attempt.
struct CancelAttempt {
    CallKey call{};
    int attempt = 0;
};

/// Tells the runtime that the call ends without a complete response.
struct Refusal {
    CallKey call{};
    Reason reason = Reason::None;
    ExecutionStatus executionStatus = ExecutionStatus::No; // whether an endpoint may have executed the call
};

/// What the runtime must do after an event. The order does not matter.
struct Actions {
    std::vector<StartAttempt> starts;
    std::vector<CancelAttempt> cancels;
    std::vector<Refusal> refusals;
};

/// Running totals, for metrics and tests.
struct RouterCounts {
    std::int64_t arrivals = 0;
    std::int64_t firstAttempts = 0;
    std::int64_t retries = 0;
    std::int64_t hedges = 0;
    std::int64_t probes = 0;
    std::map<Reason, std::int64_t> refusals;
    std::map<PlacementReason, std::int64_t> placements;
};

// Router

/// Admits, queues and places calls, retries and hedges their attempts, and tracks the load of the fleet.
class Router
{
public:
    explicit Router(const Settings &settings);

    // Calls. The runtime assigns the keys and uses each one once.

    /// Counts an arrival and applies the contract's limits.
    /// @return Reason::None if the call is admitted, else why not
    Reason admit(Instant now, const Contract &contract);
    void cancelAdmission(const CustomerId &customer); ///< Releases an admitted call that is not going to be submitted.

    /// Queues an admitted call, then starts all queued calls that can run.
    /// @param weight the customer's share in the fair queue
    void submit(Instant now, const Call &call, double weight, Actions &actions);

    /// Marks the attempt as the winner and cancels the other attempts of its call.
    /// @param reused prompt tokens that the endpoint found in its prefix cache
    void onFirstByte(Instant now, CallKey call, int attempt, Tokens reused, Actions &actions);

    /// Ends the call when the response is complete; otherwise retries, resumes or fails it.
    void onAttemptEnded(Instant now, const AttemptReport &report, Actions &actions);
    void onCallerDisconnected(Instant now, CallKey call, Actions &actions); ///< Cancels the call and its attempts.
    void onTick(Instant now, Actions &actions);                             ///< Called every 10 ms.

    // State of endpoints and peers.

    void onVmList(Instant now, const std::vector<VmRecord> &list);
    void onLeaving(Instant now, const LeavingMark &mark);
    void onLoadReport(Instant now, const LoadReport &report);
    void onPrefixEvicted(const ChatId &chat, const VmId &endpoint); ///< The endpoint evicted the chat's prefix cache.
    void onGossip(Instant now, const GossipMessage &message);
    void onBeacon(Instant now, const LoadBeacon &beacon); ///< Updates the view with a peer's own calls in progress.

    /// @return the message for peers, with a bounded number of items; the control thread fills in the contract offset
    GossipMessage gossip(Instant now) const;

    /// @return own calls in progress, for all peers. Resets hasLoadChanged().
    LoadBeacon beacon();

    /// @return one beacon for each call that started, or ended ahead of time, since the last call of this function
    std::vector<LoadBeacon> takeStartNotices();

    bool hasLoadChanged() const { return m_hasLoadChanged; } ///< @return true if it changed since the last beacon

    const Membership &membership() const { return m_membership; }
    const LoadView &loads() const { return m_view; }
    const RouterCounts &counts() const { return m_counts; }
    const LimitShares &shares() const { return m_shares; }
    std::vector<VmId> peers() const { return m_peers; } ///< @return live entry VMs except this one
    std::size_t callsInProgress() const { return m_calls.size(); }
    std::size_t queued(Lane lane) const { return m_queue.size(lane); }

private:
    struct Attempt {
        int number = 0;
        EndpointIndex endpoint{};
        Instant sent{};
        Instant nextWaitCheck{};
        Tokens resumeFrom = 0;
        bool hasFirstByte = false;
        bool isProbe = false;
    };
    struct ActiveCall {
        Call call;
        double weight = 1;
        bool isQueued = false;
        bool mayHaveRun = false; // an endpoint may have executed an attempt that has ended
        bool isHedged = false;
        int attemptsMade = 0;
        Tokens relayed = 0;                  // tokens that the caller already has
        std::vector<Attempt> live;           // not ended
        std::vector<EndpointIndex> excluded; // endpoints where an attempt has failed
    };

    void drainQueue(Instant now, Actions &actions);
    bool tryStart(Instant now, ActiveCall &active, Actions &actions);
    Duration expectedFirstByte(const Call &call, EndpointIndex endpoint, Tokens reused) const;
    bool findByHash(std::uint32_t hash, EndpointIndex &index) const;
    bool tryProbe(Instant now, const ActiveCall &active, Placement &placement);
    void startAt(Instant now, ActiveCall &active, const Placement &placement, bool isHedge, Actions &actions);
    bool cancelStaleAttempts(Instant now, ActiveCall &active, Actions &actions);
    void retryOrFail(Instant now, ActiveCall &active, const AttemptReport &report, Actions &actions);
    void startOrRequeue(Instant now, ActiveCall &active, Actions &actions);
    void endCall(Instant now, CallKey key);
    void refuse(Instant now, ActiveCall &active, Reason reason, Actions &actions);
    void hedgeIfLate(Instant now, ActiveCall &active, Actions &actions);
    void checkWaiting(Instant now, ActiveCall &active);
    bool allowRetry(const ActiveCall &active);
    Reason failureReason(const ActiveCall &active, const AttemptReport &report, bool wasDenied) const;
    QueuedCall queuedCall(const ActiveCall &active) const;
    void onMembershipChanged();
    double workSeconds(Tokens prompt, Tokens output) const;
    std::chrono::milliseconds expectedTime(const Call &call) const;
    bool isBrief(const Call &call) const;
    void addStartNotice(const Call &call, EndpointIndex endpoint);
    void recordEnd(Instant now, const Attempt &attempt, const Call &call);
    void refreshPools(Instant now);
    static std::string classKey(const Call &call);

    Settings m_settings;
    Membership m_membership;
    LoadView m_view;
    Placer m_placer;
    FairQueue m_queue;
    Limiter m_limiter;
    LimitShares m_shares;
    OutlierDetector m_outlierDetector;
    PeerLoadTable m_peerLoads;
    OutputLengthEstimator m_lengths;
    AttemptTokenBucket m_retryBudget;
    AttemptTokenBucket m_hedgeBudget;
    std::vector<VmId> m_peers;
    std::map<std::uint32_t, VmId> m_endpointsByHash; // keyed by the hash that gossip and beacons use
    std::map<CallKey, ActiveCall> m_calls;
    RouterCounts m_counts;
    bool m_hasLoadChanged = false;
    std::uint32_t m_beaconNumber = 0;
    std::vector<StartNotice> m_startNotices;
    Instant m_nextExpiry{};
    Instant m_nextShareUpdate{};
};

} // namespace galenafold
