// Decides whether requests that arrive right after the start wait.
#include "filters/startupgate.h"

namespace galenafold
{

StartupGate::Verdict StartupGate::verdict(Instant now) const
{
    const bool isPeersWaitOver = m_knowsBlocks || now >= m_waitForPeersUntil;
    const bool isStateKnown = m_hasDesiredState && m_hasReplicas && isPeersWaitOver;
    const bool isWaitOver = m_hasStoreFailed || now >= m_waitUntil;
    return isStateKnown || isWaitOver ? Verdict::Proceed : Verdict::Wait;
}

} // namespace galenafold
