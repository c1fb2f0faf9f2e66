// How long a proof that the desired state was the newest allows what must not outlive a change of it.
//
// Load pattern: a key is taken away while this router is suspended, cut off, or turned away by the store. A reply
// proves the state as of the moment that its call was sent; whatever a change after that moment took away may still be
// honoured until the bound has passed since then, and no longer.
#pragma once

#include "galenafold/galenafold.h"

#include <algorithm>

namespace galenafold
{

class FreshnessProof
{
public:
    /// @param within bound between a change and its effect here; zero: none, any proof holds
    explicit FreshnessProof(Span within)
        : m_within(within)
    {
    }

    /// The state in force was the newest at that moment. An older proof than the one at hand changes nothing.
    void renew(Instant provedAt) { m_provedAt = std::max(m_provedAt, provedAt); }

    /// @return true if what the state allows may be done now
    bool holds(Instant now) const { return m_within == Span{} || now < m_provedAt + m_within - margin; }

    Instant provedAt() const { return m_provedAt; }

private:
    static constexpr Span margin = std::chrono::milliseconds(300); // for the way to a replica and coarse timers

    Span m_within;
    Instant m_provedAt{};
};

} // namespace galenafold
