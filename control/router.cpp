// The chain of filters, driven by events: admission, queue, placement, attempts, retries and hedges.
#include "control/router.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr auto shareUpdateInterval = std::chrono::milliseconds(100);
constexpr std::size_t routersAtFullRate = 200; // larger fleets update shares less often
constexpr auto waitCheckInterval = std::chrono::milliseconds(250);
constexpr auto baseLatency = std::chrono::milliseconds(10); // of any response, in addition to the time for its tokens
constexpr double earlyEndFraction = 0.7;  // of the announced duration; an earlier end of a brief call is sent to peers
constexpr double hedgeBurst = 3;          // capacity of the hedge budget, and its content at the start
constexpr int naiveMaxAttempts = 3;       // for each call, under the naive policy
constexpr double serviceTimeMargin = 1.2; // factor on the expected service time that is reserved before a deadline

Router::Router(const Settings &settings)
    : m_settings(settings)
    , m_view(settings.placement)
    , m_placer(settings.placement, settings.queue, settings.seed)
    , m_queue(settings.queue)
    , m_limiter(settings.limits)
    , m_shares(settings.limits)
    , m_outlierDetector(settings.outlierDetection, hashName(settings.name.text))
    , m_peerLoads(settings.limits.peerTimeout)
    , m_retryBudget(settings.retry.budget, settings.retry.burst)
    , m_hedgeBudget(settings.outlierDetection.hedgeBudget, hedgeBurst)
{
    onMembershipChanged();
}

std::string Router::classKey(const Call &call)
{
    return call.customer.text + '/' + call.taskClass;
}

// Calls

Reason Router::admit(Instant now, const Contract &contract)
{
    ++m_counts.arrivals;
    m_shares.onArrival(now, contract.customer);
    const Reason reason = m_limiter.admit(now, contract, m_shares);
    if (reason != Reason::None) {
        ++m_counts.refusals[reason];
    }
    return reason;
}

void Router::cancelAdmission(const CustomerId &customer)
{
    m_limiter.release(customer);
}

QueuedCall Router::queuedCall(const ActiveCall &active) const
{
    const Call &call = active.call;
    const std::chrono::duration<double> service(workSeconds(call.prompt, call.output) * serviceTimeMargin);
    QueuedCall queued;
    queued.key = call.key;
    queued.customer = call.customer;
    queued.weight = active.weight;
    queued.cost = std::max(1.0, call.output);
    queued.startBy = call.deadline - std::chrono::duration_cast<Duration>(service);
    return queued;
}

void Router::submit(Instant now, const Call &call, double weight, Actions &actions)
{
    ActiveCall &active = m_calls[call.key];
    active.call = call;
    active.call.output = m_lengths.expected(call.customer, call.taskClass, call.output);
    active.weight = weight;
    const Reason reason = m_queue.push(now, call.lane, queuedCall(active));
    if (reason != Reason::None) {
        refuse(now, active, reason, actions);
        return;
    }
    active.isQueued = true;
    drainQueue(now, actions);
}

void Router::drainQueue(Instant now, Actions &actions)
{
    std::vector<CallKey> unplaceable;
    m_queue.drain(now, [&](const QueuedCall &queued) {
        ActiveCall &active = m_calls.at(queued.key);
        if (tryStart(now, active, actions)) {
            active.isQueued = false;
            return true;
        }
        const Pool *pool = m_view.pool(active.call.pool);
        if (!pool || pool->members.empty()) {
            unplaceable.push_back(queued.key);
        }
        return false;
    });
    for (const CallKey key : unplaceable) {
        const auto active = m_calls.find(key);
        if (active != m_calls.end() && m_queue.remove(key)) {
            refuse(now, active->second, Reason::NoEndpoint, actions);
        }
    }
}

