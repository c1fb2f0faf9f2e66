// What keeps a load balancer's requests away from replicas besides their load: warm-ups and evacuated data centres.
#include "filters/loadbalancer.h"

namespace galenafold
{

static WarmingReplica warmingReplica(const EndpointState &state)
{
    return {state.nameHash, state.record.service};
}

/// @param hasStarted true if the entry tells of another run of a replica that was known
void LoadBalancer::noteEntry(Instant now, const EndpointState &state, bool hasStarted)
{
    if (hasStarted) {
        m_warmUps.onStarted(now, warmingReplica(state));
    }
    m_warmUps.onEntry(now, warmingReplica(state), state.record.warmUntil);
}

void LoadBalancer::setServices(Instant now, const std::unordered_map<ServiceId, ServiceSpec> &services)
{
    m_warmUps.setServices(services);
    for (const auto &[id, state] : m_endpoints) {
        noteEntry(now, state, false);
    }
}

void LoadBalancer::setEvacuated(Instant now, std::set<DataCentreId> dataCentres)
{
    const std::set<DataCentreId> ended = m_holds.setEvacuated(std::move(dataCentres));
    for (const auto &[id, state] : m_endpoints) {
        if (ended.count(state.record.dataCentre) > 0) {
            m_warmUps.onStarted(now, warmingReplica(state));
        }
    }
}

/// @param choice counts the replica as one that gets enough already
void LoadBalancer::countLimited(Instant now, const EndpointState &state, ReplicaChoice &choice) const
{
    const bool isWarming = m_rateLimits.isWarmingUp(now, state.nameHash);
    ++(isWarming ? choice.skippedWarming : choice.skippedLimited);
}

} // namespace galenafold
