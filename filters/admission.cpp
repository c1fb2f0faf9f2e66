// The order and the expected waits of requests that find no room. Sections of this file: Request, Push, Start, End,
// Estimates.
#include "filters/admission.h"

#include "filters/servicetime.h"
#include "galenafold/seconds.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double sharedTokenCost = 0.1;  // of a prompt token that other requests share: mostly cached by a replica
constexpr double outputTokenCost = 8;    // prompt tokens that an engine reads in the time of one token of output
constexpr double usualCostWeight = 0.02; // of the newest request
constexpr double maxUsualMultiple = 16; // of the usual cost: the most that one request counts, as callers may claim any
constexpr double turnWork = 1;          // deficit round robin: usual requests per turn of an account
constexpr auto startRateWindow = std::chrono::seconds(1); // short enough to follow replicas that become slow
constexpr auto refusedWindow = std::chrono::seconds(2);   // about the time after which refused callers return
constexpr auto tellTime = std::chrono::seconds(5);        // after a request had to wait, in which peers are told of use
constexpr int priorities = 16;                            // more than there are
constexpr int retryRank = -1;                             // ahead of all new requests
constexpr auto standingAfter = std::chrono::seconds(1);   // a backlog that lasts longer is no burst
constexpr double standingSlack = 0.6;                     // of the time to start, that a standing backlog may use
constexpr double pessimismStep = 1.25;                    // factor for a request that waited in vain
constexpr double pessimismDecay = 0.98;                   // factor for a request that started after a wait
constexpr int maxTries = 4; // requests that find no room; others may fit where the first ones do not
constexpr double maxPessimism = 3;
constexpr auto minRetryAfter = std::chrono::milliseconds(250);
constexpr double minRetrySpread = 0.125; // seconds; half of the range over which callers are spread
constexpr double maxRetrySpread = 2;     // seconds

constexpr auto hasWaiting = [](const auto &level) { return level.second.queue.size() > 0; };

// Request

const char *text(AdmissionRefusal refusal)
{
    switch (refusal) {
    case AdmissionRefusal::None:
        return "none";
    case AdmissionRefusal::TooLate:
        return "too_late";
    case AdmissionRefusal::Full:
        return "full";
    }
    return "unknown";
}

Tokens expectedCost(const RequestFields &fields)
{
    const Tokens shared = sharedTokens(fields);
    const Tokens unshared = std::max<Tokens>(0, promptTokens(fields) - shared);
    return std::max<Tokens>(0, unshared + sharedTokenCost * shared + outputTokenCost * responseTokens(fields));
}

Admission::Level::Level()
    : queue(turnWork, CallOrder::Deadline)
    , started(startRateWindow)
    , refused(refusedWindow)
{
}

void Admission::Backlog::add(Instant now)
{
    if (waiting++ == 0) {
        since = now;
    }
}

bool Admission::Backlog::isStanding(Instant now) const
{
    return waiting > 0 && now >= since + standingAfter;
}

