// Bounded staleness of the desired state: how long after its last confirmation it may still be used to grant access.
//
// Load pattern: an API key is revoked while this router is suspended, partitioned from the store, or refused by it. A
// response of the store proves that the state was the newest when the request was sent. A permission that was revoked
// after that moment may be honoured until the bound has passed since then, and no longer.
#pragma once

#include "galenafold/galenafold.h"

#include <algorithm>

namespace galenafold
{

/// Time of the last confirmation that the state was the newest, with the bound on its age.
class FreshnessProof
{
public:
    /// @param maxStaleness maximum time from a change to its effect on this router; zero: unbounded
    explicit FreshnessProof(Duration maxStaleness)
        : m_maxStaleness(maxStaleness)
    {
    }

    /// Records that the state in use was the newest at `provedAt`. Ignored if a later confirmation is known.
    void renew(Instant provedAt) { m_provedAt = std::max(m_provedAt, provedAt); }

    /// @return true if the state is recent enough to grant access now
    bool isValid(Instant now) const
    {
        return m_maxStaleness == Duration{} || now < m_provedAt + m_maxStaleness - safetyMargin;
    }

    Instant provedAt() const { return m_provedAt; } ///< @return time of the last confirmation

private:
    /// Covers the network time to a replica, and coarse timers.
    static constexpr Duration safetyMargin = std::chrono::milliseconds(300);

    Duration m_maxStaleness;
    Instant m_provedAt{};
};

} // namespace galenafold
