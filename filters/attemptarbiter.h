// Which of a call's attempts may answer its caller.
//
// Load pattern: an endpoint is late or breaks, so a call has a second attempt beside the first or after it. The first
// one with a head to offer answers, the others stop; when it breaks, one that goes on where the caller's answer stands
// may take over, so the caller sees one answer.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

class AttemptArbiter
{
public:
    /// @param attempt from 1 @param resumeFrom tokens that the attempt leaves out @return false: another attempt won
    bool tryWin(int attempt, Tokens resumeFrom);

    /// @param relayed tokens that the caller has with these bytes @return false: the attempt must stop
    bool relay(int attempt, Tokens relayed);

    bool finishResponse(int attempt);  ///< All of the answer was relayed. @return true if it is the caller's answer
    void onAttemptFailed(int attempt); ///< The attempt broke; another may take over.
    void close();                      ///< The caller has left, or was refused: no attempt may answer any more.

    bool hasWinner() const { return m_winner != 0; } ///< @return true while an attempt answers the caller, or has
    bool isClosed() const { return m_isClosed; }
    bool isWhole() const { return m_isWhole; }

private:
    int m_winner = 0; // 0: none
    Tokens m_relayed = 0;
    bool m_isWhole = false;
    bool m_isClosed = false;
};

} // namespace galenafold
