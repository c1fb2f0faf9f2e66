// Replicas that get no requests of this router because their own answers said so, or because the operator evacuates
// their data centre.
//
// Load pattern: a replica announces in its answers that it will stop while the store is away, turns this router away,
// or still names the replica for a second or two. Every router keeps open connections to it, and the replica goes on to
// answer, so nothing but the announcement tells. The registry may lose its entry and name it again meanwhile.
//
// Load pattern: a replica in need turns requests away and names the time for which it wants none. All that it would
// have got goes to the others, and returns at once when the time is over, from every router and to every replica that
// named the same time; so each router comes back a little later by chance, and with one request at first.
//
// Load pattern: an operator empties a data centre before maintenance and fills it again, at times two of them or all.
// Its replicas are sound, answer, and hold connections and prompts; nothing but the operator's word keeps requests
// away, the first ones of a router that has just started, waiting ones and repeated ones as well. Requests that run
// there finish.
//
// What an answer holds is one run of a replica's process, whatever the registry says of it: the next run at the same
// address or under the same id gets requests again.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace galenafold
{

/// Why a replica gets no request now.
enum class ReplicaHold : std::uint8_t {
    None,
    Leaving,    // it will stop
    TurnedAway, // it named a time for which it wants none, or has just begun to take requests again
    Evacuated,  // the operator evacuates its data centre
};

/// Not thread-safe: used on the traffic thread. Runs of replicas are named by `incarnationHash`.
class ReplicaHolds
{
public:
    explicit ReplicaHolds(std::uint64_t seed);

    /// @param ownInFlight requests in progress from this router @param dataCentre of the replica
    /// @return why the replica gets none now
    ReplicaHold hold(Instant now, std::uint32_t incarnation, int ownInFlight,
                     const DataCentreId &dataCentre = {}) const;

    /// Sets the data centres that the operator evacuates. @return those that were evacuated until now
    std::set<DataCentreId> setEvacuated(std::set<DataCentreId> dataCentres);

    const std::set<DataCentreId> &evacuated() const { return m_evacuated; }
    bool isEvacuated(const DataCentreId &dataCentre) const { return m_evacuated.count(dataCentre) > 0; }

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
    std::set<DataCentreId> m_evacuated;
    std::unordered_map<std::uint32_t, TurnedAway> m_turnedAway;
    std::unordered_set<std::uint32_t> m_leaving; // kept for good: a run that leaves never takes requests again
    std::deque<std::uint32_t> m_leavingOrder;    // the same, oldest first
};

} // namespace galenafold
