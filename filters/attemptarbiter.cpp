// Which of a call's attempts may answer its caller.
#include "filters/attemptarbiter.h"

namespace galenafold
{

bool AttemptArbiter::tryWin(int attempt, Tokens resumeFrom)
{
    const bool isTaken = m_winner != 0 && m_winner != attempt;
    const bool fits = resumeFrom == m_relayed; // a late loser may not answer from the start again
    if (m_isClosed || m_isWhole || isTaken || !fits) {
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
    m_isWhole = m_isWhole || (m_winner == attempt && !m_isClosed);
    return m_isWhole;
}

void AttemptArbiter::onAttemptFailed(int attempt)
{
    if (m_winner == attempt && !m_isWhole) {
        m_winner = 0;
    }
}

void AttemptArbiter::close()
{
    m_isClosed = true;
}

} // namespace galenafold
