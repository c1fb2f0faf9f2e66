// A bounded pipe with one winner.
#include "shell/exchange.h"

namespace galenafold
{

constexpr std::size_t pipeBytes = 64 * 1024;

bool Exchange::offerHead(int attempt, const AnswerHead &head, Tokens resumeFrom)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool isTaken = m_winner != 0 && m_winner != attempt;
    const bool fits = resumeFrom == m_relayed; // a late loser may not answer from the start again
    if (m_isAbandoned || m_refusal || m_isWhole || isTaken || !fits) {
        return false;
    }
    m_winner = attempt;
    if (!m_head) {
        m_head = head;
    }
    m_changed.notify_all();
    return true;
}

bool Exchange::push(int attempt, const std::string &bytes, Tokens relayed)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_bytes.size() < pipeBytes || m_isAbandoned; });
    if (m_isAbandoned || m_winner != attempt) {
        return false;
    }
    m_bytes += bytes;
    m_relayed = relayed;
    m_changed.notify_all();
    return true;
}

void Exchange::endWhole(int attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_winner == attempt) {
        m_isWhole = true;
        m_changed.notify_all();
    }
}

void Exchange::loseAttempt(int attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_winner == attempt && !m_isWhole) {
        m_winner = 0;
    }
}

void Exchange::refuse(const CallRefusal &refusal)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_refusal = refusal;
    m_changed.notify_all();
}

std::optional<AnswerHead> Exchange::waitHead(CallRefusal &refusal)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_head || m_refusal; });
    if (!m_head) {
        refusal = *m_refusal;
    }
    return m_head;
}

Pulled Exchange::pull(std::string &bytes, Instant waitUntil)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_until(lock, waitUntil, [this] { return !m_bytes.empty() || m_isWhole || m_refusal; });
    if (!m_bytes.empty()) {
        bytes.swap(m_bytes);
        m_bytes.clear();
        m_changed.notify_all();
        return Pulled::Data;
    }
    if (m_isWhole) {
        return Pulled::Whole;
    }
    return m_refusal ? Pulled::Broken : Pulled::Idle;
}

void Exchange::abandon()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isAbandoned = true;
    m_changed.notify_all();
}

} // namespace galenafold