bool Router::tryProbe(Instant now, const ActiveCall &active, Placement &placement)
{
    const Call &call = active.call;
    const Pool *pool = m_view.pool(call.pool);
    const bool mayProbe = pool && call.lane == Lane::Short && call.isIdempotent && active.attemptsMade == 0;
    EndpointIndex endpoint{};
    if (!mayProbe || !m_outlierDetector.takeProbe(now, *pool, m_view, m_shares.routerCount(), endpoint)) {
        return false;
    }
    ++m_counts.probes;
    placement.action = PlacementAction::Send;
    placement.endpoint = endpoint;
    placement.placementReason = PlacementReason::Probe;
    return true;
}

bool Router::tryStart(Instant now, ActiveCall &active, Actions &actions)
{
    Placement placement;
    if (!tryProbe(now, active, placement)) {
        placement = m_placer.choose(now, active.call, m_view, active.excluded);
    }
    if (placement.action != PlacementAction::Send) {
        return false;
    }
    startAt(now, active, placement, false, actions);
    return true;
}

void Router::startAt(Instant now, ActiveCall &active, const Placement &placement, bool isHedge, Actions &actions)
{
    Attempt attempt;
    attempt.number = ++active.attemptsMade;
    attempt.endpoint = placement.endpoint;
    attempt.sent = now;
    attempt.nextWaitCheck = now + waitCheckInterval;
    attempt.resumeFrom = active.relayed;
    attempt.isProbe = placement.placementReason == PlacementReason::Probe;
    active.live.push_back(attempt);
    if (attempt.number == 1) {
        ++m_counts.firstAttempts;
        m_retryBudget.onFirstAttempt();
        m_hedgeBudget.onFirstAttempt();
    }
    ++m_counts.placements[placement.placementReason];
    m_view.onSent(now, placement.endpoint, active.call.lane);
    addStartNotice(active.call, placement.endpoint);
    m_placer.onStarted(placement);
    StartAttempt start;
    start.call = active.call.key;
    start.attempt = attempt.number;
    start.endpoint = m_view.at(placement.endpoint).vm;
    start.resumeFrom = active.relayed;
    start.isHedge = isHedge;
    start.placement = placement;
    actions.starts.push_back(start);
}

/// @return expected time to the first byte, from the call's prompt and output; zero for plain services, whose work is
/// unknown
Duration Router::expectedFirstByte(const Call &call, EndpointIndex endpoint, Tokens reused) const
{
    if (m_view.at(endpoint).vm.kind == VmKind::Service) {
        return Duration(0);
    }
    const Tokens output = call.isStream ? 1 : std::max(1.0, call.output);
    const std::chrono::duration<double> work(workSeconds(std::max(0.0, call.prompt - reused), output));
    return baseLatency + std::chrono::duration_cast<Duration>(work);
}

void Router::onFirstByte(Instant now, CallKey key, int attempt, Tokens reused, Actions &actions)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    ActiveCall &active = found->second;
    for (Attempt &live : active.live) {
        if (live.number != attempt) {
            actions.cancels.push_back({key, live.number});
            if (live.number < attempt) {
                m_outlierDetector.onOvertaken(now, live.endpoint);
            }
            continue;
        }
        live.hasFirstByte = true;
        const Duration expectedWait = expectedFirstByte(active.call, live.endpoint, reused);
        m_outlierDetector.onFirstByte(now, live.endpoint, classKey(active.call), now - live.sent, expectedWait);
        m_placer.onServed(active.call.chat, live.endpoint);
    }
}

/// @return service time in seconds at the prefill and decode rates of the settings
double Router::workSeconds(Tokens prompt, Tokens output) const
{
    const PlacementSettings &speeds = m_settings.placement;
    return prompt / speeds.prefillTokensPerSecond + output / speeds.decodeTokensPerSecond;
}

std::chrono::milliseconds Router::expectedTime(const Call &call) const
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(workSeconds(call.prompt, call.output) * 1000));
}

bool Router::isBrief(const Call &call) const
{
    return expectedTime(call).count() < briefCallMillis;
}

