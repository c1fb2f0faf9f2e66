// What the caller of one call under a contract gets: an endpoint's response, or a refusal.
#include "net/status.h"
#include "runtime/contractcall.h"

namespace galenafold
{

constexpr std::size_t maxUnsentBytes = 64 << 10; // to a slow caller; above it, reading from the endpoint is paused

HttpFields ContractCall::responseFields(ExecutionStatus executionStatus) const
{
    return {{"X-Request-Id", m_call.request.text}, {"Galenafold-Run", text(executionStatus)}};
}

bool ContractCall::win(int attempt, const CallerResponseHead &head, Tokens resumeFrom)
{
    if (!m_arbiter.tryWin(attempt, resumeFrom)) {
        return false;
    }
    if (!m_responseHead) {
        m_responseHead = head;
        m_firstByte = clockNow() - m_arrival;
        m_servedBy = head.servedBy;
        if (head.isStream && m_caller) {
            HttpFields fields{{"X-Request-Id", m_call.request.text}};
            fields.push_back({"Content-Type", head.contentType});
            fields.push_back({"Galenafold-Hint", encodeHint(head.servedBy)});
            fields.push_back({"Galenafold-Prompt-Reused", std::to_string(static_cast<long>(head.reusedPrompt))});
            m_caller->beginStream(head.status, fields);
            m_caller->onDrained = [self = shared_from_this()] {
                for (auto &[number, other] : self->m_attempts) {
                    other.connection->pauseReading(false);
                }
            };
        }
    }
    m_context.control.onFirstByte(m_call.key, attempt, head.reusedPrompt);
    return true;
}

bool ContractCall::relay(int attempt, const std::string &bytes, Tokens relayed)
{
    if (!m_arbiter.relay(attempt, relayed)) {
        return false;
    }
    if (!m_responseHead->isStream) {
        m_responseBody += bytes;
        return true;
    }
    if (!m_caller) {
        return false;
    }
    m_caller->streamBytes(bytes);
    const auto found = m_attempts.find(attempt);
    if (m_caller->pending() > maxUnsentBytes && found != m_attempts.end()) {
        found->second.connection->pauseReading(true);
    }
    return true;
}

void ContractCall::finishResponse(int attempt)
{
    if (!m_arbiter.finishResponse(attempt) || m_isFinished) {
        return;
    }
    if (m_responseHead->isStream) {
        if (m_caller) {
            m_caller->endStream();
        }
        finish(Reason::None, ExecutionStatus::Yes);
        return;
    }
    const std::string type = m_responseHead->contentType.empty() ? "application/json" : m_responseHead->contentType;
    if (m_caller) {
        HttpFields fields = responseFields(ExecutionStatus::Yes);
        fields.push_back({"Content-Type", type});
        fields.push_back({"Galenafold-Hint", encodeHint(m_responseHead->servedBy)});
        fields.push_back({"Galenafold-Prompt-Reused", std::to_string(static_cast<long>(m_responseHead->reusedPrompt))});
        m_caller->sendResponse(m_responseHead->status, fields, m_responseBody);
    }
    settleKey({m_responseHead->status, m_responseHead->contentType, m_responseBody, true}, ExecutionStatus::Yes);
    finish(Reason::None, ExecutionStatus::Yes);
}

void ContractCall::refuse(Reason reason, ExecutionStatus executionStatus)
{
    if (m_isFinished) {
        return;
    }
    m_trace.markError();
    if (m_responseHead && m_responseHead->isStream) {
        if (m_caller) {
            m_caller->abortResponse(); // the missing last chunk tells the caller that the stream is truncated
        }
        finish(Reason::EndpointFailed, ExecutionStatus::Unknown);
        return;
    }
    refuseWith(reason, executionStatus, explainReason(reason));
}

void ContractCall::refuseWith(Reason reason, ExecutionStatus executionStatus, const std::string &message)
{
    m_trace.markError();
    if (m_caller) {
        HttpFields fields = responseFields(executionStatus);
        fields.push_back({"Content-Type", "application/json"});
        m_caller->sendResponse(httpStatusOf(reason), fields, errorBody(reason, executionStatus, message));
    }
    settleKey({}, executionStatus);
    finish(reason, executionStatus);
}

/// A call with an idempotency key continues, so that a repeated request gets its outcome. Any other call is cancelled.
void ContractCall::onCallerDisconnected()
{
    m_caller.reset();
    if (m_isFinished || !m_claim.key.empty()) {
        return;
    }
    m_arbiter.close();
    for (auto &[number, attempt] : m_attempts) {
        attempt.connection->cancel();
    }
    m_attempts.clear();
    if (m_isSubmitted) {
        m_context.control.onCallerDisconnected(m_call.key);
    }
    finish(Reason::CallerDisconnected, ExecutionStatus::Unknown);
}

} // namespace galenafold
