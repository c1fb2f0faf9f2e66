// Tells from when until when a replica warms up, and limits what it gets meanwhile to its service's rate.
//
// Load pattern: a replica that has just started reads models and fills its caches, and breaks down if it gets its usual
// share of requests at once. Replicas start one by one in a release, or all of a data centre together: after a power
// cut, or when the operator takes an evacuation back. Every router sees an idle replica then, and the prompts that
// belong to it return to it from everywhere.
//
// A registry entry tells how long its replica still warms up, but it is read late. What shows earlier, or while the
// entry is on its way, counts as a start as well: another start time in the entry, the end of an evacuation, a replica
// that did not accept connections. Each can only prolong a warm-up; it ends by its time.
#pragma once

#include "control/ratelimits.h"
#include "control/routes.h"

namespace galenafold
{

/// A replica as the decisions about its warm-up see it.
struct WarmingReplica {
    std::uint32_t nameHash = 0; // as in messages between routers
    ServiceId service;
};

/// Not thread-safe: used on the traffic thread. Services without a rate have no warm-ups.
class WarmUps
{
public:
    explicit WarmUps(ReplicaRateLimits &limits);

    void setServices(const std::unordered_map<ServiceId, ServiceSpec> &services); ///< Sets the rates in force.

    /// @param warmUntil as the replica's registry entry tells; the past: it does not warm up
    void onEntry(Instant now, const WarmingReplica &replica, Instant warmUntil);

    void onStarted(Instant now, const WarmingReplica &replica); ///< It may have started at any time up to now.

    /// It did not accept a connection, and may start again while it is avoided.
    void onUnreachable(Instant now, const WarmingReplica &replica, Instant avoidUntil);

private:
    ReplicaRateLimits &m_limits;
    std::unordered_map<ServiceId, WarmUpSpec> m_services; // with a rate
};

} // namespace galenafold
