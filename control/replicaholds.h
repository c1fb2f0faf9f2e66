// Replicas that get no requests of this router because their own answers said so.
//
// Load pattern: a replica announces in its answers that it will stop while the store is away, turns this router away,
// or still names the replica for a second or two. Every router keeps open connections to it, and the replica goes on to
// answer, so nothing but the announcement tells. The registry may lose its entry and name it again meanwhile.
//
// What is held is one run of a replica's process, whatever the registry says of it: the next run at the same address or
// under the same id gets requests again.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <unordered_set>

namespace galenafold
{

/// Not thread-safe: used on the traffic thread. Runs of replicas are named by `incarnationHash`.
class ReplicaHolds
{
public:
    /// An answer of the replica, or a peer, told that it will stop. @return true if that is news
    bool onLeaving(std::uint32_t incarnation);

    bool isLeaving(std::uint32_t incarnation) const { return m_leaving.count(incarnation) > 0; }

private:
    std::unordered_set<std::uint32_t> m_leaving; // kept for good: a run that leaves never takes requests again
    std::deque<std::uint32_t> m_order;           // the same, oldest first
};

} // namespace galenafold
