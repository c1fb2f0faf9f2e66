// Whether requests that come right after the start wait.
#include "filters/startupgate.h"

namespace galenafold
{

StartupGate::Verdict StartupGate::verdict(Instant now) const
{
    const bool isKnown = m_hasDesiredState && m_hasReplicas;
    const bool isHopeless = m_hasStoreFailed || now >= m_waitUntil;
    return isKnown || isHopeless ? Verdict::GoOn : Verdict::Wait;
}

} // namespace galenafold