Admission::Admission(const AdmissionSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

std::size_t Admission::waiting(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.backlog.waiting;
}

bool Admission::mustWait(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && (found->second.backlog.waiting > 0 || !found->second.window.mayStart(true));
}

std::vector<ServiceId> Admission::servicesWaiting() const
{
    std::vector<ServiceId> services;
    for (const auto &[id, service] : m_services) {
        if (service.backlog.waiting > 0) {
            services.push_back(id);
        }
    }
    return services;
}

/// Counts the cost as a multiple of the usual one. A request that gives no cost counts as usual.
QueuedCall Admission::queuedCall(Service &service, const AdmissionRequest &request)
{
    double work = 1;
    if (request.cost > 0) {
        Tokens &usual = service.usualCost ? *service.usualCost : service.usualCost.emplace(request.cost);
        usual += usualCostWeight * (std::min(request.cost, maxUsualMultiple * usual) - usual);
        work = request.cost / usual;
    }
    return {static_cast<CallKey>(request.key), {request.account.text}, 1, work, request.startBy};
}

// Push

AdmissionDecision Admission::push(Instant now, const ServiceId &service, const AdmissionRequest &request)
{
    Service &state = m_services[service];
    const QueuedCall call = queuedCall(state, request);
    m_lastWaitAt = now;
    AdmissionDecision decision;
    decision.use = m_use.multipleOfMean(now, service, request.account);
    decision.rank = rank(request, decision.use);
    Level &level = state.levels[decision.rank];
    estimate(now, state, decision.rank, call, decision);
    if (!isInTime(now, state, request, decision)) {
        decision.refusal = AdmissionRefusal::TooLate;
        level.refused.add(now, call.cost);
        decision.retryAfter = retryAfter(now, service, decision.rank);
        return decision;
    }
    decision.waits = true;
    level.queue.push(call, decision.use <= 1 ? CustomerPlace::Ahead : CustomerPlace::Last);
    const bool isHeavy = isOverShare(request, decision.use);
    m_entries[request.key] = {service, decision.rank, isHeavy, request.bytes};
    m_bytes += request.bytes;
    state.backlog.add(now);
    if (!isHeavy) {
        state.withinShare.add(now);
    }
    evictBeyondLimits(now, request, decision);
    decision.waiting = state.backlog.waiting;
    return decision;
}

/// @return of the services that have requests waiting, the one whose last rank is behind those of the others; of
/// several such, the one with most work in it
std::pair<const ServiceId, Admission::Service> &Admission::leastUrgentService()
{
    const auto last = [](const Service &service) {
        const auto level = std::find_if(service.levels.rbegin(), service.levels.rend(), hasWaiting);
        return level == service.levels.rend() ? std::make_pair(std::numeric_limits<int>::min(), 0.0)
                                              : std::make_pair(level->first, level->second.queue.queuedCost());
    };
    return *std::max_element(m_services.begin(), m_services.end(),
                             [&](const auto &a, const auto &b) { return last(a.second) < last(b.second); });
}

/// Removes the least urgent requests of all services until the limits hold: each time the last one of the account that
/// waits for most.
void Admission::evictBeyondLimits(Instant now, const AdmissionRequest &request, AdmissionDecision &decision)
{
    while (m_entries.size() > m_settings.capacity || m_bytes > m_settings.maxBytes) {
        auto &[service, state] = leastUrgentService();
        const auto lowest = std::find_if(state.levels.rbegin(), state.levels.rend(), hasWaiting);
        const auto victim = static_cast<WaitKey>(*lowest->second.queue.lastOfLargest());
        lowest->second.refused.add(now, 1);
        remove(victim);
        if (victim == request.key) {
            decision.waits = false;
            decision.refusal = AdmissionRefusal::Full;
            decision.retryAfter = retryAfter(now, service, decision.rank);
            return;
        }
        decision.evicted.push_back(victim);
    }
}

/// A short burst may use all the time that its requests have. While a backlog stands, a part of it stays free, so that
/// those that are admitted are rarely late. What waits of accounts over their share is no backlog to others.
bool Admission::isInTime(Instant now, const Service &service, const AdmissionRequest &request,
                         const AdmissionDecision &decision)
{
    if (request.startBy <= now) {
        return false;
    }
    const bool isStanding =
        (isOverShare(request, decision.use) ? service.backlog : service.withinShare).isStanding(now);
    const double slack = secondsOf(request.startBy - now) * (isStanding ? standingSlack : 1);
    return decision.workBefore <= 0 || secondsOf(decision.expectedWait) <= slack;
}

bool Admission::isOverShare(Instant now, const ServiceId &service, const AccountId &account) const
{
    return m_use.multipleOfMean(now, service, account) > heavyUse;
}

bool Admission::isOverShare(const AdmissionRequest &request, double use)
{
    return !request.isRetry && use > heavyUse;
}

/// The account's priority comes first, and within it that of the route. An account that uses much more than its share
/// goes behind the others of its priority, by the priorities of its routes there too, and gets what they leave. One
/// without a priority counts by its route's, and goes behind all others when it is over its share.
int Admission::rank(const AdmissionRequest &request, double use)
{
    if (request.isRetry) {
        return retryRank;
    }
    const int behind = isOverShare(request, use) ? priorities : 0;
    const int first = request.accountPriority.value_or(request.priority + behind);
    const int second = request.priority + (request.accountPriority ? behind : 0);
    return first * 2 * priorities + second;
}

int Admission::rankNow(Instant now, const ServiceId &service, const AdmissionRequest &request) const
{
    return rank(request, m_use.multipleOfMean(now, service, request.account));
}

std::vector<AccountWork> Admission::workToTell(Instant now) const
{
    return m_lastWaitAt && now < *m_lastWaitAt + tellTime ? m_use.ownWork(now) : std::vector<AccountWork>();
}

// Start

void Admission::drain(const ServiceId &service, const std::function<bool(WaitKey)> &start)
{
    while (startNext(service, start)) { }
}

/// The highest priority that waits goes first. For each start of it, the priorities below are owed a share, which they
/// get in turn.
bool Admission::startNext(const ServiceId &service, const std::function<bool(WaitKey)> &start)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.backlog.waiting == 0 || !found->second.window.mayStart()) {
        return false;
    }
    Service &state = found->second;
    const auto highest = std::find_if(state.levels.begin(), state.levels.end(), hasWaiting);
    Level *below = state.floorCredit >= 1 ? nextBelow(state, highest->first) : nullptr;
    Level *level = below ? below : &highest->second;
    int refusals = 0;
    std::optional<QueuedCall> started;
    const auto tryCall = [&](const QueuedCall &call) {
        const auto key = static_cast<WaitKey>(call.key);
        const bool mayTry = refusals < maxTries && state.window.mayStart(m_entries.at(key).isOverShare);
        if (!mayTry || !start(key)) {
            ++refusals;
            return false;
        }
        started = call;
        return true;
    };
    level->queue.startNext(tryCall);
    for (auto next = highest; !started && refusals < maxTries && next != state.levels.end(); ++next) {
        if (&next->second != below && (below || next != highest)) {
            level = &next->second;
            level->queue.startNext(tryCall);
        }
    }
    if (!started) {
        return false;
    }
    const auto entry = m_entries.find(static_cast<WaitKey>(started->key));
    forget(entry);
    if (level == below) {
        state.floorCredit -= started->cost;
    } else if (std::any_of(std::next(highest), state.levels.end(), hasWaiting)) {
        state.floorCredit += started->cost * m_settings.floorShare / (1 - m_settings.floorShare);
    }
    level->pessimism = std::max(1.0, level->pessimism * pessimismDecay);
    return true;
}

