// The newest desired state that other routers have in force, as a router that starts is told.
//
// Load pattern: the store comes back from a copy some seconds old, and routers start before the operator has written
// again what was lost. What such a router reads is proved to be the store's newest record, and is older than what the
// others have in force: API keys that were taken away are among it. The others never go back, so a router that starts
// serves by no state that is older than theirs. Their word counts for a limited time only: the operator may have
// meant to start afresh, and a datagram may be forged.
#pragma once

#include "control/routes.h"

#include <algorithm>

namespace galenafold
{

class NewestVersion
{
public:
    /// @param waitTime for which a version that others have is waited for
    explicit NewestVersion(Duration waitTime)
        : m_waitTime(waitTime)
    {
    }

    /// Another router has this version in force.
    void onTold(Instant now, DesiredStateVersion version)
    {
        if (version > m_told) {
            m_waitUntil = m_told < 0 ? now + m_waitTime : m_waitUntil;
            m_told = version;
        }
    }

    /// @return true if other routers have a newer state than this one, and it is still waited for
    bool isOutdated(Instant now, DesiredStateVersion version) const { return version < m_told && now < m_waitUntil; }

    Instant waitUntil() const { return m_waitUntil; }   ///< @return when the wait ends
    DesiredStateVersion told() const { return m_told; } ///< @return newest version told; -1: none

private:
    Duration m_waitTime;
    Instant m_waitUntil{};
    DesiredStateVersion m_told = -1; // -1: none
};

} // namespace galenafold
