// Fifth filter: which endpoint? A chat goes back to the one that holds its context, as long as load allows.
//
// Sections of this file: Placement, Recent chats, Placer.
//
// Order of candidates: the caller's hint, then the endpoint that served the chat here, then the chat's own rendezvous
// order. Each chat spills along its own order, so that overflow spreads. Every router computes the same order.
#pragma once

#include "control/loadview.h"
#include "filters/limiter.h"

#include <boost/random/mersenne_twister.hpp>

namespace galenafold
{

// Placement

enum class PlacementReason : std::uint8_t { Hint, Recent, Home, Spill, LeastLoaded, Probe };
const char *text(PlacementReason by);

enum class Verdict : std::uint8_t {
    Go,   // send to `endpoint`
    Wait, // stay queued: room will come sooner or cheaper than elsewhere
    None, // no live endpoint serves the pool, or all were excluded
};

/// What was decided, and the figures behind it (for traces).
struct Placement {
    Verdict verdict = Verdict::None;
    EndpointIndex endpoint{};
    PlacementReason by = PlacementReason::Home;
    double load = 0;         // estimated calls in progress at the endpoint before this one
    double bound = 0;        // most that it may carry
    int considered = 0;      // candidates looked at
    bool isBorrowed = false; // a long slot beyond this router's part
};

// Recent chats

/// Who served a chat last, as seen by this router. Bounded: two generations, the older one is dropped.
class RecentChats
{
public:
    explicit RecentChats(int capacity);
    void put(std::uint64_t chatHash, EndpointIndex endpoint);
    bool find(std::uint64_t chatHash, EndpointIndex &endpoint) const;
    void forget(std::uint64_t chatHash, EndpointIndex endpoint); ///< The endpoint dropped the chat's context.

private:
    std::size_t m_half;
    std::unordered_map<std::uint64_t, EndpointIndex> m_young;
    std::unordered_map<std::uint64_t, EndpointIndex> m_old;
};

// Placer

class Placer
{
public:
    Placer(const PlacementSettings &placement, const QueueSettings &queue, std::uint64_t seed);

    void setPosition(const FleetPosition &position) { m_position = position; }

    /// Decides where a call goes now. @param excluded endpoints that already failed this call.
    Placement choose(Instant now, const Call &call, const LoadView &view, const std::vector<EndpointIndex> &excluded);

    void onStarted(const Placement &placement); ///< The placement was used.
    void onServed(const ChatId &chat, EndpointIndex endpoint);
    void onContextEvicted(const ChatId &chat, EndpointIndex endpoint); ///< From a cache event; late ones only refine.

    /// @return calls that the endpoint may carry; `load` of it counts this one already
    double boundOf(const EndpointLoad &endpoint, const Pool &pool, const LoadView &view) const;

private:
    struct Candidate {
        EndpointIndex endpoint{};
        PlacementReason by = PlacementReason::Home;
    };
    struct Room {                // what stands against one candidate
        bool hasSlot = false;    // of the call's lane, free now
        bool hasBacklog = false; // or soon
        bool isBorrowed = false; // a long slot beyond this router's part
        bool isInBound = false;  // of the mean
        double load = 0;
        double bound = 0;
    };

    std::vector<Candidate> candidates(const Call &call, const LoadView &view) const;
    void addRendezvous(const Call &call, const Pool &pool, const LoadView &view, std::vector<Candidate> &list) const;
    Room roomAt(const Call &call, const EndpointLoad &endpoint, const Pool &pool, const LoadView &view);
    bool isAffinityWorthless(const Call &call) const;
    bool worthWaiting(const Call &call, const EndpointLoad &home) const;
    bool spillsEarly(const Room &room);
    double longSlots(const EndpointLoad &endpoint) const;
    bool isLongBorrowed(const EndpointLoad &endpoint) const;
    void earnBorrow(Instant now, const Pool &pool, bool isViewComplete);
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
    BorrowBudget m_borrow; // long calls that may start beyond the part
    boost::random::mt19937_64 m_random;
};

} // namespace galenafold
