// Decides which of a call's attempts may answer its caller.
#include "filters/race.h"

namespace galenafold
{

bool AnswerRace::offer(int attempt, Tokens resumeFrom)
{
    const bool isTaken = m_winner != 0 && m_winner != attempt;
    const bool fits = resumeFrom == m_relayed; // a losing attempt that responds late must not start over
    if (m_isClosed || m_isWhole || isTaken || !fits) {
        return false;
    }
    m_winner = attempt;
    return true;
}

bool AnswerRace::relay(int attempt, Tokens relayed)
{
    if (m_isClosed || m_winner != attempt) {
        return false;
    }
    m_relayed = relayed;
    return true;
}

bool AnswerRace::endWhole(int attempt)
{
    m_isWhole = m_isWhole || (m_winner == attempt && !m_isClosed);
    return m_isWhole;
}

void AnswerRace::lose(int attempt)
{
    if (m_winner == attempt && !m_isWhole) {
        m_winner = 0;
    }
}

void AnswerRace::close()
{
    m_isClosed = true;
}

} // namespace galenafold
