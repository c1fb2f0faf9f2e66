// The attempts of one request at replicas: what is sent, how long it may take, what follows when it ends.
#include "traffic/requesthandler.h"

#include "control/loadview.h"
#include "net/status.h"

#include <algorithm>

namespace galenafold
{

constexpr auto minTimeForAttempt = std::chrono::milliseconds(10); // no attempt is made with less time left
constexpr auto deniedRetryDelay = std::chrono::milliseconds(250); // between requests for a retry that was denied
constexpr double attemptTimeoutFactor = 1.5; // times the latency objective: time limit of an attempt without progress
constexpr auto minAttemptTimeout = std::chrono::milliseconds(250); // lower limit, also used at a stalled replica
constexpr int stallCheckFactor = 2;    // times the gap objective: check whether the replica is stalled
constexpr int streamTimeoutFactor = 4; // times the gap objective: time limit of a stream without an event
constexpr auto minStreamTimeout = std::chrono::milliseconds(1200); // lower limit for streams
constexpr std::size_t maxEventBytes = 1 << 20; // of one event; a stream's events hold some tokens each

/// Checks the API key again for each attempt: it may have been revoked while a previous attempt failed or the VM was
/// suspended.
void RequestHandler::attempt(Instant now, const ReplicaChoice &choice)
{
    const EndpointState &endpoint = *choice;
    if (m_deadline - now < minTimeForAttempt) {
        giveUp(EndReason::Expired);
        return;
    }
    const bool isKeyKnown = m_state.table && m_state.table->account(m_fields.apiKey);
    if (m_account && (!m_state.proof.isValid(now) || !isKeyKnown)) {
        giveUp(EndReason::StaleKeys);
        return;
    }
    m_address = parseAddress(endpoint.record.address).value();
    m_endpoint = endpoint.record.id;
    m_incarnation = incarnationHash(endpoint.record);
    m_replicaVersion = endpoint.version;
    m_hasHead = false;
    m_trial.begin();
    dropResponse();
    m_sentAt = now;
    m_isOverShare = m_state.waitingForRoom.admission().onSent(now, m_selection.service, admissionRequest(now));
    ++m_attempts.sent;
    bool isNew = false;
    m_connection = m_state.connectionPool.acquire(now, m_endpoint, !m_route->isRetryable(), isNew);
    EndpointRequestHooks hooks;
    const auto self = shared_from_this();
    hooks.onHead = [self](ResponseHead &head, const ResponseFields &fields) { self->onHead(head, fields); };
    hooks.onBody = [self](std::string &body) { self->onBody(body); };
    hooks.onDone = [self] { self->onDone(); };
    hooks.onFailed = [self](RequestProgress progress) { self->onFailed(progress); };
    const bool expectsNoBody = m_request.head.method == "HEAD";
    m_state.loadBalancer.onSent(m_endpoint, m_selection.tokens);
    m_state.loadBalancer.rateLimits().onSent(now, endpoint.nameHash);
    if (m_selection.affinity) {
        m_state.onPeerNews();
    }
    expectTimes(now, choice);
    logSent(now, choice, isNew);
    m_connection->send(encodeRequest(now, endpoint), m_fields.request, expectsNoBody, std::move(hooks));
    if (isNew) {
        m_connection->connect(m_address, m_deadline);
    }
    armTimer();
}

std::string RequestHandler::encodeRequest(Instant now, const EndpointState &endpoint) const
{
    const RequestHead &head = m_request.head;
    std::string bytes = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    const HopByHopFields hopByHop(head.fields);
    for (const HttpField &field : head.fields) {
        if (!hopByHop.contains(field.name) && !m_state.headerCodec.isRouterOnlyField(field.name)) {
            appendField(bytes, field.name, field.value);
        }
    }
    AttemptFields attempt;
    attempt.timeLeft = m_deadline - now;
    attempt.expectedReplica = endpoint.record.id;
    attempt.resumeAfter = m_events.lastId();
    attempt.opaqueResumeAfter = m_fields.opaqueResumeAfter;
    attempt.cacheSource = m_state.loadBalancer.cacheSource(now, m_selection, endpoint.record.id);
    if (m_account) {
        attempt.account = m_account->id;
    }
    m_state.headerCodec.encodeAttempt(bytes, attempt);
    const bool hasBody = !m_request.body.empty() || (head.method != "GET" && head.method != "HEAD");
    if (hasBody) {
        appendField(bytes, "Content-Length", std::to_string(m_request.body.size()));
    }
    bytes += "\r\n";
    bytes += m_request.body;
    return bytes;
}

/// @return when the current attempt times out for lack of progress. Only an attempt that may be retried times out
/// before the request's deadline. A stream that has begun is resumed at another replica after a long pause, because
/// callers abandon a stalled stream. An attempt without an event times out early at a replica where all of this
/// router's streams are stalled.
Instant RequestHandler::progressDeadline() const
{
    const bool isRetryable = m_attempts.isStreaming ? m_attempts.isResumable : m_attempts.isRetryable;
    const bool mayRepeat = isRetryable && m_attempts.possibleRuns + 1 < m_attempts.maxAttempts;
    if (!m_connection || m_isEndWithheld || !mayRepeat) {
        return m_deadline;
    }
    Duration timeout{};
    if (hasReceivedEvents()) {
        timeout = std::max<Duration>(m_route->eventGapObjective * streamTimeoutFactor, minStreamTimeout);
    } else if (m_state.loadBalancer.isStalled(m_stallCheckedAt, m_endpoint)) {
        timeout = minAttemptTimeout;
    } else {
        timeout = std::max<Duration>(
            std::chrono::duration_cast<Duration>(m_route->latencyObjective * attemptTimeoutFactor), minAttemptTimeout);
    }
    return std::min(m_deadline, std::max((hasReceivedEvents() ? m_lastEventAt : m_sentAt) + timeout, m_noRetryBefore));
}

/// @return when to check next whether the replica is stalled. The check comes later than the gap objective, because
/// gaps may exceed it while the replica processes long prompts.
Instant RequestHandler::nextStallCheck() const
{
    const bool isStream = m_route->kind == RequestKind::Stream && m_route->eventGapObjective > Duration{};
    if (!m_connection || m_isEndWithheld || !isStream) {
        return m_deadline;
    }
    return std::max(hasReceivedEvents() ? m_lastEventAt : m_sentAt, m_stallCheckedAt)
        + m_route->eventGapObjective * stallCheckFactor;
}

void RequestHandler::checkForStall(Instant now)
{
    if (now < nextStallCheck()) {
        return;
    }
    m_stallCheckedAt = now;
    if (hasReceivedEvents()
        && m_state.loadBalancer.onStreamStall(now, m_endpoint, m_route->eventGapObjective * stallCheckFactor)) {
        LogLine line("replica_silent");
        line.text("replica", m_endpoint.text).text("request", m_fields.request.text);
        line.millis("paused_ms", now - m_lastEventAt);
        m_state.log.write(line, LogPriority::Notable);
        m_state.onPeerNews(); // reports it to peers in a beacon
    }
}

/// For an earlier deadline the timer is re-armed at once; a later one is applied when it fires.
void RequestHandler::armTimer()
{
    m_timer.expires_at(std::min(progressDeadline(), nextStallCheck()));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->m_isFinished) {
            self->onTimer();
        }
    });
}

