// One request on its way. Sections of this file: Reasons, Deciding, Attempting, Answering.
#include "traffic/requestflow.h"

#include "control/loadview.h"
#include "net/status.h"

#include <algorithm>

namespace galenafold
{

constexpr auto defaultPatience = std::chrono::seconds(30); // of a caller that does not say
constexpr auto leastWorthSending = std::chrono::milliseconds(10);
constexpr auto retrySoon = std::chrono::milliseconds(250);
constexpr auto retryWhenProved = std::chrono::milliseconds(1000);
constexpr std::size_t mostUnreadBytes = 256 << 10; // by a slow caller, before the replica is paused
constexpr double silenceOfObjective = 1.5;         // an attempt without a head for this many objectives is tried again
constexpr auto leastSilence = std::chrono::milliseconds(250);
constexpr int pausesOfSilence = 2; // pauses within the objective after which a replica is looked at
constexpr int silenceOfGap = 4;    // pauses within the objective that make a stream count as silent
constexpr auto leastPause = std::chrono::milliseconds(1200);

constexpr double percent = 100;
constexpr std::uint64_t shownPrompts = 1000000; // enough digits in a log line to tell prompts apart

// Reasons

const char *text(EndReason reason)
{
    switch (reason) {
    case EndReason::NoDesiredState:
        return "no_desired_state";
    case EndReason::NoRoute:
        return "no_route";
    case EndReason::UnknownKey:
        return "unknown_key";
    case EndReason::StaleKeys:
        return "stale_keys";
    case EndReason::NoReplica:
        return "no_replica";
    case EndReason::Expired:
        return "expired";
    case EndReason::AllRefused:
        return "all_refused";
    case EndReason::Unreachable:
        return "unreachable";
    case EndReason::BrokenAnswer:
        return "broken_answer";
    case EndReason::Silent:
        return "silent";
    case EndReason::ReplicaError:
        return "replica_error";
    case EndReason::CallerGone:
        return "caller_gone";
    }
    return "unknown";
}

// Deciding

RequestFlow::RequestFlow(TrafficState &state, std::shared_ptr<CallerConnection> caller, CallerRequest &&request)
    : m_state(state)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_timer(state.io)
{
    ++m_state.counts.inProgress;
}

RequestFlow::~RequestFlow()
{
    --m_state.counts.inProgress;
    m_state.counts.streaming -= m_attempts.isStreaming ? 1 : 0;
}

void RequestFlow::begin()
{
    const Instant now = clockNow();
    if (m_isEnded) {
        return; // the caller left while it waited
    }
    m_fields = m_state.headerCodec.decodeCall(m_request.head.fields);
    if (m_state.gate.verdict(now) == StartupGate::Verdict::Wait) {
        waitAtGate();
        return;
    }
    m_table = m_state.table;
    if (!findRoute(now) || !checkKey(now)) {
        return;
    }
    m_end = m_request.arrival + std::min<Duration>(m_fields.callerTimeout.value_or(defaultPatience), m_route->timeout);
    m_attempts.isRetryable = m_route->isRetryable();
    m_attempts.isResumable = m_route->isResumable;
    m_attempts.maxAttempts = m_route->maxAttempts;
    m_place.service = drawService();
    if (m_route->hasPrefixAffinity) {
        m_place.affinity = affinityKey(m_fields.promptParts);
    }
    m_events.skipUpTo(m_fields.resumeAfter);
    m_caller->onDisconnected = [self = shared_from_this()] { self->onCallerGone(); };
    armTimer();
    m_state.budget.onFirstAttempt(now, m_place.service);
    place(now);
}

void RequestFlow::waitAtGate()
{
    LogLine line("queued");
    line.text("request", m_fields.request.text).text("reason", text(EndReason::NoDesiredState));
    m_state.log.write(line, LogPriority::Notable);
    m_caller->onDisconnected = [self = shared_from_this()] { self->onCallerGone(); };
    m_state.waiting.push_back(shared_from_this());
}

/// Without a young proof an unknown route may be a new one: it is refused as not run, not denied.
bool RequestFlow::findRoute(Instant now)
{
    if (!m_table) {
        refuse(statusUnavailable, EndReason::NoDesiredState, retrySoon);
        return false;
    }
    const std::string &target = m_request.head.target;
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    std::string_view host = *findField(m_request.head.fields, "host");
    host = host.substr(0, host.find(':'));
    m_route = m_table->find(host, path);
    if (m_route && !m_route->targets.empty()) {
        return true;
    }
    if (m_state.proof.holds(now)) {
        refuse(statusNotFound, EndReason::NoRoute, Duration{});
    } else {
        refuse(statusUnavailable, EndReason::NoRoute, retryWhenProved);
    }
    return false;
}

bool RequestFlow::checkKey(Instant now)
{
    if (!m_table->requiresApiKeys || m_route->isPublic) {
        return true;
    }
    if (!m_state.proof.holds(now)) {
        refuse(statusUnavailable, EndReason::StaleKeys, retryWhenProved);
        return false;
    }
    m_account = m_table->account(m_fields.apiKey);
    if (!m_account) {
        refuse(statusUnauthorized, EndReason::UnknownKey, Duration{});
        return false;
    }
    return true;
}

/// The same request id draws the same target, so that repeats inside the router stay with their service.
const ServiceId &RequestFlow::drawService() const
{
    double sum = 0;
    for (const RouteTarget &target : m_route->targets) {
        sum += target.weight;
    }
    constexpr std::uint64_t steps = 1U << 20U;
    double point = sum * static_cast<double>(hashName(m_fields.request.text) % steps) / static_cast<double>(steps);
    for (const RouteTarget &target : m_route->targets) {
        if (point < target.weight) {
            return target.service;
        }
        point -= target.weight;
    }
    return m_route->targets.back().service;
}

void RequestFlow::place(Instant now)
{
    ReplicaChoice choice = m_state.board.choose(now, m_place);
    if (!choice && !m_place.excluded.empty()) {
        m_place.excluded.clear(); // every replica was tried: the least bad one again
        choice = m_state.board.choose(now, m_place);
    }
    if (!choice) {
        giveUp(EndReason::NoReplica);
        return;
    }
    attempt(now, choice);
}

// Attempting

/// Keys are checked again here: a request may have waited for an attempt that failed, or the VM may have slept.
void RequestFlow::attempt(Instant now, const ReplicaChoice &choice)
{
    const EndpointState &endpoint = *choice;
    if (m_end - now < leastWorthSending) {
        giveUp(EndReason::Expired);
        return;
    }
    if (m_account && (!m_state.proof.holds(now) || !m_state.table->account(m_fields.apiKey))) {
        giveUp(EndReason::StaleKeys);
        return;
    }
    const auto address = parseAddress(endpoint.record.address);
    m_endpoint = endpoint.record.id;
    m_hasHead = false;
    m_body.clear();
    m_events.dropPartialEvent();
    m_sentAt = now;
    ++m_attempts.sent;
    bool isNew = false;
    m_link = m_state.links.acquire(now, m_endpoint, !m_route->isRetryable(), isNew);
    EndpointRequestHooks hooks;
    const auto self = shared_from_this();
    hooks.onHead = [self](ResponseHead &head, const ResponseFields &answer) { self->onHead(head, answer); };
    hooks.onBody = [self](std::string &body) { self->onBody(body); };
    hooks.onDone = [self] { self->onDone(); };
    hooks.onFailed = [self](RequestProgress how) { self->onFailed(how); };
    const bool expectsNoBody = m_request.head.method == "HEAD";
    m_state.board.onSent(m_endpoint);
    if (m_place.affinity) {
        m_state.onNews();
    }
    logSent(now, choice, isNew);
    m_link->send(encodeRequest(now, endpoint), m_fields.request, expectsNoBody, std::move(hooks));
    if (isNew) {
        m_link->connect(*address, m_end);
    }
    armTimer();
}

void RequestFlow::logSent(Instant now, const ReplicaChoice &choice, bool isNewConnection) const
{
    const EndpointState &endpoint = *choice;
    LogLine line("sent");
    line.text("request", m_fields.request.text).text("replica", endpoint.record.id.text);
    line.text("service", m_place.service.text).number("try", m_attempts.sent).millis("left_ms", m_end - now);
    line.number("load", static_cast<std::int64_t>(m_state.board.load(now, endpoint)));
    line.number("slow_pct", static_cast<std::int64_t>(m_state.board.slowdown(now, endpoint) * percent));
    line.number("passed_full", choice.skippedFull).number("passed_avoided", choice.skippedAvoided);
    line.flag("new_connection", isNewConnection).number("version", m_table->version);
    line.millis("proof_age_ms", now - m_state.proof.provedAt());
    m_state.log.write(line, LogPriority::Routine);
}

std::string RequestFlow::encodeRequest(Instant now, const EndpointState &endpoint) const
{
    const RequestHead &head = m_request.head;
    std::string bytes = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    for (const HttpField &field : head.fields) {
        if (!isHopByHopField(head.fields, field.name) && !m_state.headerCodec.isRouterOnlyField(field.name)) {
            appendField(bytes, field.name, field.value);
        }
    }
    AttemptFields attempt;
    attempt.left = m_end - now;
    attempt.expected = endpoint.record.id;
    attempt.resumeAfter = m_events.lastId();
    attempt.cacheSource = m_state.board.cacheSource(now, m_place, endpoint.record.id);
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

/// When the attempt at hand counts as silent. Only one that may be repeated is given up early enough for another one; a
/// stream that has begun goes on elsewhere after a long pause, as callers leave a stream that stands still. A request
/// that waits at a replica whose streams all stand still is given up soon.
Instant RequestFlow::progressBy() const
{
    const bool mayRepeat = m_attempts.isRetryable && m_attempts.possibleRuns + 1 < m_attempts.maxAttempts;
    if (!m_link || !mayRepeat) {
        return m_end;
    }
    Duration silence{};
    if (isFlowing()) {
        silence = std::max<Duration>(m_route->eventGapObjective * silenceOfGap, leastPause);
    } else if (m_state.board.isStalled(m_lookedAt, m_endpoint)) {
        silence = leastSilence;
    } else {
        silence = std::max<Duration>(
            std::chrono::duration_cast<Duration>(m_route->latencyObjective * silenceOfObjective), leastSilence);
    }
    return std::min(m_end, std::max((isFlowing() ? m_lastEventAt : m_sentAt) + silence, m_patientUntil));
}

/// When to look next whether the replica is silent: while it reads long prompts, a pause may be over the objective.
Instant RequestFlow::lookAt() const
{
    const bool isStream = m_route->kind == CallKind::Stream && m_route->eventGapObjective > Duration{};
    if (!m_link || !isStream) {
        return m_end;
    }
    return std::max(isFlowing() ? m_lastEventAt : m_sentAt, m_lookedAt) + m_route->eventGapObjective * pausesOfSilence;
}

void RequestFlow::lookForSilence(Instant now)
{
    if (now < lookAt()) {
        return;
    }
    m_lookedAt = now;
    if (isFlowing() && m_state.board.onStreamStall(now, m_endpoint, m_route->eventGapObjective * pausesOfSilence)) {
        LogLine line("replica_silent");
        line.text("replica", m_endpoint.text).text("request", m_fields.request.text);
        line.millis("paused_ms", now - m_lastEventAt);
        m_state.log.write(line, LogPriority::Notable);
        m_state.onNews(); // peers are told with the counts
    }
}

/// Moved to an earlier deadline at once, to a later one when it fires.
void RequestFlow::armTimer()
{
    m_timer.expires_at(std::min(progressBy(), lookAt()));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->m_isEnded) {
            self->onTimer();
        }
    });
}

