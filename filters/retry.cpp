// What may follow an attempt.
#include "filters/retry.h"

namespace galenafold
{

constexpr int mostSends = 4; // for one request, attempts that did not run included

// Budget

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : m_settings(settings)
{
}

void RetryBudget::forgetOld(Instant now, Usage &usage) const
{
    const auto trim = [begin = now - m_settings.window](std::deque<Instant> &times) {
        while (!times.empty() && times.front() < begin) {
            times.pop_front();
        }
    };
    trim(usage.first);
    trim(usage.extra);
}

void RetryBudget::onFirstAttempt(Instant now, const ServiceId &service)
{
    Usage &usage = m_usage[service];
    forgetOld(now, usage);
    usage.first.push_back(now);
}

double RetryBudget::remaining(Instant now, const ServiceId &service)
{
    Usage &usage = m_usage[service];
    forgetOld(now, usage);
    const double allowed = m_settings.ratio * static_cast<double>(usage.first.size())
        + m_settings.floor / static_cast<double>(std::max(1, m_settings.routers));
    return allowed - static_cast<double>(usage.extra.size());
}

bool RetryBudget::take(Instant now, const ServiceId &service)
{
    if (remaining(now, service) < 1) {
        return false;
    }
    m_usage[service].extra.push_back(now);
    return true;
}

// Decision

RetryDecision decideRetry(const AttemptHistory &attempts, const std::function<bool()> &allowExtra)
{
    if (attempts.sent >= mostSends) {
        return RetryDecision::Fail;
    }
    if (attempts.isStreaming && !attempts.isResumable) {
        return RetryDecision::Fail; // pieces of two runs are never joined
    }
    if (attempts.mayHaveRun && !attempts.isRetryable) {
        return RetryDecision::Fail;
    }
    if (attempts.possibleRuns >= attempts.maxAttempts) {
        return RetryDecision::Fail;
    }
    if (!allowExtra()) {
        return RetryDecision::Fail;
    }
    return attempts.isStreaming ? RetryDecision::Resume : RetryDecision::Retry;
}

} // namespace galenafold