void RequestHandler::onTimer()
{
    if (m_connection) {
        m_connection->poll(); // after a VM suspension, the timer may fire before input that has arrived
    }
    const Instant now = clockNow();
    if (m_isFinished) {
        return;
    }
    if (now >= m_deadline) {
        abandonAttempt(m_hasHead ? AttemptOutcome::Abandoned : AttemptOutcome::Failed);
        giveUp(EndReason::Expired);
        return;
    }
    if (m_connection && !m_isEndWithheld && !hasReceivedEvents() && isBlocked(now)) {
        abandonAttempt(AttemptOutcome::Abandoned); // before it crashes this replica too
        giveUp(EndReason::QueryOfDeath);
        return;
    }
    checkForStall(now);
    if (now < progressDeadline()) {
        armTimer();
        return;
    }
    m_selection.excluded.insert(m_endpoint);
    const ReplicaChoice next = takeRetry(now);
    if (!next) {
        m_noRetryBefore = now + deniedRetryDelay;
        armTimer();
        return;
    }
    logRetry(EndReason::AttemptTimeout);
    abandonAttempt(AttemptOutcome::Failed);
    attempt(now, next);
}

/// @return the replica for another attempt, which is then counted; none if no replica is left or has room, the prompt
/// crashes replicas, or the service's retry budget is spent
ReplicaChoice RequestHandler::takeRetry(Instant now)
{
    const ReplicaChoice next = isBlocked(now) ? ReplicaChoice() : chooseReplica(now);
    return next && takeFromBudget(now) ? next : ReplicaChoice();
}

