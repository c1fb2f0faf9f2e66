// What a request tells: log lines, metrics, service times, crashes and limits of its replicas. Sections of this file:
// Reasons, Log lines, Service times, Replicas, Metrics.
#include "galenafold/hex.h"
#include "traffic/requesthandler.h"

#include <cmath>

namespace galenafold
{

constexpr double percent = 100;
constexpr std::uint64_t promptLogModulus = 1000000; // six digits are enough to tell prompts apart in log lines

// Reasons

const char *text(EndReason reason)
{
    switch (reason) {
    case EndReason::NoDesiredState:
        return "no_desired_state";
    case EndReason::NoRoute:
        return "no_route";
    case EndReason::UnknownApiKey:
        return "unknown_key";
    case EndReason::StaleKeys:
        return "stale_keys";
    case EndReason::NoReplica:
        return "no_replica";
    case EndReason::ReplicaLimits:
        return "replica_limits";
    case EndReason::QueryOfDeath:
        return "query_of_death";
    case EndReason::Expired:
        return "expired";
    case EndReason::AllRefused:
        return "all_refused";
    case EndReason::Unreachable:
        return "unreachable";
    case EndReason::BrokenResponse:
        return "broken_answer";
    case EndReason::AttemptTimeout:
        return "silent";
    case EndReason::ReplicaError:
        return "replica_error";
    case EndReason::ResponseTooLarge:
        return "response_too_large";
    case EndReason::CallerDisconnected:
        return "caller_gone";
    case EndReason::ReplicasTurnAway:
        return "replicas_turn_away";
    case EndReason::UnknownOrigin:
        return "unknown_origin";
    case EndReason::NoReplicaOfVersion:
        return "no_replica_of_version";
    case EndReason::Evacuated:
        return "evacuated";
    case EndReason::NoAllowedRegion:
        return "no_allowed_region";
    case EndReason::NoRoom:
        return "no_room";
    case EndReason::NoRoomInTime:
        return "no_room_in_time";
    case EndReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

// Log lines

void RequestHandler::logSent(Instant now, const ReplicaChoice &choice, bool isNewConnection) const
{
    const EndpointState &endpoint = *choice;
    LogLine line("sent");
    line.text("request", m_fields.request.text).text("replica", endpoint.record.id.text);
    line.text("service", m_selection.service.text).number("try", m_attempts.sent).millis("left_ms", m_deadline - now);
    line.number("load", static_cast<std::int64_t>(m_state.loadBalancer.load(now, endpoint)));
    line.number("own", endpoint.ownInFlight).text("load_from", text(m_state.loadBalancer.loadSource(now, endpoint)));
    line.number("room", static_cast<std::int64_t>(std::floor(m_state.loadBalancer.roomAt(now, endpoint))));
    line.millis("report_age_ms", endpoint.reportedAt == Instant{} ? Duration{} : now - endpoint.reportedAt);
    line.millis("expected_ms", m_expected.firstEvent);
    line.number("bound", static_cast<std::int64_t>(choice.bound));
    line.number("slow_pct", static_cast<std::int64_t>(m_state.loadBalancer.slowdown(now, endpoint) * percent));
    line.number("passed_full", choice.skippedFull).number("passed_avoided", choice.skippedAvoided);
    line.number("passed_limited", choice.skippedLimited).number("passed_leaving", choice.skippedLeaving);
    line.number("passed_turned_away", choice.skippedTurnedAway).number("passed_warming", choice.skippedWarming);
    line.number("passed_evacuated", choice.skippedEvacuated).number("passed_region", choice.skippedRegion);
    line.number("passed_version", choice.skippedVersion).text("software", endpoint.record.softwareVersion.text);
    line.number("passed_busy", choice.skippedBusy);
    line.flag("new_connection", isNewConnection).number("version", m_table->version);
    line.millis("proof_age_ms", now - m_state.proof.provedAt());
    m_state.log.write(line, LogPriority::Routine);
}

void RequestHandler::logRetry(EndReason reason) const
{
    LogLine line("retried");
    line.text("request", m_fields.request.text).text("reason", text(reason)).text("replica", m_endpoint.text);
    line.number("sent", m_attempts.sent).number("ran", m_attempts.possibleRuns);
    addBudget(line, clockNow());
    m_state.log.write(line, LogPriority::Notable);
}

/// Adds the use of the service's retry budget to a log line.
void RequestHandler::addBudget(LogLine &line, Instant now) const
{
    constexpr double hundredths = 100;
    const RetryBudgetUse use = m_state.budget.use(now, m_selection.service);
    line.text("service", m_selection.service.text).number("budget_first", use.first).number("budget_extra", use.extra);
    line.number("budget_share_pct", static_cast<std::int64_t>(use.minShare * hundredths));
}

void RequestHandler::logEnd(Instant now, std::string_view outcome, int status, EndReason const *reason)
{
    const bool isServed = outcome == "served";
    LogLine line(outcome);
    line.text("request", m_fields.request.text).number("status", status);
    if (reason) {
        line.text("reason", text(*reason)).flag("may_have_run", m_attempts.mayHaveRun);
    }
    if (m_route) {
        line.text("route", m_route->id.text).text("service", m_selection.service.text);
    }
    line.text("replica", m_endpoint.text).number("sent", m_attempts.sent).number("ran", m_attempts.possibleRuns);
    if (m_selection.affinity) {
        line.number("prompt", static_cast<std::int64_t>(*m_selection.affinity % promptLogModulus));
    }
    line.millis("took_ms", now - m_request.arrival);
    if (m_firstByteAt != Instant{}) {
        line.millis("first_ms", m_firstByteAt - m_request.arrival);
    }
    if (m_attempts.isStreaming) {
        line.millis("gap_ms", m_longestGap).flag("is_close_delimited", m_head.isCloseDelimited);
        line.number("last_event", m_events.lastId().value_or(-1));
    }
    if (m_table) {
        line.number("version", m_table->version).millis("proof_age_ms", now - m_state.proof.provedAt());
    }
    m_state.log.write(line, isServed ? LogPriority::Routine : LogPriority::Notable);
}

/// The shared parts of the prompts whose attempts ended before their first event tell which part crashes engines, and
/// the content which request does when it is repeated.
void RequestHandler::logBroken() const
{
    constexpr std::size_t maxLoggedParts = 8;
    std::string parts;
    for (std::size_t i = 0; i < std::min(m_fields.promptParts.size(), maxLoggedParts); ++i) {
        parts += (i == 0 ? "" : ",") + toHex(m_fields.promptParts[i].id);
    }
    LogLine line("attempt_broken");
    line.text("request", m_fields.request.text).text("replica", m_endpoint.text);
    line.text("service", m_selection.service.text).number("try", m_attempts.sent);
    line.millis("ran_ms", clockNow() - m_sentAt).flag("had_event", hasReceivedEvents());
    line.text("parts", parts).text("content", toHex(m_suspect.whole));
    m_state.log.write(line, LogPriority::Notable);
}

/// A response that ended in good order and is not whole. Which of the reasons holds tells a replica's end inside a
/// stream from an answer that has no place in it.
void RequestHandler::logCutOff(std::string_view why) const
{
    LogLine line("answer_cut_off");
    line.text("request", m_fields.request.text).text("replica", m_endpoint.text).text("why", why);
    line.number("status", m_head.status).number("try", m_attempts.sent);
    line.flag("is_stream", isEventStream()).flag("is_close_delimited", m_head.isCloseDelimited);
    line.flag("has_partial_event", m_events.hasPartialEvent()).flag("has_gap", m_events.hasGap());
    line.flag("had_event", hasReceivedEvents()).flag("was_streaming", m_attempts.isStreaming);
    m_state.log.write(line, LogPriority::Notable);
}

// Service times

/// A replica that ranks first for the prompt has its shared parts cached, mostly.
void RequestHandler::expectTimes(Instant now, const ReplicaChoice &choice)
{
    const bool isPreferred = choice.skippedFull + choice.skippedAvoided + choice.skippedBusy == 0;
    m_work = work(isPreferred && m_selection.affinity);
    m_occupancy = m_state.loadBalancer.occupancy(now, *choice);
    m_expected = m_state.serviceTimes[m_selection.service].estimate(m_work, m_occupancy);
}

void RequestHandler::noteFirstEvent(Instant now)
{
    m_firstEventAt = now;
    if (m_attempts.sent == 1) {
        m_state.serviceTimes[m_selection.service].onFirstEvent(m_route->id, m_work, m_occupancy, now - m_sentAt);
    }
}

/// A complete answer was received. Later attempts may only continue a stream, and say less of the service.
void RequestHandler::noteTimes(Instant now, bool isError)
{
    const Duration took = now - m_sentAt;
    m_state.loadBalancer.onAnswerTime(now, m_endpoint, took, m_route->latencyObjective);
    if (isError || m_attempts.sent > 1) {
        return;
    }
    if (m_firstEventAt < m_sentAt) {
        noteFirstEvent(now);
    }
    m_state.serviceTimes[m_selection.service].onEnd(m_work, m_occupancy, now - m_firstEventAt, took);
}

// Replicas

EndedConnection RequestHandler::endedConnection() const
{
    EndedConnection ended;
    ended.endpoint = m_endpoint;
    ended.address = m_address;
    ended.lastReceivedAt = m_connection->lastReceivedAt();
    ended.mayOpenForReuse = !m_state.loadBalancer.holds().isLeaving(m_incarnation);
    return ended;
}

/// The connection has ended before a complete response, perhaps without a crash.
void RequestHandler::reportIfCrashed() const
{
    if (m_trial.isOpen(clockNow())) {
        checkProcess(m_state.io, m_state.connectionPool, endedConnection(),
                     [report = crashReport(false)](const ProcessCheckResult &result) { report(result.state); });
    }
}

/// The prompt is a suspect only if the replica's process has ended with the connection, and if its trial was open then.
/// Otherwise a complete response clears it. @return what to do once the state of the process is known
std::function<void(ProcessState)> RequestHandler::crashReport(bool isResponseComplete) const
{
    const Instant brokenAt = clockNow();
    if (!m_trial.isOpen(brokenAt)) {
        return [](ProcessState) {};
    }
    return [&state = m_state, prompt = m_suspect, replica = m_endpoint, incarnation = m_incarnation, sentAt = m_sentAt,
            brokenAt, request = m_fields.request, isResponseComplete](ProcessState process) {
        const bool isReachable = process == ProcessState::Lives;
        LogLine line(isReachable ? "replica_reachable" : "replica_crashed");
        line.text("replica", replica.text).text("request", request.text);
        state.log.write(line, LogPriority::Notable);
        if (!isReachable) {
            state.queryOfDeath.onCrash(brokenAt, incarnation, prompt, sentAt);
            state.onPeerNews();
        } else if (isResponseComplete) {
            state.queryOfDeath.onAnswered(brokenAt, prompt);
        }
    };
}

/// An answer without checksum may come from elsewhere and does not end a limit.
void RequestHandler::noteRateLimit()
{
    const std::optional<double> limit = m_responseFields.rateLimit;
    if (!limit && !m_responseFields.hasChecksum) {
        return;
    }
    if (!m_state.loadBalancer.onRateLimit(clockNow(), m_endpoint, limit)) {
        return;
    }
    constexpr double secondsPerMinute = 60;
    LogLine line(limit ? "replica_limit" : "replica_limit_ended");
    line.text("replica", m_endpoint.text).text("request", m_fields.request.text);
    line.number("per_minute", static_cast<std::int64_t>(limit.value_or(0) * secondsPerMinute));
    m_state.log.write(line, LogPriority::Notable);
}

/// Each answer of a replica that leaves says so; the first one takes effect.
void RequestHandler::noteLeaving()
{
    if (!m_responseFields.isLeaving || !m_state.loadBalancer.holds().onLeaving(m_incarnation)) {
        return;
    }
    m_state.connectionPool.closeIdle(m_endpoint);
    LogLine line("replica_leaving");
    line.text("replica", m_endpoint.text).text("request", m_fields.request.text);
    m_state.log.write(line, LogPriority::Notable);
}

/// A replica that turned a request away may name the time for which it wants none.
void RequestHandler::noteTurnedAway()
{
    const std::optional<Duration> time = m_responseFields.retryAfter;
    if (!time || !m_state.loadBalancer.holds().onTurnedAway(clockNow(), m_incarnation, *time)) {
        return;
    }
    LogLine line("replica_turns_away");
    line.text("replica", m_endpoint.text).text("request", m_fields.request.text).millis("for_ms", *time);
    m_state.log.write(line, LogPriority::Notable);
}

// Metrics

void RequestHandler::recordMetrics(Instant now, std::string_view outcome, EndReason const *reason)
{
    CompletedRequest request;
    if (m_route) {
        request.kind = m_route->kind;
    }
    if (m_account) {
        request.account = m_account->id;
    }
    request.outcome = outcome;
    request.reason = reason ? text(*reason) : "";
    request.duration = now - m_request.arrival;
    request.attempts = m_attempts.sent;
    if (m_firstByteAt != Instant{}) {
        request.timeToFirstByte = m_firstByteAt - m_request.arrival;
    }
    if (m_attempts.isStreaming) {
        request.longestGap = m_longestGap;
        request.isCloseDelimited = m_head.isCloseDelimited;
    }
    m_state.metrics.onCompleted(request);
}

} // namespace galenafold
