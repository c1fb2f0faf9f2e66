// Where one request goes: its route, client account and service, and the replica for its next attempt.
#include "net/status.h"
#include "traffic/requesthandler.h"

#include <algorithm>

namespace galenafold
{

constexpr auto defaultCallerTimeout = std::chrono::seconds(30); // if the caller sends no deadline

RequestHandler::RequestHandler(TrafficState &state, std::shared_ptr<CallerConnection> caller, CallerRequest &&request)
    : m_state(state)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_timer(state.io)
    , m_held(state.memory, MemoryUse::Response)
{
    ++m_state.counts.inProgress;
    m_held.onGivenUp = [this] { onResponseGivenUp(); };
}

RequestHandler::~RequestHandler()
{
    --m_state.counts.inProgress;
    m_state.counts.streaming -= m_attempts.isStreaming ? 1 : 0;
}

void RequestHandler::begin()
{
    const Instant now = clockNow();
    if (m_isFinished) {
        return; // the caller disconnected while the request waited
    }
    m_fields = m_state.headerCodec.decodeRequest(m_request.head.fields);
    if (m_state.gate.verdict(now) == StartupGate::Verdict::Wait) {
        waitForStart();
        return;
    }
    if (!route(now)) {
        return;
    }
    m_events.skipUpTo(m_fields.resumeAfter);
    watchCaller();
    armTimer();
    m_state.budget.onFirstAttempt(now, m_selection.service);
    if (m_route->isRetryable() && m_route->kind == RequestKind::Stream && m_fields.takesUpStream()) {
        findOrigin(now);
    } else {
        dispatch(now);
    }
}

/// @return false if the request was refused
bool RequestHandler::route(Instant now)
{
    m_route = nullptr; // a request that waited is routed anew: nothing of the table before may be used
    m_account = nullptr;
    m_selection = SelectionRequest();
    m_suspect = SuspectKeys();
    m_table = m_state.table;
    if (!findRoute(now) || !checkApiKey(now)) {
        return false;
    }
    m_deadline =
        m_request.arrival + std::min<Duration>(m_fields.callerTimeout.value_or(defaultCallerTimeout), m_route->timeout);
    if (m_state.stopsAt && m_deadline > *m_state.stopsAt) {
        refuse(statusUnavailable, EndReason::Stopping);
        return false;
    }
    m_attempts.isRetryable = m_route->isRetryable();
    m_attempts.isResumable = m_route->isResumable;
    m_attempts.maxAttempts = m_route->maxAttempts;
    m_selection.service = selectService(*m_route, m_fields.firstRequest());
    m_selection.version = m_version;
    if (m_version && m_versionOf != m_selection.service) {
        refuse(statusUnavailable, EndReason::UnknownOrigin); // the route has changed while it waited
        return false;
    }
    static const AccountId noAccount;
    m_suspect.whole = contentKey({m_selection.service, m_request.head.method, *findField(m_request.head.fields, "host"),
                                  m_request.head.target, m_account ? m_account->id : noAccount, m_request.body});
    if (m_route->hasPrefixAffinity) {
        m_selection.affinity = affinityKey(m_fields.promptParts);
        m_suspect = suspectKeys(m_selection.service, m_fields.promptParts, m_suspect.whole);
        const auto spec = m_table->services.find(m_selection.service);
        m_selection.tokens = promptTokens(m_fields) + responseTokens(m_fields);
        m_selection.replicaTokens = spec == m_table->services.end() ? 0 : spec->second.cacheTokens;
    }
    m_selection.allowedDataCentres =
        allowedDataCentres(m_state.settings.regions, m_route->allowedRegions,
                           m_account ? m_account->allowedRegions : std::vector<RegionId>());
    return true;
}

void RequestHandler::watchCaller()
{
    m_caller->onDisconnected = [self = shared_from_this()] { self->onCallerDisconnected(); };
    m_caller->onStopping = [self = shared_from_this()] { self->onStopping(); };
}

void RequestHandler::waitForStart()
{
    LogLine line("queued");
    line.text("request", m_fields.request.text).text("reason", text(EndReason::NoDesiredState));
    m_state.log.write(line, LogPriority::Notable);
    watchCaller();
    m_state.waiting.push_back(shared_from_this());
}

/// While the desired state is not confirmed to be recent, an unknown route may be a new one. The caller then gets 503,
/// which it may retry, instead of 404.
bool RequestHandler::findRoute(Instant now)
{
    if (!m_table) {
        refuse(statusUnavailable, EndReason::NoDesiredState);
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
    if (m_state.proof.isValid(now)) {
        refuse(statusNotFound, EndReason::NoRoute);
    } else {
        refuse(statusUnavailable, EndReason::NoRoute);
    }
    return false;
}

bool RequestHandler::checkApiKey(Instant now)
{
    if (!m_table->requiresApiKeys || m_route->isPublic) {
        return true;
    }
    if (!m_state.proof.isValid(now)) {
        refuse(statusUnavailable, EndReason::StaleKeys);
        return false;
    }
    m_account = m_table->account(m_fields.apiKey);
    if (!m_account) {
        refuse(statusUnauthorized, EndReason::UnknownApiKey);
        return false;
    }
    return true;
}

bool RequestHandler::isBlocked(Instant now)
{
    return m_state.queryOfDeath.isBlocked(now, m_suspect);
}

/// @param choice an empty one @return what keeps requests away from replicas, first what ends soonest
static EndReason noReplicaReason(const ReplicaChoice &choice)
{
    if (choice.skippedTurnedAway > 0) {
        return EndReason::ReplicasTurnAway;
    }
    if (choice.skippedLimited > 0 || choice.skippedWarming > 0) {
        return EndReason::ReplicaLimits;
    }
    if (choice.skippedEvacuated > 0) {
        return EndReason::Evacuated;
    }
    if (choice.skippedRegion > 0) {
        return EndReason::NoAllowedRegion;
    }
    return choice.skippedVersion > 0 ? EndReason::NoReplicaOfVersion : EndReason::NoReplica;
}

void RequestHandler::dispatch(Instant now)
{
    if (isBlocked(now)) {
        giveUp(EndReason::QueryOfDeath);
        return;
    }
    if (!m_state.waitingForRoom.admission().mustWait(m_selection.service)) {
        start(now, chooseReplica(now));
    } else if (!waitForRoom(now)) {
        giveUp(EndReason::NoRoom);
    }
}

/// Sends the first attempt, or waits if replicas are left that have no room.
void RequestHandler::start(Instant now, const ReplicaChoice &choice)
{
    if (choice) {
        attempt(now, choice);
    } else if (choice.skippedBusy == 0) {
        giveUp(noReplicaReason(choice));
    } else if (!waitForRoom(now)) {
        giveUp(EndReason::NoRoom);
    }
}

/// A replica that refused the request is full and is not asked again. One that failed in another way may serve it the
/// next time, once all others were tried. A stream that has begun is continued at once, so as not to break.
ReplicaChoice RequestHandler::chooseReplica(Instant now)
{
    m_selection.needsRoom = !m_attempts.isStreaming;
    const Admission &admission = m_state.waitingForRoom.admission();
    const AccountId account = m_account ? m_account->id : AccountId();
    m_selection.leavesBacklog = m_attempts.sent == 0 && admission.isOverShare(now, m_selection.service, account);
    m_selection.yielding = admission.inProgressOverShare(m_selection.service);
    ReplicaChoice choice = m_state.loadBalancer.choose(now, m_selection);
    if (!choice && choice.skippedBusy == 0 && m_selection.excluded != m_refusedBy && mayReturn(now)) {
        m_selection.excluded = m_refusedBy;
        choice = m_state.loadBalancer.choose(now, m_selection);
    }
    if (!choice && choice.skippedTurnedAway > 0) {
        m_turnedAwayUntil = choice.turnedAwayUntil;
    }
    return choice;
}

} // namespace galenafold