/// @return the next rank in turn, of those below the highest that have requests waiting; null: none
Admission::Level *Admission::nextBelow(Service &service, int highest)
{
    const auto isBelow = [highest](const auto &level) {
        return level.first > highest && level.second.queue.size() > 0;
    };
    auto next = std::find_if(service.levels.upper_bound(service.lastBelow), service.levels.end(), isBelow);
    if (next == service.levels.end()) {
        next = std::find_if(service.levels.begin(), service.levels.end(), isBelow);
    }
    if (next == service.levels.end()) {
        return nullptr;
    }
    service.lastBelow = next->first;
    return &next->second;
}

bool Admission::onSent(Instant now, const ServiceId &service, const AdmissionRequest &request)
{
    Service &state = m_services[service];
    const double work = queuedCall(state, request).cost;
    const double use = m_use.multipleOfMean(now, service, request.account);
    state.levels[rank(request, use)].started.add(now, work);
    m_use.onStarted(now, service, request.account, work);
    const bool isHeavy = isOverShare(request, use);
    state.window.onSent(isHeavy);
    return isHeavy;
}

void Admission::onEnded(const ServiceId &service, bool isOverShare)
{
    m_services[service].window.onEnded(isOverShare);
}

int Admission::inProgressOverShare(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.window.inProgressOverShare();
}

void Admission::onLoad(Instant now, const ServiceId &service, const ReplicaLoad &load)
{
    m_services[service].window.onReport(now, load.waiting, load.slots);
}

double Admission::window(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.window.limit();
}

// End