void RequestFlow::onTimer()
{
    if (m_link) {
        m_link->poll(); // after a suspension, bytes may have waited as long as the timer
    }
    const Instant now = clockNow();
    if (m_isEnded) {
        return;
    }
    if (now >= m_end) {
        abandonAttempt(m_hasHead ? AttemptOutcome::Abandoned : AttemptOutcome::Failed);
        giveUp(EndReason::Expired);
        return;
    }
    lookForSilence(now);
    if (now < progressBy()) {
        armTimer();
        return;
    }
    if (!takeRetry(now)) {
        m_patientUntil = now + retrySoon;
        armTimer();
        return;
    }
    logRetry(EndReason::Silent);
    m_place.excluded.insert(m_endpoint);
    abandonAttempt(AttemptOutcome::Failed);
    place(now);
}

/// @return true if the service's budget allows one more attempt; it is then counted
bool RequestFlow::takeRetry(Instant now)
{
    if (m_state.budget.take(now, m_place.service)) {
        return true;
    }
    m_state.figures.onRetryDenied(m_place.service);
    LogLine line("retry_denied");
    line.text("request", m_fields.request.text).text("service", m_place.service.text);
    m_state.log.write(line, LogPriority::Notable);
    return false;
}

/// Ends the attempt at hand. The replica stops working when its connection closes.
void RequestFlow::abandonAttempt(AttemptOutcome end)
{
    if (!m_link) {
        return;
    }
    const bool mayHaveRun = m_link->mayHaveSent() && !(m_hasHead && m_answer.reportsNotRun);
    m_attempts.possibleRuns += mayHaveRun ? 1 : 0;
    m_attempts.mayHaveRun = m_attempts.mayHaveRun || mayHaveRun;
    m_link->cancel();
    endAttempt(mayHaveRun ? end : AttemptOutcome::Unreachable);
}

