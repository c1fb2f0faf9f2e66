// Tells from when until when a replica warms up.
#include "control/warmups.h"

#include <algorithm>

namespace galenafold
{

WarmUps::WarmUps(ReplicaRateLimits &limits)
    : m_limits(limits)
{
}

void WarmUps::setServices(const std::unordered_map<ServiceId, ServiceSpec> &services)
{
    m_services.clear();
    for (const auto &[id, service] : services) {
        if (service.warmUp.perSecond > 0) {
            m_services[id] = service.warmUp;
        }
    }
}

void WarmUps::onEntry(Instant now, const WarmingReplica &replica, Instant warmUntil)
{
    const auto service = m_services.find(replica.service);
    if (service != m_services.end()) {
        m_limits.setWarmUp(now, replica.nameHash, service->second.perSecond, warmUntil);
    }
}

void WarmUps::onStarted(Instant now, const WarmingReplica &replica)
{
    const auto service = m_services.find(replica.service);
    if (service != m_services.end()) {
        onEntry(now, replica, now + service->second.duration);
    }
}

void WarmUps::onUnreachable(Instant now, const WarmingReplica &replica, Instant avoidUntil)
{
    const auto service = m_services.find(replica.service);
    if (service != m_services.end()) {
        onEntry(now, replica, std::max(now, avoidUntil) + service->second.duration);
    }
}

} // namespace galenafold
