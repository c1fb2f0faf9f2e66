// Fifth filter: selects the endpoint. A chat returns to the endpoint that has its context cached, as far as load
// allows.
//
// Sections of this file: Placement, Recent chats, Placer.
//
// Order of candidates: the caller's hint, the endpoint that last served the chat through this router, then the chat's
// own rendezvous order. Each chat spills along its own order, so that overflow spreads over the pool. Every router
// computes the same order.
#pragma once

#include "control/loadview.h"
#include "filters/limiter.h"

#include <boost/random/mersenne_twister.hpp>

namespace galenafold
{

// Placement

/// Reason for choosing an endpoint.
enum class PlacementReason : std::uint8_t {
    Hint,        // the caller's hint names it
    Recent,      // it last served the chat through this router
    Home,        // first in the chat's rendezvous order
    Spill,       // a later candidate: the preferred one has no room
    LeastLoaded, // least loaded of the pool or of a sample
    Probe        // ejected as slow and due for a probe
};

const char *text(PlacementReason placementReason); ///< @return the name used in logs, traces and metrics

enum class PlacementAction : std::uint8_t {
    Send, // send to `endpoint`
    Wait, // stay queued: waiting is expected to cost less than another endpoint, or no endpoint has room
    None, // no live endpoint serves the pool, or all were excluded
};

/// A placement decision and the values behind it, for traces.
struct Placement {
    PlacementAction action = PlacementAction::None;
    EndpointIndex endpoint{};
    PlacementReason placementReason = PlacementReason::Home;
    double load = 0;         // estimated calls in progress at the endpoint, without this one
    double bound = 0;        // maximum number of calls there, this one included
    int considered = 0;      // candidates examined
    bool isBorrowed = false; // uses a long-lane slot beyond this router's share
};

// Recent chats

/// Endpoint that last served each chat through this router. Bounded: when the younger of two generations is full, the
/// older one is dropped.
class RecentChats
{
public:
    explicit RecentChats(int capacity);
    void put(std::uint64_t chatHash, EndpointIndex endpoint);
    bool find(std::uint64_t chatHash, EndpointIndex &endpoint) const;
    void forget(std::uint64_t chatHash, EndpointIndex endpoint); ///< The endpoint evicted the chat's context.

private:
    std::size_t m_generationCapacity;
    std::unordered_map<std::uint64_t, EndpointIndex> m_young;
    std::unordered_map<std::uint64_t, EndpointIndex> m_old;
};

// Placer

/// Selects the endpoint for each call. Deterministic for a given seed and sequence of calls.
class Placer
{
public:
    Placer(const PlacementSettings &placement, const QueueSettings &queue, std::uint64_t seed);

    void setPosition(const FleetPosition &position) { m_position = position; }

    /// Decides where a call goes now. @param excluded endpoints that already failed this call.
    Placement choose(Instant now, const Call &call, const LoadView &view, const std::vector<EndpointIndex> &excluded);

    void onStarted(const Placement &placement);                ///< A call was started with this placement.
    void onServed(const ChatId &chat, EndpointIndex endpoint); ///< The endpoint has begun to answer a call of the chat.

    /// The endpoint evicted the chat's context. Until this is called, the chat's calls still go there and recompute it.
    void onPrefixEvicted(const ChatId &chat, EndpointIndex endpoint);

    /// @return maximum number of calls at the endpoint, the one to be placed included
    double maxLoad(const EndpointLoad &endpoint, const Pool &pool, const LoadView &view) const;

private:
    struct Candidate {
        EndpointIndex endpoint{};
        PlacementReason placementReason = PlacementReason::Home;
    };
    struct Headroom {               // free capacity of one candidate for a call
        bool hasSlot = false;       // a slot of the call's lane is free now
        bool hasBacklog = false;    // a slot is free or the backlog has room
        bool isBorrowed = false;    // a long-lane slot beyond this router's share
        bool isWithinBound = false; // load with this call does not exceed `bound`
        double load = 0;
        double bound = 0;
    };

    std::vector<Candidate> candidates(const Call &call, const LoadView &view) const;
    void addRendezvousOrder(const Call &call, const Pool &pool, const LoadView &view,
                            std::vector<Candidate> &list) const;
    Headroom headroomAt(const Call &call, const EndpointLoad &endpoint, const Pool &pool, const LoadView &view);
    bool isAffinityNegligible(const Call &call) const;
    bool isWaitCheaper(const Call &call, const EndpointLoad &preferred) const;
    bool spillsEarly(const Headroom &headroom);
    double longSlots(const EndpointLoad &endpoint) const;
    bool isLongBorrowed(const EndpointLoad &endpoint) const;
    void replenishBorrowBudget(Instant now, const Pool &pool, bool isViewComplete);
    Placement chooseForChat(const Call &call, const Pool &pool, const LoadView &view,
                            const std::vector<EndpointIndex> &excluded);
    Placement chooseLeastLoaded(const Call &call, const Pool &pool, const LoadView &view,
                                const std::vector<EndpointIndex> &excluded);
    Placement chooseNaively(const Call &call, const Pool &pool, const LoadView &view,
                            const std::vector<EndpointIndex> &excluded);
    double uniform();

    PlacementSettings m_settings;
    QueueSettings m_queue;
    FleetPosition m_position;
    RecentChats m_recent;
    BorrowBudget m_borrowBudget; // long calls that may start beyond this router's share
    boost::random::mt19937_64 m_random;
};

} // namespace galenafold