bool RequestHandler::takeFromBudget(Instant now)
{
    if (m_state.budget.take(now, m_selection.service)) {
        return true;
    }
    m_state.metrics.onRetryDenied(m_selection.service);
    LogLine line("retry_denied");
    line.text("request", m_fields.request.text);
    addBudget(line, now);
    m_state.log.write(line, LogPriority::Notable);
    return false;
}

/// The current attempt may have run at its replica, and counts against the route's limit.
void RequestHandler::noteRun()
{
    ++m_attempts.possibleRuns;
    m_attempts.mayHaveRun = true;
}

/// Cancels the current attempt. The replica stops its work when the connection closes.
void RequestHandler::abandonAttempt(AttemptOutcome end)
{
    if (!m_connection) {
        return;
    }
    const bool mayHaveRun = m_connection->mayHaveSent() && !(m_hasHead && m_responseFields.reportsNotRun);
    if (mayHaveRun) {
        noteRun();
    }
    m_connection->cancel();
    endAttempt(mayHaveRun ? end : AttemptOutcome::Unreachable);
}

void RequestHandler::onHead(ResponseHead &head, const ResponseFields &fields)
{
    m_hasHead = true;
    m_head = std::move(head);
    m_responseFields = fields;
    if (fields.load) {
        const Instant now = clockNow();
        m_state.loadBalancer.onLoad(now, m_endpoint, *fields.load);
        m_state.waitingForRoom.admission().onLoad(now, m_selection.service, *fields.load);
        if (m_state.loadBalancer.hasUrgentNews(now)) {
            m_state.onPeerNews();
        }
    }
    noteRateLimit();
    noteLeaving();
    noteTurnedAway();
}

bool RequestHandler::hasEventStreamType() const
{
    constexpr std::string_view eventStream = "text/event-stream";
    const std::string *type = findField(m_head.fields, "Content-Type");
    return type && equalsIgnoringCase(std::string_view(*type).substr(0, eventStream.size()), eventStream);
}

/// @return true if the current response can be relayed event by event. One that continues a stream has to have the
/// status that its caller was sent, and the type of a stream if that was sent.
bool RequestHandler::isEventStream() const
{
    const bool isSuccess = m_head.status < firstNonSuccessStatus;
    const bool isStream = m_head.status == statusOk || (isSuccess && hasEventStreamType());
    const bool isSameType = !m_hasSentType || hasEventStreamType();
    const bool fitsCaller = !m_attempts.isStreaming || (m_head.status == m_sentStatus && isSameType);
    return m_route->kind == RequestKind::Stream && isStream && fitsCaller && m_responseFields.hasChecksum
        && !m_responseFields.isEncoded;
}

void RequestHandler::onBody(std::string &body)
{
    if (isEventStream()) {
        relayEvents(body);
    } else {
        m_body += body;
    }
    body.clear();
    noteHeldBytes();
}

/// Counts what the current response holds; an event that does not end is given up like a response that does not.
void RequestHandler::noteHeldBytes()
{
    if (m_events.heldBytes() > maxEventBytes) {
        onResponseGivenUp();
        return;
    }
    m_held.resize(m_body.capacity() + m_events.heldBytes());
}