void RequestFlow::onHead(ResponseHead &head, const ResponseFields &answer)
{
    m_hasHead = true;
    m_head = std::move(head);
    m_answer = answer;
    if (answer.load) {
        m_state.board.onLoad(clockNow(), m_endpoint, *answer.load);
    }
}

void RequestFlow::onBody(std::string &body)
{
    const bool isEventStream =
        m_route->kind == CallKind::Stream && m_head.status == statusOk && m_answer.hasChecksum && !m_answer.isEncoded;
    if (isEventStream) {
        relayEvents(body);
    } else {
        m_body += body;
    }
    body.clear();
}

void RequestFlow::endAttempt(AttemptOutcome end)
{
    if (m_state.board.onEnded(clockNow(), m_endpoint, end)) {
        LogLine line("replica_avoided");
        line.text("replica", m_endpoint.text).text("after_request", m_fields.request.text);
        m_state.log.write(line, LogPriority::Notable);
    }
    m_link.reset();
}

bool RequestFlow::isWholeStream() const
{
    return !m_events.hasPartialEvent() && !m_events.hasGap();
}

void RequestFlow::onDone()
{
    const Instant now = clockNow();
    m_state.links.release(m_endpoint, m_link);
    if (m_answer.reportsNotRun) {
        endAttempt(AttemptOutcome::Refused);
        afterFailure(EndReason::AllRefused);
        return;
    }
    ++m_attempts.possibleRuns;
    m_attempts.mayHaveRun = true;
    const bool isGood = m_head.status < firstStatusOfErrors;
    const bool isTrusted = m_answer.hasChecksum && !(isGood && m_answer.isEncoded);
    if (m_attempts.isStreaming) {
        endAttempt(isWholeStream() ? AttemptOutcome::Good : AttemptOutcome::Failed);
        if (!isWholeStream() || !isTrusted || m_head.status != statusOk) {
            afterFailure(EndReason::BrokenAnswer);
            return;
        }
        m_caller->endStream();
        finish("served", m_head.status, nullptr);
        return;
    }
    if (!isTrusted) {
        endAttempt(AttemptOutcome::Failed);
        afterFailure(EndReason::BrokenAnswer);
        return;
    }
    const bool isError = m_head.status >= firstStatusOfServerErrors;
    endAttempt(isError ? AttemptOutcome::Error : AttemptOutcome::Good);
    const auto allowExtra = [this, now] { return takeRetry(now); };
    if (isError && m_attempts.isRetryable && decideRetry(m_attempts, allowExtra) == RetryDecision::Retry) {
        logRetry(EndReason::ReplicaError);
        m_place.excluded.insert(m_endpoint);
        place(now);
        return;
    }
    forwardAnswer();
}

