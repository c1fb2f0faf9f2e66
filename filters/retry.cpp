// Retry budget and the decision about what follows an attempt.
#include "filters/retry.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace galenafold
{

constexpr int windowsWithoutShare = 2; // after a start: one for the others to count this router, one for their retries
constexpr int windowsAhead = 16;       // windows to come that are checked, at equal distances
constexpr int maxTotalAttempts = 4;    // of one request, including attempts that did not run
constexpr int maxRefusals = 1; // of one request: where two replicas were full, room is known too little to ask a third

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
    const auto trim = [](std::deque<Instant> &times, Instant begin) {
        while (!times.empty() && times.front() < begin) {
            times.pop_front();
        }
    };
    trim(usage.first, now - 2 * m_settings.window);
    trim(usage.extra, now - m_settings.window);
}

/// @return number of times from `begin` on, and not later than `end`
static int countWithin(const std::deque<Instant> &times, Instant begin, Instant end)
{
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<int>(std::upper_bound(first, times.end(), end) - first);
}

/// @return the higher of two counts, or their mean where chance may have made the difference: each router would choose
/// the one that happens to be higher there, and the sum over all routers would exceed both
static double higherCount(int a, int b)
{
    const double deviation = std::sqrt(a + b);
    return std::abs(a - b) > deviation ? std::max(a, b) : (a + b) / 2.0;
}

/// @return first attempts by which the retries of a window are limited, as far as they are known now
double RetryBudget::firstAttempts(const Usage &usage, Instant now, Instant end) const
{
    const Duration window = m_settings.window;
    const int within = countWithin(usage.first, end - window, now);
    if (end == now) {
        return within;
    }
    const Instant halfBack = end - window / 2;
    const int before = countWithin(usage.first, halfBack - window, std::min(halfBack, now));
    const bool isNear = halfBack <= now; // more than half of the window is known
    return higherCount(before, isNear ? within : countWithin(usage.first, end - 2 * window, end - window));
}

void RetryBudget::onFirstAttempt(Instant now, const ServiceId &service)
{
    Usage &usage = m_usage[service];
    dropExpired(now, usage);
    usage.first.push_back(now);
}

RetryBudgetUse RetryBudget::use(Instant now, const ServiceId &service)
{
    RetryBudgetUse use;
    use.remaining = remaining(now, service); // also drops what has expired
    const Usage &usage = m_usage[service];
    use.first = countWithin(usage.first, now - m_settings.window, now);
    use.extra = static_cast<int>(usage.extra.size());
    use.minShare = minShare(now);
    return use;
}

double RetryBudget::remaining(Instant now, const ServiceId &service)
{
    Usage &usage = m_usage[service];
    dropExpired(now, usage);
    double least = std::numeric_limits<double>::max();
    for (int step = 0; step < windowsAhead; ++step) {
        const Instant end = now + m_settings.window / windowsAhead * step;
        const double allowed = m_settings.ratio * firstAttempts(usage, now, end) + minShare(now);
        least = std::min(least, allowed - countWithin(usage.extra, end - m_settings.window, now));
    }
    return least;
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
    if (history.sent >= maxTotalAttempts || history.refusals > maxRefusals) {
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
