// Execution status of an attempt, the budget for extra attempts, and the decision about the next step.
#include "filters/attempt.h"

#include <algorithm>

namespace galenafold
{

Run runOf(const AttemptReport &report)
{
    if (report.saysNotRun || report.state == AttemptState::NotSent) {
        return Run::No;
    }
    return report.state == AttemptState::Complete ? Run::Yes : Run::Unknown;
}

AttemptBudget::AttemptBudget(double fraction, double burst)
    : m_fraction(fraction)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void AttemptBudget::onFirstAttempt()
{
    m_tokens = std::min(m_burst, m_tokens + m_fraction);
}

bool AttemptBudget::take()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

Next afterAttempt(const Call &call, const AttemptReport &report, const std::function<bool()> &allowExtra)
{
    if (report.isCancelled) {
        return Next::Finish;
    }
    const Run run = runOf(report);
    if (run == Run::Yes) {
        return Next::Finish;
    }
    if (run == Run::No) {
        return allowExtra() ? Next::Again : Next::Fail;
    }
    if (!call.isIdempotent) {
        return Next::Fail;
    }
    if (report.state == AttemptState::Streaming && report.relayed > 0) {
        return call.isResumable && allowExtra() ? Next::Resume : Next::Fail;
    }
    return allowExtra() ? Next::Again : Next::Fail;
}

} // namespace galenafold
