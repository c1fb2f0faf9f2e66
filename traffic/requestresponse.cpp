// What the caller of one request gets: a replica's response as a whole or as a stream, a refusal, or an error.
#include "net/status.h"
#include "traffic/requesthandler.h"

#include <algorithm>

namespace galenafold
{

constexpr auto retryDelay = std::chrono::milliseconds(250);            // Retry-After
constexpr auto lostAnswerRetryDelay = std::chrono::milliseconds(50);   // after an answer of another router may be lost
constexpr auto staleStateRetryDelay = std::chrono::milliseconds(1000); // the same, while the state is unconfirmed
constexpr auto blockedRetryDelay = std::chrono::minutes(10);           // of a prompt that crashes replicas
constexpr auto limitedRetryDelay = std::chrono::seconds(1);            // while all replicas get what they take
constexpr auto operatorRetryDelay = std::chrono::seconds(2);           // while an operator's decision leaves no replica
constexpr std::size_t maxCallerBacklogBytes = 256 << 10; // unsent to a slow caller; above it, the replica is not read

/// Only whole events are progress: a replica that stands still may send a byte, or a comment, now and then.
void RequestHandler::noteEvents(Instant now)
{
    if (m_attempts.isStreaming && m_lastEventAt != Instant{}) {
        m_longestGap = std::max<Duration>(m_longestGap, now - m_lastEventAt);
    }
    const bool wasOnTrial = m_trial.isOpen(m_lastEventAt);
    m_trial.onEvent(now);
    if (wasOnTrial && !m_trial.isOpen(now)) {
        m_state.queryOfDeath.onAnswered(now, m_suspect);
    }
    if (!hasReceivedEvents()) {
        noteFirstEvent(now);
    }
    m_lastEventAt = now;
    m_state.loadBalancer.onStreamEvent(now, m_endpoint);
    if (std::min(progressDeadline(), nextStallCheck()) < m_timer.expiry()) {
        armTimer();
    }
}

void RequestHandler::relayEvents(std::string &body)
{
    const std::int64_t countBefore = m_events.count();
    const std::string events = m_events.feed(body);
    if (m_events.count() != countBefore) {
        noteEvents(clockNow());
    }
    if (events.empty()) {
        return;
    }
    m_attempts.isResumable = m_route->isResumable && m_events.canResume();
    if (!m_attempts.isStreaming) {
        m_attempts.isStreaming = true;
        ++m_state.counts.streaming;
        m_firstByteAt = clockNow();
        m_sentStatus = m_head.status;
        m_hasSentType = hasEventStreamType();
        fixVersion(m_replicaVersion);
        noteOrigin(m_firstByteAt);
        m_caller->beginStream(m_sentStatus, endToEndFields(m_head.fields));
        m_caller->onDrained = [self = shared_from_this()] {
            if (self->m_connection) {
                self->m_connection->pauseReading(false);
            }
        };
    }
    m_caller->streamBytes(events);
    if (m_caller->pending() > maxCallerBacklogBytes && m_connection) {
        m_connection->pauseReading(true);
    }
}

void RequestHandler::forwardResponse()
{
    const int status = m_head.status;
    m_firstByteAt = clockNow();
    m_caller->sendResponse(status, endToEndFields(m_head.fields), m_body);
    finish("served", status, nullptr);
}

/// @return the span in seconds with three decimals
static std::string seconds(Duration span)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    std::string fraction = std::to_string(millis % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(millis / 1000) + '.' + fraction;
}

/// @return when a caller that was refused for this reason may be served
Duration RequestHandler::retryAfter(EndReason reason) const
{
    switch (reason) {
    case EndReason::AllRefused:
        return std::max<Duration>(m_roomExpectedIn, std::max<Duration>(retryDelay, m_turnedAwayUntil - clockNow()));
    case EndReason::NoRoom:
    case EndReason::NoRoomInTime:
        return std::max<Duration>(retryDelay, m_roomExpectedIn);
    case EndReason::ReplicasTurnAway:
        return std::max<Duration>(retryDelay, m_turnedAwayUntil - clockNow());
    case EndReason::QueryOfDeath:
        return blockedRetryDelay;
    case EndReason::ReplicaLimits:
        return limitedRetryDelay;
    case EndReason::Evacuated:
    case EndReason::NoAllowedRegion:
    case EndReason::NoReplicaOfVersion:
        return operatorRetryDelay;
    case EndReason::UnknownOrigin: // where the history of versions is known, to wait tells nothing more
        return m_state.softwareVersions.isComplete(clockNow(), m_selection.service) ? lostAnswerRetryDelay
                                                                                    : staleStateRetryDelay;
    case EndReason::NoRoute:
    case EndReason::StaleKeys:
        return staleStateRetryDelay;
    default:
        return retryDelay;
    }
}

/// Only a refusal that may be repeated tells when.
void RequestHandler::refuse(int status, EndReason reason)
{
    HttpFields fields;
    if (status == statusUnavailable) {
        fields.push_back({"Retry-After", seconds(retryAfter(reason))});
    }
    m_caller->sendResponse(status, fields, "");
    finish("refused", status, &reason);
}

/// Ends the request without a further attempt. The status depends on whether any attempt may have run, not only
/// the last one.
void RequestHandler::giveUp(EndReason reason)
{
    if (m_attempts.isStreaming) {
        abortResponse(reason);
        return;
    }
    if (!m_attempts.mayHaveRun) {
        refuse(statusUnavailable, reason);
        return;
    }
    const int status = reason == EndReason::Expired ? statusGatewayTimeout : statusBadGateway;
    m_caller->sendResponse(status, {}, "");
    finish("failed", status, &reason);
}

void RequestHandler::abortResponse(EndReason reason)
{
    m_caller->abortResponse();
    finish("broken", m_head.status, &reason);
}

/// Closing the connection to the replica makes it stop its work, as the response is no longer needed.
void RequestHandler::onCallerDisconnected()
{
    if (m_isFinished) {
        return;
    }
    const EndReason reason = EndReason::CallerDisconnected;
    abandonAttempt(AttemptOutcome::Abandoned);
    finish("gone", 0, &reason);
}

/// The process ends soon. The caller gets an answer, or sees that its stream breaks off.
void RequestHandler::onStopping()
{
    if (!m_isFinished) {
        abandonAttempt(AttemptOutcome::Abandoned);
        giveUp(EndReason::Stopping);
    }
}

void RequestHandler::finish(std::string_view outcome, int status, EndReason const *reason)
{
    const auto self = shared_from_this();
    m_isFinished = true;
    if (m_isWaiting) {
        m_isWaiting = false;
        m_state.waitingForRoom.remove(m_waitKey);
    }
    m_timer.cancel();
    dropResponse();
    const bool isServed = outcome == "served";
    (isServed ? m_state.counts.served : m_attempts.mayHaveRun ? m_state.counts.failed : m_state.counts.refused)++;
    const Instant now = clockNow();
    logEnd(now, outcome, status, reason);
    recordMetrics(now, outcome, reason);
    m_caller->onDisconnected = nullptr;
    m_caller->onStopping = nullptr;
}

} // namespace galenafold
