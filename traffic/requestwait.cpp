// How a request waits for room at a replica.
#include "traffic/requesthandler.h"

#include <algorithm>

namespace galenafold
{

constexpr double maxResponseFraction = 0.9;     // of the latency objective; the rest is left for a wait
constexpr double unknownResponseFraction = 0.5; // of the latency objective, while response times are not known
constexpr double retryWaitFraction = 0.5;       // of the latency objective, for a request that was sent before
constexpr std::size_t bytesBesidesBody = 4096;  // of a waiting request: head, decoded fields

/// Refused at once if it cannot be expected to start in time. @return false if it does not wait
bool RequestHandler::waitForRoom(Instant now)
{
    AdmissionRequest request = admissionRequest(now);
    const AdmissionDecision decision =
        m_state.waitingForRoom.add(now, shared_from_this(), m_selection.service, request);
    logWait(decision, request);
    m_roomExpectedIn = decision.retryAfter;
    if (!decision.waits) {
        m_state.waitingForRoom.onRefused(m_selection.service, text(decision.refusal));
        return false;
    }
    m_isWaiting = true;
    m_waitKey = request.key;
    m_waitingSince = now;
    return true;
}

AdmissionRequest RequestHandler::admissionRequest(Instant now) const
{
    AdmissionRequest request;
    request.priority = m_route->priority;
    if (m_account) {
        request.account = m_account->id;
        request.accountPriority = m_account->priority;
    }
    request.isRetry = m_attempts.sent > 0;
    request.cost = expectedCost(m_fields);
    request.startBy = latestStart(now);
    request.bytes = m_request.body.size() + bytesBesidesBody;
    return request;
}

/// @param hasShared as in `expectedWork`
ServiceWork RequestHandler::work(bool hasShared) const
{
    return expectedWork(m_fields, hasShared, m_route->kind == RequestKind::Stream);
}

/// The first replica with room is rarely the one that has the prompt's shared parts cached.
/// @return time from the start of an attempt to its response, as far as it is known and the objective can be met
Duration RequestHandler::expectedResponseTime() const
{
    const auto times = m_state.serviceTimes.find(m_selection.service);
    const Duration known =
        times == m_state.serviceTimes.end() ? Duration{} : times->second.likelyFirstEvent(m_route->id, work(false));
    const auto fraction = [this](double of) {
        return std::chrono::duration_cast<Duration>(m_route->latencyObjective * of);
    };
    return known > Duration{} ? std::min(known, fraction(maxResponseFraction)) : fraction(unknownResponseFraction);
}

/// @return when the request must start at the latest: for a response within the objective, or, if it was sent before,
/// soon
Instant RequestHandler::latestStart(Instant now) const
{
    const Duration response = expectedResponseTime();
    const Instant inDeadline = m_deadline - response;
    if (m_attempts.sent > 0) {
        const auto wait = std::chrono::duration_cast<Duration>(m_route->latencyObjective * retryWaitFraction);
        return std::min<Instant>(inDeadline, now + wait);
    }
    return std::min<Instant>(inDeadline, m_request.arrival + m_route->latencyObjective - response);
}

/// A retry is charged to the budget now that it is sent.
void RequestHandler::onAdmitted(Instant now, const ReplicaChoice &choice)
{
    m_isWaiting = false;
    m_state.waitingForRoom.onStarted(m_selection.service, now - m_waitingSince);
    logAdmitted(now);
    if (isBlocked(now)) {
        giveUp(EndReason::QueryOfDeath);
    } else if (m_attempts.sent > 0 && choice && !takeFromBudget(now)) {
        giveUp(EndReason::NoRoom);
    } else {
        start(now, choice);
    }
}

void RequestHandler::onNotAdmitted(EndReason reason, AdmissionRefusal why)
{
    const Instant now = clockNow();
    m_isWaiting = false;
    m_state.waitingForRoom.onRefused(m_selection.service, reason == EndReason::NoRoomInTime ? "expired" : text(why));
    m_roomExpectedIn = m_state.waitingForRoom.admission().retryAfter(now, m_selection.service, admissionRequest(now));
    giveUp(reason);
}

/// A request that was sent before stays with its route, as its other attempts did; its key is checked when it is sent.
void RequestHandler::onDesiredState()
{
    if (m_isFinished) {
        return; // ended by what was refused before it
    }
    const Instant now = clockNow();
    m_isWaiting = false;
    if (m_attempts.sent == 0 && !route(now)) {
        return;
    }
    const Instant since = m_waitingSince;
    if (!waitForRoom(now)) {
        giveUp(EndReason::NoRoom);
        return;
    }
    m_waitingSince = since;
}

void RequestHandler::onStoppingAt(Instant stopsAt)
{
    if (!m_isFinished && m_deadline > stopsAt) {
        giveUp(EndReason::Stopping);
    }
}

void RequestHandler::logWait(const AdmissionDecision &decision, const AdmissionRequest &request) const
{
    constexpr double hundredths = 100;
    const Instant now = clockNow();
    LogLine line(decision.waits ? "request_waits" : "not_admitted");
    line.text("request", m_fields.request.text).text("service", m_selection.service.text);
    line.text("why", text(decision.refusal)).text("account", request.account.text);
    line.number("priority", request.accountPriority.value_or(request.priority));
    line.number("route_priority", request.priority).number("rank", decision.rank);
    line.number("use_pct", static_cast<std::int64_t>(decision.use * hundredths));
    line.number("cost", static_cast<std::int64_t>(request.cost));
    line.number("waiting", static_cast<std::int64_t>(decision.waiting));
    line.number("work_before_pct", static_cast<std::int64_t>(decision.workBefore * hundredths));
    line.number("starts_per_s_pct", static_cast<std::int64_t>(decision.startRate * hundredths));
    line.millis("expected_wait_ms", decision.expectedWait).millis("start_within_ms", request.startBy - now);
    line.number("free_slots", static_cast<std::int64_t>(m_state.loadBalancer.freeSlots(now, m_selection.service)));
    m_state.log.write(line, decision.waits ? LogPriority::Routine : LogPriority::Notable);
}

void RequestHandler::logAdmitted(Instant now) const
{
    LogLine line("admitted");
    line.text("request", m_fields.request.text).text("service", m_selection.service.text);
    line.millis("waited_ms", now - m_waitingSince);
    line.number("waiting", static_cast<std::int64_t>(m_state.waitingForRoom.admission().waiting(m_selection.service)));
    line.number("free_slots", static_cast<std::int64_t>(m_state.loadBalancer.freeSlots(now, m_selection.service)));
    m_state.log.write(line, LogPriority::Routine);
}

} // namespace galenafold