void Router::recordEnd(Instant now, const Attempt &attempt, const Call &call)
{
    m_view.onEnded(now, attempt.endpoint, call.lane);
    if (!isBrief(call)) {
        m_hasLoadChanged = true;
        return;
    }
    const double announcedMillis = static_cast<double>(expectedTime(call).count()) * startNoticeMargin;
    const auto elapsedMillis = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.sent).count();
    if (static_cast<double>(elapsedMillis) < announcedMillis * earlyEndFraction) {
        StartNotice notice;
        notice.endpointHash = static_cast<std::uint32_t>(m_view.at(attempt.endpoint).hash);
        m_startNotices.push_back(notice); // a duration of zero makes peers cancel the start notice
    }
}

void Router::endCall(Instant now, CallKey key)
{
    const auto found = m_calls.find(key);
    for (const Attempt &attempt : found->second.live) {
        recordEnd(now, attempt, found->second.call); // a cancelled attempt that ends later no longer finds its call
    }
    m_limiter.release(found->second.call.customer);
    m_calls.erase(found);
}

void Router::refuse(Instant now, ActiveCall &active, Reason reason, Actions &actions)
{
    const ExecutionStatus execution = active.mayHaveRun ? ExecutionStatus::Unknown : ExecutionStatus::No;
    ++m_counts.refusals[reason];
    actions.refusals.push_back({active.call.key, reason, execution});
    endCall(now, active.call.key);
}

bool Router::allowRetry(const ActiveCall &active)
{
    if (m_settings.retry.policy == Policy::Naive) {
        return active.attemptsMade < naiveMaxAttempts;
    }
    return active.attemptsMade < m_settings.retry.maxAttempts && m_retryBudget.take();
}

Reason Router::failureReason(const ActiveCall &active, const AttemptReport &report, bool wasDenied) const
{
    if (wasDenied && active.attemptsMade < m_settings.retry.maxAttempts) {
        return Reason::RetryBudget;
    }
    return report.reportsNotRun ? Reason::EndpointRefused : Reason::EndpointFailed;
}

void Router::onAttemptEnded(Instant now, const AttemptReport &report, Actions &actions)
{
    const auto found = m_calls.find(report.call);
    if (found == m_calls.end()) {
        return;
    }
    ActiveCall &active = found->second;
    const auto isReported = [&report](const Attempt &attempt) { return attempt.number == report.attempt; };
    const auto live = std::find_if(active.live.begin(), active.live.end(), isReported);
    if (live == active.live.end()) {
        return;
    }
    const EndpointIndex endpoint = live->endpoint;
    const VmRecord vm = m_view.at(endpoint).vm;
    const bool hadFirstByte = live->hasFirstByte;
    const Instant sent = live->sent;
    recordEnd(now, *live, active.call);
    active.live.erase(live);
    if (report.reportsLeaving) {
        onLeaving(now, {vm.id, vm.incarnation});
    }
    active.mayHaveRun = active.mayHaveRun || executionOf(report) != ExecutionStatus::No;
    active.relayed = std::max(active.relayed, report.relayed);
    const bool isComplete = report.state == AttemptState::Complete && !report.isCancelled;
    if (isComplete) {
        m_lengths.addSample(active.call.customer, active.call.taskClass, report.generated);
        endCall(now, report.call);
        drainQueue(now, actions);
        return;
    }
    if (!report.isCancelled && report.state == AttemptState::NotSent) {
        m_outlierDetector.onConnectFailed(endpoint);
        if (const Pool *pool = m_view.pool(active.call.pool)) {
            m_outlierDetector.updateWeights(now, *pool, m_view);
        }
    } else if (!report.isCancelled && !hadFirstByte) {
        m_outlierDetector.onWaiting(now, endpoint, classKey(active.call), now - sent,
                                    expectedFirstByte(active.call, endpoint, 0));
    }
    active.excluded.push_back(endpoint);
    if (!cancelStaleAttempts(now, active, actions)) {
        retryOrFail(now, active, report, actions);
    }
    drainQueue(now, actions);
}

