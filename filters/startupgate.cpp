// Decides whether requests that arrive right after the start wait.
#include "filters/startupgate.h"

namespace galenafold
{

StartupGate::Verdict StartupGate::verdict(Instant now) const
{
    const bool isKnown = m_hasDesiredState && m_hasReplicas;
    const bool hasGivenUp = m_hasStoreFailed || now >= m_waitUntil;
    return isKnown || hasGivenUp ? Verdict::Proceed : Verdict::Wait;
}

} // namespace galenafold
