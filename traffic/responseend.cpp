// What follows when the response to an attempt has ended in good order: whether it is complete, and what its caller
// gets.
//
// Load pattern: processes of replicas end while they write responses with neither a length nor chunks. The end of the
// connection alone does not tell a complete response from a part of one, so it is passed on only once it is known that
// the replica's process has outlived the response. Until then the attempt counts as in progress.
#include "net/status.h"
#include "traffic/requesthandler.h"

namespace galenafold
{

/// @return true if it is the replica's whole response, and continues what the caller has received so far, provided that
/// its replica has outlived it
bool RequestHandler::isResponseComplete() const
{
    if (isEventStream()) {
        return m_events.isComplete(m_head.isCloseDelimited ? BodyFraming::CloseDelimited : BodyFraming::Explicit);
    }
    const bool isSuccess = m_head.status < firstNonSuccessStatus;
    const bool isTrusted = m_responseFields.hasChecksum && !(isSuccess && m_responseFields.isEncoded);
    return isTrusted && !m_attempts.isStreaming;
}

/// @return why the response is not complete, although it ended in good order
std::string_view RequestHandler::cutOffReason() const
{
    if (!isEventStream()) {
        return m_attempts.isStreaming ? "no_place_in_stream" : "not_trusted";
    }
    return m_events.hasPartialEvent() ? "partial_event" : m_events.hasGap() ? "gap" : "no_new_event";
}

void RequestHandler::onCutOff(std::string_view why)
{
    noteRun();
    logCutOff(why);
    endAttempt(AttemptOutcome::Failed);
    afterFailure(EndReason::BrokenResponse);
}

void RequestHandler::onComplete(Instant endedAt)
{
    noteRun();
    const bool isError = m_head.status >= firstServerErrorStatus;
    noteTimes(endedAt, isError);
    if (!isError) {
        m_state.loadBalancer.holds().onServed(endedAt, m_incarnation);
    }
    endAttempt(isError ? AttemptOutcome::Error : AttemptOutcome::Good);
    if (m_attempts.isStreaming) {
        m_caller->endStream();
        finish("served", m_head.status, nullptr);
    } else if (!isError || !m_attempts.isRetryable || !retry(clockNow(), EndReason::ReplicaError)) {
        forwardResponse();
    }
}

/// What the check tells of a crash is reported also if the request has ended meanwhile.
void RequestHandler::withholdEnd()
{
    m_isEndWithheld = true;
    checkProcess(m_state.io, m_state.connectionPool, endedConnection(),
                 [self = shared_from_this(), report = crashReport(true), attempt = m_attempts.sent,
                  endedAt = clockNow()](const ProcessCheckResult &result) {
                     report(result.state);
                     self->onProcessChecked(attempt, endedAt, result);
                 });
}

/// A replica that leaves is asked like any other: it may exit in the middle of a response as well as behind it.
void RequestHandler::onProcessChecked(int attempt, Instant endedAt, const ProcessCheckResult &result)
{
    if (!m_isEndWithheld || attempt != m_attempts.sent) {
        return; // the caller has left, its time is over, or the router stops
    }
    logWithheldEnd(endedAt, result);
    switch (result.state) {
    case ProcessState::Lives:
        onComplete(endedAt);
        break;
    case ProcessState::Ended:
        onCutOff("process_ended");
        break;
    case ProcessState::Unknown:
        onCutOff("process_unknown");
        break;
    }
}

void RequestHandler::logWithheldEnd(Instant endedAt, const ProcessCheckResult &result)
{
    m_state.metrics.onEndWithheld(text(result.state), result.connects);
    LogLine line("end_withheld");
    line.text("request", m_fields.request.text).text("replica", m_endpoint.text);
    line.text("process", text(result.state)).number("connects", result.connects);
    line.millis("withheld_ms", clockNow() - endedAt);
    m_state.log.write(line, LogPriority::Routine);
}

} // namespace galenafold
