// Estimates how many routers share a limit that holds for the whole fleet.
//
// Load pattern: a hundred routers each use their part of a fleet-wide limit. Routers restart, join, leave, and lose
// contact; parts that are too large add up to more than the limit, so the estimate may be too high but not too low.
#pragma once

#include "galenafold/galenafold.h"

#include <algorithm>

namespace galenafold
{

/// Upper estimate of the number of routers, this one included, from the peers that it knows.
class FleetSizeEstimate
{
public:
    /// @param isAlone true if there are no other routers: no seeds, or only this router's own address
    explicit FleetSizeEstimate(bool isAlone)
        : m_routers(isAlone ? 1 : 0)
    {
    }

    /// Call periodically. @param knownPeers routers to which this one sends beacons, heard or not
    /// @param heardPeers of these, routers that were heard recently
    void observe(Instant now, int knownPeers, int heardPeers)
    {
        if (heardPeers == 0) {
            return; // the peers known from seeds alone say nothing about the fleet
        }
        const int routers = knownPeers + 1;
        if (routers >= m_routers || now >= m_observedAt + memory) {
            m_routers = routers;
            m_observedAt = now;
        }
    }

    int routers() const { return m_routers; } ///< @return the highest recent number of routers; 0: not known yet

private:
    /// Outlasts the loss of contact with peers, of which a router notices nothing but that they are silent.
    static constexpr auto memory = std::chrono::seconds(60);

    int m_routers;
    Instant m_observedAt{};
};

} // namespace galenafold
