// One router's decisions: all filters in a row, as a function of events. Owns no clock, socket, thread or lock.
//
// Sections of this file: Actions, Router.
#pragma once

#include "control/gossip.h"
#include "control/limitshares.h"
#include "control/membership.h"
#include "control/outlierdetector.h"
#include "filters/attempt.h"
#include "filters/classify.h"
#include "filters/limit.h"
#include "filters/place.h"
#include "filters/queue.h"

#include <map>

namespace galenafold
{

// Actions

struct StartAttempt {
    CallKey call{};
    int attempt = 0; // 1 for the first
    VmRecord endpoint;
    Tokens resumeFrom = 0; // tokens that the caller already has
    bool isHedge = false;
    Placement placement; // why there
};

struct CancelAttempt {
    CallKey call{};
    int attempt = 0;
};

/// The call ends without a whole answer.
struct Refusal {
    CallKey call{};
    Reason reason = Reason::None;
    Run run = Run::No;
};

/// What the shell must do after an event, in any order.
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
    std::map<PlacedBy, std::int64_t> placements;
};

// Router

class Router
{
public:
    explicit Router(const Settings &settings);

    // Calls. Keys are the shell's; a key is used once.

    /// Counts an arrival and applies the contract's limits. @return why not, or Reason::None.
    Reason admit(Instant now, const Contract &contract);
    void cancelAdmission(const CustomerId &customer); ///< Ends an admitted call that is never submitted.

    /// Queues an admitted call, and starts what can start.
    void submit(Instant now, const Call &call, double weight, Actions &actions);

    /// The attempt won; others end. @param reused prompt tokens that the endpoint still had
    void onFirstByte(Instant now, CallKey call, int attempt, Tokens reused, Actions &actions);
    void onAttemptEnded(Instant now, const AttemptReport &report, Actions &actions);
    void onCallerGone(Instant now, CallKey call, Actions &actions);
    void onTick(Instant now, Actions &actions); ///< Some hundred times a second.

    // What is known of others.

    void onVmList(Instant now, const std::vector<VmRecord> &list);
    void onLeaving(Instant now, const LeavingMark &mark);
    void onLoadReport(Instant now, const LoadReport &report);
    void onContextLost(const ChatId &chat, const VmId &endpoint);
    void onGossip(Instant now, const GossipMessage &message);
    void onBeacon(Instant now, const LoadBeacon &beacon); ///< A peer's own calls in progress.

    /// @return what to tell peers, within the byte limit of a message; contract offset left to the caller
    GossipMessage gossip(Instant now) const;

    /// @return own calls in progress, for all peers; the change that it tells is then taken as told
    LoadBeacon beacon();
    std::vector<LoadBeacon> takeStartNotices(); ///< @return starts, and early ends, since the last time; a beacon each
    bool hasLoadChanged() const { return m_hasLoadChanged; } ///< @return true since the last beacon

    const Membership &membership() const { return m_membership; }
    const LoadView &loads() const { return m_view; }
    const RouterCounts &counts() const { return m_counts; }
    const LimitShares &shares() const { return m_shares; }
    std::vector<VmId> peers() const { return m_peers; } ///< @return live entry VMs but this one
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
    struct Active {
        Call call;
        double weight = 1;
        bool isQueued = false;
        bool mayHaveRun = false; // some ended attempt may have been executed
        bool isHedged = false;
        int attemptsMade = 0;
        Tokens relayed = 0;
        std::vector<Attempt> live;
        std::vector<EndpointIndex> excluded;
    };

    void drainQueue(Instant now, Actions &actions);
    bool tryStart(Instant now, Active &active, Actions &actions);
    Span dueFirstByte(const Call &call, EndpointIndex endpoint, Tokens reused) const;
    bool slotByHash(std::uint32_t hash, EndpointIndex &slot) const;
    bool tryProbe(Instant now, const Active &active, Placement &placement);
    void startAt(Instant now, Active &active, const Placement &placement, bool isHedge, Actions &actions);
    bool dropUseless(Instant now, Active &active, Actions &actions);
    void goOn(Instant now, Active &active, const AttemptReport &report, Actions &actions);
    void startAgain(Instant now, Active &active, Actions &actions);
    void endCall(Instant now, CallKey key);
    void refuse(Instant now, Active &active, Reason reason, Actions &actions);
    void hedgeLate(Instant now, Active &active, Actions &actions);
    void checkWaiting(Instant now, Active &active);
    bool allowRetry(const Active &active);
    Reason reasonAfter(const Active &active, const AttemptReport &report, bool wasDenied) const;
    QueuedCall queuedCall(const Active &active) const;
    void onMembershipChanged();
    double workSeconds(Tokens prompt, Tokens output) const;
    std::chrono::milliseconds expectedTime(const Call &call) const;
    bool isBrief(const Call &call) const;
    void noteStarted(const Call &call, EndpointIndex endpoint);
    void noteEnded(Instant now, const Attempt &attempt, const Call &call);
    void refreshPools(Instant now);
    static std::string classKey(const Call &call);

    Settings m_settings;
    Membership m_membership;
    LoadView m_view;
    Placer m_placer;
    FairQueue m_queue;
    Limiter m_limiter;
    LimitShares m_shares;
    OutlierDetector m_slowness;
    PeerLoadTable m_peerLoads;
    LearntLengths m_lengths;
    AttemptBudget m_retryBudget;
    AttemptBudget m_hedgeBudget;
    std::vector<VmId> m_peers;
    std::map<std::uint32_t, VmId> m_endpointNames; // by hash, as gossip names them
    std::map<CallKey, Active> m_calls;
    RouterCounts m_counts;
    bool m_hasLoadChanged = false;
    std::uint32_t m_beacons = 0;
    std::vector<StartNotice> m_starts;
    Instant m_nextSecond{};
    Instant m_nextShares{};
};

} // namespace galenafold
