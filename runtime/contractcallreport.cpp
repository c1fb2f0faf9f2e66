// What a call under a contract tells of itself: spans of its attempts, its log line and its trace.
#include "runtime/contractcall.h"

namespace galenafold
{

constexpr double samplingSteps = 10000; // resolution of the trace sampling fraction

static std::string formatDecimal(double value)
{
    std::string text = std::to_string(value);
    return text.substr(0, text.find('.') + 3);
}

void ContractCall::recordAttempt(const Attempt &attempt, const AttemptReport &report)
{
    static const char *const stateNames[] = {"not_sent", "maybe_sent", "head", "streaming", "complete"};
    const StartAttempt &start = attempt.start;
    SpanRecord span{"attempt", attempt.startTime, clockNow(), {}};
    span.attributes = {{"attempt", std::to_string(start.attempt)},
                       {"endpoint", start.endpoint.id.text},
                       {"placed_by", text(start.placement.placementReason)},
                       {"load", formatDecimal(start.placement.load)},
                       {"bound", formatDecimal(start.placement.bound)},
                       {"candidates", std::to_string(start.placement.considered)},
                       {"hedge", start.isHedge ? "yes" : "no"},
                       {"resume_from", formatDecimal(start.resumeFrom)},
                       {"state", stateNames[static_cast<int>(report.state)]}};
    const std::string &fault = attempt.reader->fault();
    if (!fault.empty()) {
        span.attributes.push_back({"fault", fault});
    }
    m_trace.add(span);
    if (!fault.empty() && !report.isCancelled) {
        m_trace.markError();
        LogLine line("attempt_failed");
        line.text("request", m_call.request.text).text("replica", start.endpoint.id.text);
        line.number("try", start.attempt).text("state", stateNames[static_cast<int>(report.state)]).text("why", fault);
        m_context.log.write(line, LogPriority::Notable);
    }
}

void ContractCall::logOutcome(Reason reason, ExecutionStatus executionStatus) const
{
    const bool isServed = reason == Reason::None;
    const bool isTruncated = m_responseHead && m_responseHead->isStream;
    const char *outcome = isServed               ? "served"
        : reason == Reason::CallerDisconnected   ? "gone"
        : executionStatus == ExecutionStatus::No ? "refused"
        : isTruncated                            ? "broken"
                                                 : "failed";
    LogLine line(outcome);
    line.text("request", m_call.request.text).text("reason", text(reason)).text("run", text(executionStatus));
    line.text("customer", m_call.customer.text)
        .text("class", m_call.taskClass)
        .text("replica", m_servedBy.endpoint.text);
    line.number("sent", m_attemptsMade).millis("took_ms", clockNow() - m_arrival).millis("first_ms", m_firstByte);
    if (m_table) {
        line.number("contracts_offset", m_table->upTo);
    }
    m_context.log.write(line, isServed ? LogPriority::Routine : LogPriority::Notable);
}

/// Keeps all traces that are marked with an error and a sample of the others. Calls with an unknown API key are never
/// kept: they could evict all other traces.
void ContractCall::saveTrace(Reason reason, ExecutionStatus executionStatus)
{
    if (reason == Reason::UnknownApiKey) {
        return;
    }
    const auto draw = static_cast<double>(hashName(m_call.request.text) % static_cast<std::uint64_t>(samplingSteps));
    const bool isSampled = m_isAdmitted && draw < m_context.settings.traceFraction * samplingSteps;
    m_trace.add({"call", m_arrival, clockNow(), {{"outcome", text(reason)}, {"run", text(executionStatus)}}});
    m_context.tracer.store(m_trace, isSampled);
}

} // namespace galenafold
