// Decides whether requests that arrive right after the start of this router wait or proceed.
//
// Load pattern: all routers are killed at the same moment, and callers reconnect within milliseconds, before the store
// has returned the desired state and the replicas. The store answers in about 20 ms, while a refusal costs each caller
// a quarter of a second and one of its few retries. So requests wait for the store's first answers, but only for a
// short time, and not at all once the store has failed to answer: it is then unknown when they could be served.
//
// A router that restarts does not know which prompts crash replicas, while its peers and the store do. Peers answer its
// first beacon at once, so requests wait for that too, for a shorter time: the peers may be gone or starting as well.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

/// Tracks what the store and the peers have answered since the start.
class StartupGate
{
public:
    enum class Verdict : std::uint8_t {
        Proceed, // route the request by the state known so far, or refuse it
        Wait,    // until the state changes, or until `waitUntil`
    };

    void onStart(Instant waitUntil, Instant waitForPeersUntil)
    {
        m_waitUntil = waitUntil;
        m_waitForPeersUntil = waitForPeersUntil;
    }
    void onDesiredState() { m_hasDesiredState = true; }
    void onReplicas() { m_hasReplicas = true; }
    void onBlocksKnown() { m_knowsBlocks = true; }
    void onStoreLost() { m_hasStoreFailed = true; }

    Verdict verdict(Instant now) const;
    Instant nextDeadline(Instant now) const { return now < m_waitForPeersUntil ? m_waitForPeersUntil : m_waitUntil; }

private:
    Instant m_waitUntil{};
    Instant m_waitForPeersUntil{};
    bool m_hasDesiredState = false;
    bool m_hasReplicas = false;
    bool m_knowsBlocks = false; // a peer or the store has told them, or there is no peer
    bool m_hasStoreFailed = false;
};

} // namespace galenafold
