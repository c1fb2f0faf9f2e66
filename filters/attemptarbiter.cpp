// Decides which of a call's attempts may answer its caller.
#include "filters/attemptarbiter.h"

namespace galenafold
{

bool AttemptArbiter::tryWin(int attempt, Tokens resumeFrom)
{
    const bool isTaken = m_winner != 0 && m_winner != attempt;
    const bool resumesAtOffset = resumeFrom == m_relayed; // a losing attempt that responds late must not start over
    if (m_isClosed || m_isComplete || isTaken || !resumesAtOffset) {
        return false;
    }
    m_winner = attempt;
    return true;
}

bool AttemptArbiter::relay(int attempt, Tokens relayed)
{
    if (m_isClosed || m_winner != attempt) {
        return false;
    }
    m_relayed = relayed;
    return true;
}

bool AttemptArbiter::finishResponse(int attempt)
{
    m_isComplete = m_isComplete || (m_winner == attempt && !m_isClosed);
    return m_isComplete;
}

void AttemptArbiter::onAttemptFailed(int attempt)
{
    if (m_winner == attempt && !m_isComplete) {
        m_winner = 0;
    }
}

void AttemptArbiter::close()
{
    m_isClosed = true;
}

} // namespace galenafold
