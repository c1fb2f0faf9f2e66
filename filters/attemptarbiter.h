// Decides which of a call's concurrent attempts may answer its caller.
//
// Load pattern: an endpoint is slow or fails, so a call gets a second attempt, hedged beside the first or after it. The
// first attempt that has bytes to relay wins and the others stop. When the winner breaks, an attempt that continues
// exactly at the relayed offset may take over, so the caller sees a single response.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

/// Picks one attempt at a time as the winner, whose response is relayed to the caller.
class AttemptArbiter
{
public:
    /// Offers the response of an attempt. @param attempt from 1 @param resumeFrom tokens that the attempt leaves out
    /// @return false: another attempt won
    bool tryWin(int attempt, Tokens resumeFrom);

    /// Reports bytes to be relayed. @param relayed tokens that the caller has including these bytes
    /// @return false: the attempt must stop
    bool relay(int attempt, Tokens relayed);

    /// An attempt has relayed its complete response. @return true if the caller has a complete response
    bool finishResponse(int attempt);

    void onAttemptFailed(int attempt); ///< The attempt failed; another may take over.
    void close();                      ///< The caller disconnected or was refused: no attempt may answer any more.

    bool hasWinner() const { return m_winner != 0; } ///< @return true if an attempt answers the caller or has done so
    bool isClosed() const { return m_isClosed; }
    bool isComplete() const { return m_isComplete; } ///< @return true if the complete response was relayed

private:
    int m_winner = 0;     // number of the attempt; 0: none
    Tokens m_relayed = 0; // tokens that the caller has
    bool m_isComplete = false;
    bool m_isClosed = false;
};

} // namespace galenafold