bool Admission::remove(WaitKey key)
{
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return false;
    }
    Service &service = m_services[entry->second.service];
    service.levels[entry->second.rank].queue.remove(static_cast<CallKey>(key));
    forget(entry);
    return true;
}

/// The request is no longer in its queue.
void Admission::forget(std::unordered_map<WaitKey, Entry>::iterator entry)
{
    Service &service = m_services[entry->second.service];
    --service.backlog.waiting;
    service.withinShare.waiting -= entry->second.isOverShare ? 0 : 1;
    m_bytes -= entry->second.bytes;
    m_entries.erase(entry);
}

std::vector<WaitKey> Admission::expire(Instant now)
{
    std::vector<WaitKey> expired;
    for (auto &[id, service] : m_services) {
        for (auto &[priority, level] : service.levels) {
            for (const CallKey call : level.queue.expire(now)) {
                const auto entry = m_entries.find(static_cast<WaitKey>(call));
                forget(entry);
                level.refused.add(now, 1);
                level.pessimism = std::min(maxPessimism, level.pessimism * pessimismStep);
                expired.push_back(static_cast<WaitKey>(call));
            }
        }
    }
    return expired;
}

std::optional<Instant> Admission::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[id, service] : m_services) {
        for (const auto &[priority, level] : service.levels) {
            const std::optional<Instant> expiry = level.queue.nextExpiry();
            if (expiry) {
                next = std::min(next.value_or(*expiry), *expiry);
            }
        }
    }
    return next;
}

// Estimates

/// @return work per second that starts, of ranks before `ranksBelow`
double Admission::startRate(Instant now, const Service &service, int ranksBelow)
{
    double rate = 0;
    for (const auto &[rank, level] : service.levels) {
        rate += rank < ranksBelow ? level.started.perSecond(now) : 0;
    }
    return rate;
}

double Admission::startRate(Instant now, const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : startRate(now, found->second, std::numeric_limits<int>::max());
}

/// Higher priorities take their rate from a request, but not the floor of its own priority. It starts by the way that
/// is faster.
void Admission::estimate(Instant now, const Service &service, int rank, const QueuedCall &call,
                         AdmissionDecision &decision) const
{
    double higher = 0;
    for (const auto &[levelRank, level] : service.levels) {
        higher += levelRank < rank ? level.queue.queuedCost() : 0;
    }
    const Level &level = service.levels.at(rank);
    const double own = level.queue.costBefore(call);
    decision.workBefore = higher + own;
    decision.waiting = service.backlog.waiting;
    const double rate = startRate(now, service, std::numeric_limits<int>::max());
    decision.startRate = rate;
    if (rate <= 0) {
        return;
    }
    const double left = rate - startRate(now, service, rank);
    double wait = (own + call.cost) / (rate * m_settings.floorShare);
    if (left > 0) {
        wait = std::min(wait, (higher + own + call.cost) / left);
    }
    decision.expectedWait = durationOf(std::min(wait * level.pessimism, secondsOf(std::chrono::hours(1))));
}

Duration Admission::retryAfter(Instant now, const ServiceId &service, const AdmissionRequest &request)
{
    return retryAfter(now, service, rankNow(now, service, request));
}

/// What waits, and what was refused lately and may be asked for again, has to start first.
Duration Admission::retryAfter(Instant now, const ServiceId &service, int rank)
{
    const auto found = m_services.find(service);
    const double rate = startRate(now, service);
    if (found == m_services.end() || rate <= 0) {
        return spreadRetry(minRetrySpread);
    }
    double before = 0;
    for (const auto &[levelRank, level] : found->second.levels) {
        before += levelRank <= rank ? level.queue.queuedCost() + level.refused.sum(now) : 0;
    }
    return spreadRetry(std::clamp(before / rate, minRetrySpread, maxRetrySpread));
}

/// @param seconds mean time beyond the shortest one
Duration Admission::spreadRetry(double seconds)
{
    constexpr double steps = 1 << 20;
    const double chance = static_cast<double>(m_random() % (1U << 20U)) / steps;
    return minRetryAfter + durationOf(2 * seconds * chance);
}

} // namespace galenafold
