// The bounded pipe between the attempts of one call and the thread that answers its caller.
//
// The first attempt that offers a head wins; the others are told to stop. When the winner breaks, another attempt may
// take over at the relayed offset, and the caller sees one answer.
#pragma once

#include "clients/endpoint.h"
#include "galenafold/galenafold.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace galenafold
{

/// Why the caller gets an error instead.
struct CallRefusal {
    Reason reason = Reason::None;
    Run run = Run::No;
};

enum class Pulled : std::uint8_t {
    Data,   // bytes to relay
    Whole,  // the answer is complete
    Broken, // it will never be
    Idle,   // nothing came in the time given
};

class Exchange
{
public:
    // For attempts.

    /// @param resumeFrom tokens that the attempt leaves out. @return false: another attempt won
    bool offerHead(int attempt, const AnswerHead &head, Tokens resumeFrom);

    /// Blocks while the pipe is full. @param relayed tokens that the caller has with these bytes. @return false: stop
    bool push(int attempt, const std::string &bytes, Tokens relayed);
    void endWhole(int attempt);    ///< All bytes were pushed.
    void loseAttempt(int attempt); ///< The attempt broke; another may take over.

    // For the control thread.

    void refuse(const CallRefusal &refusal); ///< No attempt will follow.

    // For the caller's thread.

    std::optional<AnswerHead> waitHead(CallRefusal &refusal); ///< @return nothing when refused
    Pulled pull(std::string &bytes, Instant waitUntil);
    void abandon(); ///< The caller hung up.

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<AnswerHead> m_head;
    std::optional<CallRefusal> m_refusal;
    std::string m_bytes;
    int m_winner = 0;
    Tokens m_relayed = 0;
    bool m_isWhole = false;
    bool m_isAbandoned = false;
};

} // namespace galenafold
