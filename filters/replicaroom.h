// Decides whether a replica can start one more request at once.
//
// Load pattern: demand exceeds what the replicas can serve, on a fleet of routers that each see a part of it. Requests
// that are sent on wait in the queues of the replicas until they are late, and the replicas then spend their time on
// late requests. So a replica gets what its batch takes, and a few more to start when places become free, as the
// routers hear of these with a delay.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

constexpr double noticeableSlowdown = 2.4; // a lower one may come from noisy neighbours on the same machine

/// Load of one replica, as far as it is known.
struct ReplicaOccupancy {
    int slots = 0;       // requests that it runs concurrently
    double load = 0;     // requests in progress there, estimated
    double slowdown = 1; // service time, as a multiple of the usual one
};

/// @return requests in progress up to which a replica is given more
double roomLimit(int slots);

/// @return `roomLimit` of a replica that is slowed down: it starts as many requests in the same time as a smaller one
double roomLimit(int slots, double slowdown);

/// @return the part of a `roomLimit` that waits at the replica
double backlogOf(double limit);

/// @return requests that the replica can start at once; negative if requests wait there
double room(const ReplicaOccupancy &occupancy);

/// Room of all replicas of a service, and what routers have in progress there, as one router knows it.
struct FleetRoom {
    double limit = 0;  // requests in progress up to which the replicas are given more
    double others = 0; // requests in progress from other routers
    double told = 0;   // from this router, when it last told the others
    int routers = 1;   // that send to the service
};

/// Other routers see the same room and use it before they hear of each other, so each uses its part of what is free,
/// and gives back its part of what is in excess. Its equal part of the limit is always its own.
/// @return requests that this router may have in progress at the service
double routerShare(const FleetRoom &room);

/// @param held tokens of the requests in progress there, estimated
/// @param memory tokens that the replica holds; 0: not known
/// @return true if a request of so many tokens fits in, and always at a replica that holds nothing: it fits nowhere
/// else
bool fitsMemory(Tokens request, Tokens held, Tokens memory);

/// @return how long a replica that has refused a request gets no other one. The time is short, so that a replica that
/// tells no load is used again soon after its queue has emptied, and doubles while it refuses what it is asked.
/// @param refusals in a row, from 1
Duration refusalPause(int refusals);

} // namespace galenafold
