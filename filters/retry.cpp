// Retry budget and the decision about what follows an attempt.
#include "filters/retry.h"

namespace galenafold
{

constexpr int windowsWithoutShare = 2; // after a start: one for the others to count this router, one for their retries
constexpr int maxTotalAttempts = 4;    // of one request, including attempts that did not run

// Budget

RetryBudget::RetryBudget(const RetryBudgetSettings &settings, Instant startedAt)
    : m_settings(settings)
    , m_shareFrom(startedAt + settings.window * windowsWithoutShare)
{
}

double RetryBudget::minShare(Instant now) const
{
    return now < m_shareFrom || m_routers == 0 ? 0 : m_settings.minRetries / m_routers;
}

void RetryBudget::dropExpired(Instant now, Usage &usage) const
{
    const auto trim = [windowStart = now - m_settings.window](std::deque<Instant> &times) {
        while (!times.empty() && times.front() < windowStart) {
            times.pop_front();
        }
    };
    trim(usage.first);
    trim(usage.extra);
}

void RetryBudget::onFirstAttempt(Instant now, const ServiceId &service)
{
    Usage &usage = m_usage[service];
    dropExpired(now, usage);
    usage.first.push_back(now);
}

RetryBudgetUse RetryBudget::use(Instant now, const ServiceId &service)
{
    Usage &usage = m_usage[service];
    dropExpired(now, usage);
    RetryBudgetUse use;
    use.first = static_cast<int>(usage.first.size());
    use.extra = static_cast<int>(usage.extra.size());
    use.minShare = minShare(now);
    use.allowed = m_settings.ratio * use.first + use.minShare;
    return use;
}

double RetryBudget::remaining(Instant now, const ServiceId &service)
{
    const RetryBudgetUse current = use(now, service);
    return current.allowed - current.extra;
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

RetryDecision decideRetry(const AttemptHistory &history, const std::function<bool()> &allowExtra)
{
    if (history.sent >= maxTotalAttempts) {
        return RetryDecision::Fail;
    }
    if (history.isStreaming && !history.isResumable) {
        return RetryDecision::Fail; // the output of two executions is never joined
    }
    if (history.mayHaveRun && !history.isRetryable) {
        return RetryDecision::Fail;
    }
    if (history.possibleRuns >= history.maxAttempts) {
        return RetryDecision::Fail;
    }
    if (!allowExtra()) {
        return RetryDecision::Fail;
    }
    return history.isStreaming ? RetryDecision::Resume : RetryDecision::Retry;
}

} // namespace galenafold
