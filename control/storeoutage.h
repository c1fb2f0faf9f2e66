// The last outage of the store, as far as a router can tell from its own reads and from what other routers say.
//
// Load pattern: the store is silent for a part of the routers, in turns, while replicas go on to write to it and leave.
// Each of these routers tells its neighbours that the store has come back. To a router that believes them, entries that
// are removed meanwhile may have expired for want of heartbeats, so it goes on to use the replicas for a grace period.
// A router whose own knowledge has no gap knows that there was no outage: to it a removed entry means that the replica
// has left.
#pragma once

#include "control/topicconsumer.h"

namespace galenafold
{

/// Kept for each topic that is followed.
class StoreOutage
{
public:
    explicit StoreOutage(const TopicSettings &reading);

    void onProof(Instant provedAt); ///< The topic was known completely as of then, from the store or another router.

    bool onLost(); ///< The store cannot be read. @return true if that is news
    void onRegained(Instant returnedAt);

    /// Another router tells that the store came back.
    /// @return true if that ended an outage that this router has not noticed: it followed a router that had lost the
    /// store
    bool hasMissed(Instant now, Instant returnedAt) const;

    bool isLost() const { return m_isLost; }
    Instant returnedAt() const { return m_returnedAt; } ///< @return when the store came back after it was last lost

private:
    Duration m_maxGap; // between two proofs; a router that reads the store itself would not notice a shorter outage
    Instant m_provedAt{};
    Instant m_returnedAt{};
    bool m_isLost = false;
};

} // namespace galenafold
