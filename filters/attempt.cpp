// Execution status of an attempt, the budget for extra attempts, and the decision about the next step.
#include "filters/attempt.h"

#include <algorithm>

namespace galenafold
{

ExecutionStatus executionOf(const AttemptReport &report)
{
    if (report.reportsNotRun || report.state == AttemptState::NotSent) {
        return ExecutionStatus::No;
    }
    return report.state == AttemptState::Complete ? ExecutionStatus::Yes : ExecutionStatus::Unknown;
}

AttemptTokenBucket::AttemptTokenBucket(double fraction, double burst)
    : m_fraction(fraction)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void AttemptTokenBucket::onFirstAttempt()
{
    m_tokens = std::min(m_burst, m_tokens + m_fraction);
}

bool AttemptTokenBucket::take()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

NextStep decideNextStep(const Call &call, const AttemptReport &report, const std::function<bool()> &allowExtra)
{
    if (report.isCancelled) {
        return NextStep::Finish;
    }
    const ExecutionStatus execution = executionOf(report);
    if (execution == ExecutionStatus::Yes) {
        return NextStep::Finish;
    }
    if (execution == ExecutionStatus::No) {
        return allowExtra() ? NextStep::Retry : NextStep::Fail;
    }
    if (!call.isIdempotent) {
        return NextStep::Fail;
    }
    if (report.state == AttemptState::Streaming && report.relayed > 0) {
        return call.isResumable && allowExtra() ? NextStep::Resume : NextStep::Fail;
    }
    return allowExtra() ? NextStep::Retry : NextStep::Fail;
}

} // namespace galenafold