void RequestFlow::onFailed(RequestProgress how)
{
    const bool mayHaveRun = how != RequestProgress::NotSent && !(m_hasHead && m_answer.reportsNotRun);
    if (mayHaveRun) {
        ++m_attempts.possibleRuns;
        m_attempts.mayHaveRun = true;
    }
    endAttempt(how == RequestProgress::NotSent ? AttemptOutcome::Unreachable : AttemptOutcome::Failed);
    afterFailure(mayHaveRun ? EndReason::BrokenAnswer : EndReason::Unreachable);
}

void RequestFlow::afterFailure(EndReason reason)
{
    const Instant now = clockNow();
    const auto allowExtra = [this, now] { return takeRetry(now); };
    m_place.excluded.insert(m_endpoint);
    if (decideRetry(m_attempts, allowExtra) == RetryDecision::Fail) {
        giveUp(reason);
        return;
    }
    logRetry(reason);
    place(now);
}

void RequestFlow::logRetry(EndReason reason) const
{
    LogLine line("retried");
    line.text("request", m_fields.request.text).text("reason", text(reason)).text("replica", m_endpoint.text);
    line.number("sent", m_attempts.sent).number("ran", m_attempts.possibleRuns);
    m_state.log.write(line, LogPriority::Notable);
}

// Answering

/// @return the fields of a replica's answer that its caller gets
static HttpFields passedOn(const HttpFields &fields)
{
    HttpFields passed;
    for (const HttpField &field : fields) {
        if (!isHopByHopField(fields, field.name)) {
            passed.push_back(field);
        }
    }
    return passed;
}

