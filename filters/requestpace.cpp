// Rate limit towards a replica without load reports: additive increase, multiplicative decrease.
#include "filters/requestpace.h"

#include "galenafold/seconds.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double decreaseFactor = 0.8;     // on the rate, for a congested replica
constexpr double increasePerSecond = 0.1;  // of the rate, in the first second after a decrease
constexpr double fullIncreaseRate = 2;     // requests per second; at lower rates too few answers tell of the increase
constexpr double minIncreaseShare = 0.5;   // of the increase; a replica that has recovered is to get its requests soon
constexpr double increaseStep = 0.75;      // of the least rate, each second; makes the rates of the routers alike
constexpr double maxTokens = 1;            // requests sent at once after a pause
constexpr double unusedFactor = 2;         // the limit is dropped when it is so many times the rate of requests
constexpr double rateWindowSeconds = 1;    // over which the rate of requests is smoothed
constexpr double congestedObjective = 0.5; // of the objective: the rest is for the way and for a wait at the router
constexpr double congestedUsual = 1.5;     // times the usual: a slow replica without a queue is not congested
constexpr double maxTolerated = 0.75;      // of the objective, whatever the usual is
constexpr auto usualLifetime = std::chrono::seconds(5); // a replica may become slower for good

constexpr auto refusalTime = std::chrono::milliseconds(20); // from a request until it is refused, at most

double RequestPace::rateAt(Instant now) const
{
    const double since = secondsOf(now - m_slowedAt);
    const double increase = increasePerSecond * std::clamp(m_rate / fullIncreaseRate, minIncreaseShare, 1.0);
    return m_rate * std::exp(increase * since * since) + increaseStep * m_minRate * since;
}

double RequestPace::tokensAt(Instant now) const
{
    return std::min(maxTokens, m_tokens + rateAt(now) * secondsOf(now - std::max(m_lastStart, m_slowedAt)));
}

bool RequestPace::mayStart(Instant now) const
{
    return !m_isLimited || tokensAt(now) >= 1;
}

void RequestPace::onStarted(Instant now)
{
    const double passed = secondsOf(now - m_lastStart);
    if (m_isLimited) {
        m_tokens = std::max(0.0, tokensAt(now) - 1);
    }
    m_sendRate = m_sendRate * std::exp(-passed / rateWindowSeconds) + 1 / rateWindowSeconds;
    m_lastStart = now;
    m_isLimited = m_isLimited && rateAt(now) < unusedFactor * m_sendRate + 1;
}

/// Answers to requests that were sent before the last decrease tell nothing of the rate since.
void RequestPace::slowDown(Instant now, Duration took, double minRate)
{
    if (now - took < m_slowedAt) {
        return;
    }
    const double sent = m_sendRate * std::exp(-secondsOf(now - m_lastStart) / rateWindowSeconds);
    const double before = m_isLimited ? std::min(rateAt(now), std::max(m_rate, sent)) : sent;
    m_tokens = m_isLimited ? tokensAt(now) : 0;
    m_minRate = minRate;
    m_rate = std::max(minRate, decreaseFactor * before);
    m_slowedAt = now;
    m_isLimited = true;
}

void RequestPace::noteUsual(Instant now, double took)
{
    if (m_usualSeconds == 0 || took < m_usualSeconds || now >= m_usualUntil) {
        m_usualSeconds = took;
        m_usualUntil = now + usualLifetime;
    }
}

void RequestPace::onAnswered(Instant now, Duration took, Duration objective, double minRate)
{
    noteUsual(now, secondsOf(took));
    if (objective <= Duration{}) {
        return;
    }
    const double tolerated = std::max(congestedObjective * secondsOf(objective), congestedUsual * m_usualSeconds);
    if (secondsOf(took) > std::min(tolerated, maxTolerated * secondsOf(objective))) {
        slowDown(now, took, minRate);
    }
}

void RequestPace::onRefused(Instant now, double minRate)
{
    slowDown(now, refusalTime, minRate);
}

std::optional<double> RequestPace::limit(Instant now) const
{
    return m_isLimited ? std::optional<double>(rateAt(now)) : std::nullopt;
}

} // namespace galenafold
