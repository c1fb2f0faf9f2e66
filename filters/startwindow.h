// Limits the requests of one service that this router has in progress, by what waits at the replicas.
//
// Load pattern: hundreds of routers fill the same replicas. What each knows of the others' requests is late by up to a
// second, so that all take the same places for free, and the replicas' queues grow though every router sends only where
// it sees room. The replicas' own reports tell of these queues. Each router then lets fewer of its requests be in
// progress, and slowly more again while hardly any wait: additive increase and multiplicative decrease, by which shares
// become alike without a message between routers, as those of TCP connections at one link do.
//
// Without requests waiting at replicas there is no limit.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

/// Not thread-safe: used on the traffic thread.
class StartWindow
{
public:
    bool mayStart() const { return !m_isLimited || m_inProgress < m_window; }
    void onSent() { ++m_inProgress; }
    void onEnded() { m_inProgress = m_inProgress > 0 ? m_inProgress - 1 : 0; }

    /// A response told the load of its replica.
    /// @param waiting requests in the replica's queue @param slots requests that it runs concurrently
    void onReport(Instant now, int waiting, int slots);

    double limit() const { return m_isLimited ? m_window : 0; } ///< @return requests in progress at most; 0: no limit

private:
    void narrow(Instant now);

    bool m_isLimited = false;
    double m_window = 0;
    int m_inProgress = 0;
    int m_reports = 0;          // since the last decrease
    double m_waitingShare = 0;  // requests in the queue of a replica, as a fraction of its slots, smoothed
    Instant m_nextDecreaseAt{}; // when responses may tell of the last decrease
};

} // namespace galenafold