/// Frees what the current response holds.
void RequestHandler::dropResponse()
{
    m_body = std::string();
    m_events.beginAttempt();
    m_held.resize(0);
}

/// Called for the response that holds most, possibly while another request's response is read.
void RequestHandler::onResponseGivenUp()
{
    const auto self = shared_from_this();
    if (m_isFinished) {
        return;
    }
    LogLine line("answer_too_large");
    line.text("request", m_fields.request.text).text("replica", m_endpoint.text);
    line.number("body", static_cast<std::int64_t>(m_body.size()));
    line.number("event", static_cast<std::int64_t>(m_events.heldBytes()));
    line.number("all_held", static_cast<std::int64_t>(m_state.memory->responseBytes()));
    m_state.log.write(line, LogPriority::Notable);
    abandonAttempt(AttemptOutcome::Failed);
    dropResponse();
    afterFailure(EndReason::ResponseTooLarge);
}

void RequestHandler::endAttempt(AttemptOutcome end)
{
    if (m_state.loadBalancer.onEnded(clockNow(), m_endpoint, end, m_selection.tokens)) {
        LogLine line("replica_avoided");
        line.text("replica", m_endpoint.text).text("after_request", m_fields.request.text);
        m_state.log.write(line, LogPriority::Notable);
    }
    m_connection.reset();
    m_isEndWithheld = false;
    m_state.waitingForRoom.admission().onEnded(m_selection.service, m_isOverShare);
    m_state.waitingForRoom.drainSoon();
}

void RequestHandler::onDone()
{
    const Instant now = clockNow();
    if (m_responseFields.isLeaving) {
        m_connection->cancel(); // it would stay idle
    } else {
        m_state.connectionPool.release(m_endpoint, m_connection);
    }
    if (m_responseFields.reportsNotRun) {
        m_refusedBy.insert(m_endpoint);
        const bool namesReason = m_responseFields.isLeaving || m_responseFields.retryAfter;
        m_attempts.refusals += m_head.status == statusUnavailable && !namesReason ? 1 : 0;
        endAttempt(AttemptOutcome::Refused);
        if (m_state.loadBalancer.hasUrgentNews(now)) {
            m_state.onPeerNews();
        }
        afterFailure(EndReason::AllRefused);
        return;
    }
    if (!isResponseComplete()) {
        if (m_head.isCloseDelimited) {
            reportIfCrashed();
        }
        onCutOff(cutOffReason());
    } else if (m_head.isCloseDelimited) {
        withholdEnd();
    } else {
        m_state.queryOfDeath.onAnswered(now, m_suspect);
        onComplete(now);
    }
}

void RequestHandler::onFailed(RequestProgress progress)
{
    const bool mayHaveRun = progress != RequestProgress::NotSent && !(m_hasHead && m_responseFields.reportsNotRun);
    if (mayHaveRun) {
        noteRun();
        logBroken();
        reportIfCrashed();
    }
    endAttempt(progress == RequestProgress::NotSent ? AttemptOutcome::Unreachable : AttemptOutcome::Failed);
    afterFailure(mayHaveRun ? EndReason::BrokenResponse : EndReason::Unreachable);
}

void RequestHandler::afterFailure(EndReason reason)
{
    if (!retry(clockNow(), reason)) {
        giveUp(reason);
    }
}

/// Makes another attempt if that is correct, a replica is left, and the retry budget allows it. Waits if the replicas
/// that are left have no room. @return false if there is none
bool RequestHandler::retry(Instant now, EndReason reason)
{
    m_selection.excluded.insert(m_endpoint);
    const ReplicaChoice next = isBlocked(now) ? ReplicaChoice() : chooseReplica(now);
    const bool mustWait = !next && next.skippedBusy > 0;
    const auto allowExtra = [&] { return mustWait || (next && takeFromBudget(now)); };
    if (decideRetry(m_attempts, allowExtra) == RetryDecision::Fail) {
        return false;
    }
    if (mustWait) {
        return waitForRoom(now);
    }
    logRetry(reason);
    attempt(now, next);
    return true;
}

} // namespace galenafold