/// Cancels attempts that do not resume at the token offset that the caller has reached.
/// @return true if another attempt is left
bool Router::cancelStaleAttempts(Instant now, ActiveCall &active, Actions &actions)
{
    const auto isStale = [&](const Attempt &attempt) { return attempt.resumeFrom != active.relayed; };
    for (const Attempt &attempt : active.live) {
        if (isStale(attempt)) {
            actions.cancels.push_back({active.call.key, attempt.number});
            recordEnd(now, attempt, active.call);
            active.mayHaveRun = true;
        }
    }
    active.live.erase(std::remove_if(active.live.begin(), active.live.end(), isStale), active.live.end());
    return !active.live.empty();
}

/// Retries, resumes or fails a call that has no attempt left, by the outcome of all its attempts.
void Router::retryOrFail(Instant now, ActiveCall &active, const AttemptReport &report, Actions &actions)
{
    AttemptReport merged = report;
    merged.isCancelled = false; // after the winner has failed, a cancelled attempt may be the last one to end
    if (active.relayed > 0) {
        merged.state = AttemptState::Streaming;
        merged.relayed = active.relayed;
        merged.reportsNotRun = false;
    } else if (report.isCancelled) {
        merged.state = AttemptState::MaybeSent;
    }
    bool wasDenied = false;
    const bool hasAlternative =
        m_placer.choose(now, active.call, m_view, active.excluded).action != PlacementAction::None;
    const NextStep next = decideNextStep(active.call, merged, [&] {
        if (!hasAlternative) {
            return false; // does not take from the retry budget
        }
        const bool isAllowed = allowRetry(active);
        wasDenied = !isAllowed;
        return isAllowed;
    });
    if (next == NextStep::Fail || next == NextStep::Finish) {
        refuse(now, active, failureReason(active, report, wasDenied), actions);
        return;
    }
    ++m_counts.retries;
    startOrRequeue(now, active, actions);
}

void Router::startOrRequeue(Instant now, ActiveCall &active, Actions &actions)
{
    if (tryStart(now, active, actions)) {
        return;
    }
    if (now >= active.call.deadline) {
        refuse(now, active, Reason::EndpointFailed, actions);
        return;
    }
    const Reason reason = m_queue.push(now, active.call.lane, queuedCall(active));
    if (reason != Reason::None) {
        refuse(now, active, reason, actions);
        return;
    }
    active.isQueued = true;
}

void Router::onCallerDisconnected(Instant now, CallKey key, Actions &actions)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    ActiveCall &active = found->second;
    for (const Attempt &attempt : active.live) {
        actions.cancels.push_back({key, attempt.number});
    }
    m_queue.remove(key);
    ++m_counts.refusals[Reason::CallerDisconnected];
    endCall(now, key);
    drainQueue(now, actions);
}

void Router::checkWaiting(Instant now, ActiveCall &active)
{
    for (Attempt &attempt : active.live) {
        if (attempt.hasFirstByte || now < attempt.nextWaitCheck) {
            continue;
        }
        attempt.nextWaitCheck = now + waitCheckInterval;
        const Duration expectedWait = expectedFirstByte(active.call, attempt.endpoint, 0);
        m_outlierDetector.onWaiting(now, attempt.endpoint, classKey(active.call), now - attempt.sent, expectedWait);
    }
}

void Router::hedgeIfLate(Instant now, ActiveCall &active, Actions &actions)
{
    const Call &call = active.call;
    const bool mayHedge = m_settings.outlierDetection.policy == Policy::Galenafold && call.isIdempotent
        && call.lane == Lane::Short && !active.isHedged && active.live.size() == 1 && !active.live.front().hasFirstByte;
    if (!mayHedge) {
        return;
    }
    const Attempt &waiting = active.live.front();
    const double quantile = waiting.isProbe ? 0.5 : m_settings.outlierDetection.hedgePercentile;
    const Duration observed = m_outlierDetector.expected(classKey(call), quantile);
    const Duration expected = observed.count() > 0 ? observed : expectedFirstByte(call, waiting.endpoint, 0) * 5 / 4;
    const Duration hedgeDelay = waiting.isProbe ? expected / 2 : expected; // so that a probe does not delay its caller
    if (expected.count() == 0 || now - waiting.sent < hedgeDelay) {
        return;
    }
    std::vector<EndpointIndex> excluded = active.excluded;
    excluded.push_back(waiting.endpoint);
    const Placement placement = m_placer.choose(now, call, m_view, excluded);
    if (placement.action != PlacementAction::Send || (!waiting.isProbe && !m_hedgeBudget.take())) {
        return;
    }
    active.isHedged = true;
    ++m_counts.hedges;
    startAt(now, active, placement, true, actions);
}

