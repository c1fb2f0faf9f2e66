// Limits the requests of one service that this router has in progress, by what waits at the replicas.
//
// Load pattern: hundreds of routers fill the same replicas. What each knows of the others' requests is late by up to a
// second, so that all take the same places for free, and the replicas' queues grow though every router sends only where
// it sees room. The replicas' own reports tell of these queues. Each router then lets fewer of its requests be in
// progress, and slowly more again while hardly any wait: additive increase and multiplicative decrease, by which shares
// become alike without a message between routers, as those of TCP connections at one link do.
//
// Requests of accounts over their share fill what is left of the window, and take no place in it from the others.
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
    /// @param isOverShare the request's account is over its share
    bool mayStart(bool isOverShare = false) const;
    void onSent(bool isOverShare = false);
    void onEnded(bool isOverShare = false); ///< @param isOverShare as in `onSent`

    /// A response told the load of its replica.
    /// @param waiting requests in the replica's queue @param slots requests that it runs concurrently
    void onReport(Instant now, int waiting, int slots);

    int inProgressOverShare() const { return m_inProgressOverShare; }
    double limit() const { return m_isLimited ? m_window : 0; } ///< @return requests in progress at most; 0: no limit

private:
    void narrow(Instant now);

    bool m_isLimited = false;
    double m_window = 0;
    int m_inProgress = 0;
    int m_inProgressOverShare = 0; // of these, of accounts over their share
    int m_reports = 0;             // since the last decrease
    double m_waitingShare = 0;     // requests in the queue of a replica, as a fraction of its slots, smoothed
    Instant m_nextDecreaseAt{};    // when responses may tell of the last decrease
};

} // namespace galenafold
