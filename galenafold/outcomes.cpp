// Names of execution statuses and failure reasons in responses, logs and metrics.
#include "galenafold/galenafold.h"

namespace galenafold
{

const char *text(ExecutionStatus status)
{
    switch (status) {
    case ExecutionStatus::No:
        return "no";
    case ExecutionStatus::Yes:
        return "yes";
    case ExecutionStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *text(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::NotReady:
        return "not_ready";
    case Reason::BadRequest:
        return "bad_request";
    case Reason::UnknownApiKey:
        return "bad_key";
    case Reason::NotAllowed:
        return "not_allowed";
    case Reason::TooLarge:
        return "too_large";
    case Reason::OverRate:
        return "over_rate";
    case Reason::OverConcurrency:
        return "over_concurrency";
    case Reason::QueueFull:
        return "queue_full";
    case Reason::WouldMissDeadline:
        return "would_miss_deadline";
    case Reason::NoEndpoint:
        return "no_endpoint";
    case Reason::EndpointRefused:
        return "endpoint_refused";
    case Reason::EndpointFailed:
        return "endpoint_failed";
    case Reason::RetryBudget:
        return "retry_budget";
    case Reason::KeyExpired:
        return "key_expired";
    case Reason::KeyInProgress:
        return "key_in_progress";
    case Reason::KeyMismatch:
        return "key_mismatch";
    case Reason::LogUnavailable:
        return "log_unavailable";
    case Reason::CallerDisconnected:
        return "caller_gone";
    }
    return "none";
}

} // namespace galenafold