void Router::onTick(Instant now, Actions &actions)
{
    for (const CallKey key : m_queue.expire(now)) {
        const auto found = m_calls.find(key);
        if (found != m_calls.end()) {
            refuse(now, found->second, Reason::WouldMissDeadline, actions);
        }
    }
    for (auto &[key, active] : m_calls) {
        checkWaiting(now, active);
        hedgeIfLate(now, active, actions);
    }
    if (now >= m_nextShareUpdate) {
        const auto intervalFactor = static_cast<Duration::rep>(1 + m_shares.routerCount() / routersAtFullRate);
        m_nextShareUpdate = now + shareUpdateInterval * intervalFactor;
        m_shares.onTick(now);
        refreshPools(now);
    }
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + std::chrono::seconds(1);
        m_view.expire(now);
    }
    drainQueue(now, actions);
}

void Router::refreshPools(Instant now)
{
    m_peerLoads.apply(now, m_peers, m_view);
    std::vector<PoolId> pools;
    for (const VmRecord &record : m_membership.routable()) {
        for (const PoolId &pool : record.pools) {
            if (std::find(pools.begin(), pools.end(), pool) == pools.end()) {
                pools.push_back(pool);
            }
        }
    }
    for (const PoolId &id : pools) {
        if (const Pool *pool = m_view.pool(id)) {
            m_outlierDetector.updateWeights(now, *pool, m_view);
        }
    }
}

// State of endpoints and peers

void Router::onMembershipChanged()
{
    std::vector<VmId> routers;
    m_peers.clear();
    for (const VmRecord &record : m_membership.entryVms()) {
        routers.push_back(record.id);
        if (record.id != m_settings.name) {
            m_peers.push_back(record.id);
        }
    }
    m_shares.setRouters(m_settings.name, routers);
    FleetPosition position;
    position.routers = static_cast<int>(m_shares.routerCount());
    for (const VmId &router : routers) {
        position.rank += router < m_settings.name ? 1 : 0;
    }
    m_placer.setPosition(position);
    m_limiter.setPosition(position);
    m_peerLoads.keepOnly(m_peers);
    const std::vector<VmRecord> routable = m_membership.routable();
    m_view.setRoutable(routable);
    m_endpointsByHash.clear();
    for (const VmRecord &record : routable) {
        m_endpointsByHash[vmHash(record.id)] = record.id;
    }
}

void Router::onVmList(Instant now, const std::vector<VmRecord> &list)
{
    (void)now;
    const std::vector<VmRecord> before = m_membership.entryVms();
    const bool hasChanged = m_membership.onVmList(list);
    const auto isSame = [](const VmRecord &a, const VmRecord &b) { return a.id == b.id; };
    const std::vector<VmRecord> after = m_membership.entryVms();
    if (hasChanged || !std::equal(before.begin(), before.end(), after.begin(), after.end(), isSame)) {
        onMembershipChanged();
    }
}

void Router::onLeaving(Instant now, const LeavingMark &mark)
{
    (void)now;
    if (m_membership.onLeaving(mark)) {
        onMembershipChanged();
    }
}

void Router::onLoadReport(Instant now, const LoadReport &report)
{
    if (report.isLeaving) {
        onLeaving(now, {report.endpoint, report.incarnation});
    }
    m_view.onReport(now, report);
}

void Router::onPrefixEvicted(const ChatId &chat, const VmId &endpoint)
{
    EndpointIndex index{};
    if (m_view.find(endpoint, index)) {
        m_placer.onPrefixEvicted(chat, index);
    }
}

} // namespace galenafold
