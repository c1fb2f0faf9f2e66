// Replicas that get no requests of this router because their own answers said so.
//
// Load pattern: a replica announces in its answers that it will stop while the store is away, turns this router away,
// or still names the replica for a second or two. Every router keeps open connections to it, and the replica goes on to
// answer, so nothing but the announcement tells. The registry may lose its entry and name it again meanwhile.
//
// Load pattern: a replica in need turns requests away and names the time for which it wants none. All that it would
// have got goes to the others, and returns at once when the time is over, from every router and to every replica that
// named the same time; so each router comes back a little later by chance, and with one request at first.
//
// What is held is one run of a replica's process, whatever the registry says of it: the next run at the same address or
// under the same id gets requests again.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace galenafold
{

/// Why a replica gets no request now.
enum class ReplicaHold : std::uint8_t {
    None,
    Leaving,    // it will stop
    TurnedAway, // it named a time for which it wants none, or has just begun to take requests again
};

/// Not thread-safe: used on the traffic thread. Runs of replicas are named by `incarnationHash`.
class ReplicaHolds
{
public:
    explicit ReplicaHolds(std::uint64_t seed);

    /// @param ownInFlight requests in progress from this router @return why the replica gets none now
    ReplicaHold hold(Instant now, std::uint32_t incarnation, int ownInFlight) const;

    /// An answer of the replica, or a peer, told that it will stop. @return true if that is news
    bool onLeaving(std::uint32_t incarnation);

    bool isLeaving(std::uint32_t incarnation) const { return m_leaving.count(incarnation) > 0; }

    /// The replica has turned a request away. @param retryAfter time for which it wants none
    /// @return true if it gets none for longer than before
    bool onTurnedAway(Instant now, std::uint32_t incarnation, Duration retryAfter);

    void onServed(Instant now, std::uint32_t incarnation); ///< The replica has answered a request well.

    /// @return when the time is over that the replica named; nothing if it names none now
    std::optional<Instant> turnedAwayUntil(Instant now, std::uint32_t incarnation) const;

    void expire(Instant now); ///< Forgets what is over. Call periodically.

private:
    struct TurnedAway {
        Instant until{};     // the end of the time that it named
        Instant returnsAt{}; // a little later, by chance
        int maxInFlight = 1; // from then on; doubles with each good answer
    };

    boost::random::mt19937_64 m_random;
    std::unordered_map<std::uint32_t, TurnedAway> m_turnedAway;
    std::unordered_set<std::uint32_t> m_leaving; // kept for good: a run that leaves never takes requests again
    std::deque<std::uint32_t> m_leavingOrder;    // the same, oldest first
};

} // namespace galenafold