void RequestFlow::relayEvents(std::string &body)
{
    const std::string events = m_events.take(body);
    const Instant now = clockNow();
    if (m_attempts.isStreaming) {
        m_longestGap = std::max<Duration>(m_longestGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
    m_state.board.onStreamEvent(now, m_endpoint);
    if (std::min(progressBy(), lookAt()) < m_timer.expiry()) {
        armTimer();
    }
    if (events.empty() || m_events.hasGap()) {
        return; // a gap is dealt with at the end of the attempt
    }
    if (!m_attempts.isStreaming) {
        m_attempts.isStreaming = true;
        ++m_state.counts.streaming;
        m_firstAt = clockNow();
        m_caller->beginStream(m_head.status, passedOn(m_head.fields));
        m_caller->onDrained = [self = shared_from_this()] {
            if (self->m_link) {
                self->m_link->pauseReading(false);
            }
        };
    }
    m_caller->streamBytes(events);
    if (m_caller->pending() > mostUnreadBytes && m_link) {
        m_link->pauseReading(true);
    }
}

void RequestFlow::forwardAnswer()
{
    const int status = m_head.status;
    m_firstAt = clockNow();
    m_caller->answer(status, passedOn(m_head.fields), m_body);
    finish("served", status, nullptr);
}

static std::string seconds(Duration span)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    std::string fraction = std::to_string(millis % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(millis / 1000) + '.' + fraction;
}

void RequestFlow::refuse(int status, EndReason reason, Duration retryAfter)
{
    HttpFields fields;
    if (retryAfter > Duration{}) {
        fields.push_back({"Retry-After", seconds(retryAfter)});
    }
    m_caller->answer(status, fields, "");
    finish("refused", status, &reason);
}

/// No attempt follows. What the caller is told depends on what may have run, not on what failed last.
void RequestFlow::giveUp(EndReason reason)
{
    if (m_attempts.isStreaming) {
        abortResponse(reason);
        return;
    }
    if (!m_attempts.mayHaveRun) {
        refuse(statusUnavailable, reason, reason == EndReason::StaleKeys ? retryWhenProved : retrySoon);
        return;
    }
    const int status = reason == EndReason::Expired ? statusGatewayTimeout : statusBadGateway;
    m_caller->answer(status, {}, "");
    finish("failed", status, &reason);
}

void RequestFlow::abortResponse(EndReason reason)
{
    m_caller->abortResponse();
    finish("broken", m_head.status, &reason);
}

/// Nobody waits for the answer any more: the replica is told by the end of its connection.
void RequestFlow::onCallerGone()
{
    if (m_isEnded) {
        return;
    }
    const EndReason reason = EndReason::CallerGone;
    abandonAttempt(AttemptOutcome::Abandoned);
    finish("gone", 0, &reason);
}

void RequestFlow::finish(std::string_view outcome, int status, EndReason const *reason)
{
    const auto self = shared_from_this();
    m_isEnded = true;
    m_timer.cancel();
    const bool isServed = outcome == "served";
    (isServed ? m_state.counts.answered : m_attempts.mayHaveRun ? m_state.counts.failed : m_state.counts.refused)++;
    const Instant now = clockNow();
    LogLine line(outcome);
    line.text("request", m_fields.request.text).number("status", status);
    if (reason) {
        line.text("reason", text(*reason)).flag("may_have_run", m_attempts.mayHaveRun);
    }
    if (m_route) {
        line.text("route", m_route->id.text).text("service", m_place.service.text);
    }
    line.text("replica", m_endpoint.text).number("sent", m_attempts.sent).number("ran", m_attempts.possibleRuns);
    if (m_place.affinity) {
        line.number("prompt", static_cast<std::int64_t>(*m_place.affinity % shownPrompts));
    }
    line.millis("took_ms", now - m_request.arrival);
    if (m_firstAt != Instant{}) {
        line.millis("first_ms", m_firstAt - m_request.arrival);
    }
    if (m_attempts.isStreaming) {
        line.millis("gap_ms", m_longestGap);
    }
    if (m_table) {
        line.number("version", m_table->version).millis("proof_age_ms", now - m_state.proof.provedAt());
    }
    m_state.log.write(line, isServed ? LogPriority::Routine : LogPriority::Notable);
    count(now, outcome, reason);
    m_caller->onDisconnected = nullptr;
}

void RequestFlow::count(Instant now, std::string_view outcome, EndReason const *reason)
{
    EndedCall call;
    if (m_route) {
        call.kind = m_route->kind;
    }
    if (m_account) {
        call.account = m_account->id;
    }
    call.outcome = outcome;
    call.reason = reason ? text(*reason) : "";
    call.took = now - m_request.arrival;
    call.sent = m_attempts.sent;
    if (m_firstAt != Instant{}) {
        call.first = m_firstAt - m_request.arrival;
    }
    if (m_attempts.isStreaming) {
        call.longestGap = m_longestGap;
    }
    m_state.figures.onEnded(call);
}

} // namespace galenafold
