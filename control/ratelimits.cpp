// Rates of requests that replicas ask not to be exceeded.
#include "control/ratelimits.h"

#include <cmath>

namespace galenafold
{

constexpr double noticeableChange = 0.1;                     // of a limit
constexpr auto reorderTime = std::chrono::milliseconds(100); // by which answers over several connections overtake

bool ReplicaRateLimits::onAnswer(Instant now, std::uint32_t replica, std::optional<double> perSecond)
{
    const auto known = m_limits.find(replica);
    if (!perSecond) {
        const bool hasEnded = known != m_limits.end() && now >= known->second.namedAt + reorderTime;
        if (hasEnded) {
            m_limits.erase(known);
        }
        return hasEnded;
    }
    if (known == m_limits.end()) {
        m_limits[replica] = {*perSecond, now};
        return true;
    }
    Limit &limit = known->second;
    limit.namedAt = now;
    const bool hasChanged = std::abs(*perSecond - limit.perSecond) > noticeableChange * limit.perSecond;
    limit.perSecond = *perSecond;
    return hasChanged;
}

std::optional<double> ReplicaRateLimits::limit(std::uint32_t replica) const
{
    const auto known = m_limits.find(replica);
    return known == m_limits.end() ? std::nullopt : std::optional<double>(known->second.perSecond);
}

} // namespace galenafold
