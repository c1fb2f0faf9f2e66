// The order and the expected waits of requests that find no room. Sections of this file: Request, Push, Start, End,
// Estimates.
#include "filters/admission.h"

#include "filters/servicetime.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double sharedTokenCost = 0.1;  // of a prompt token that other requests share: mostly cached by a replica
constexpr double outputTokenCost = 8;    // prompt tokens that an engine reads in the time of one token of output
constexpr double usualCostWeight = 0.02; // of the newest request
constexpr double maxUsualMultiple = 16; // of the usual cost: the most that one request counts, as callers may claim any
constexpr double turnWork = 1;          // deficit round robin: usual requests per turn of an account
constexpr auto startRateWindow = std::chrono::seconds(1);  // short enough to follow replicas that become slow
constexpr auto refusedWindow = std::chrono::seconds(2);    // about the time after which refused callers return
constexpr auto useWindow = std::chrono::seconds(5);        // of an account's share
constexpr auto useCheckInterval = std::chrono::seconds(1); // between checks for accounts without recent use
constexpr double heavyUse = 1.5;       // multiples of the mean of all accounts; above it, an account goes behind others
constexpr int prioritiesOfRoutes = 16; // more than there are
constexpr double noUse = 0.05;         // usual requests; an account with less counts as idle
constexpr auto standingAfter = std::chrono::seconds(1); // a backlog that lasts longer is no burst
constexpr double standingSlack = 0.6;                   // of the time to start, that a standing backlog may use
constexpr double pessimismStep = 1.25;                  // factor for a request that waited in vain
constexpr double pessimismDecay = 0.98;                 // factor for a request that started after a wait
constexpr int maxTries = 4; // requests that find no room; others may fit where the first ones do not
constexpr double maxPessimism = 3;
constexpr auto minRetryAfter = std::chrono::milliseconds(250);
constexpr double minRetrySpread = 0.125; // seconds; half of the range over which callers are spread
constexpr double maxRetrySpread = 2;     // seconds

static double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

static Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

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

Admission::Admission(const AdmissionSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

std::size_t Admission::waiting(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.waiting;
}

bool Admission::mustWait(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && (found->second.waiting > 0 || !found->second.window.mayStart());
}

std::vector<ServiceId> Admission::servicesWaiting() const
{
    std::vector<ServiceId> services;
    for (const auto &[id, service] : m_services) {
        if (service.waiting > 0) {
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
    const int rank = Admission::rank(now, state, request);
    Level &level = state.levels[rank];
    AdmissionDecision decision;
    estimate(now, state, rank, call, decision);
    if (!isInTime(now, state, request, decision)) {
        decision.refusal = AdmissionRefusal::TooLate;
        level.refused.add(now, call.cost);
        decision.retryAfter = retryAfter(now, service, rank);
        return decision;
    }
    decision.waits = true;
    const bool isLight = useOf(now, state, request.account) <= 1;
    level.queue.push(call, isLight ? CustomerPlace::Ahead : CustomerPlace::Last);
    m_entries[request.key] = {service, rank, request.bytes};
    m_bytes += request.bytes;
    if (state.waiting++ == 0) {
        state.backlogSince = now;
    }
    evictBeyondLimits(now, request, decision);
    decision.waiting = state.waiting;
    return decision;
}

/// Removes the least urgent requests until the limits hold: each time the last one of the account that waits for most.
void Admission::evictBeyondLimits(Instant now, const AdmissionRequest &request, AdmissionDecision &decision)
{
    while (m_entries.size() > m_settings.capacity || m_bytes > m_settings.maxBytes) {
        const ServiceId service = m_entries.at(request.key).service;
        Service &state = m_services[service];
        const auto hasWaiting = [](const auto &level) { return level.second.queue.size() > 0; };
        const auto lowest = std::find_if(state.levels.rbegin(), state.levels.rend(), hasWaiting);
        const auto victim = static_cast<WaitKey>(*lowest->second.queue.lastOfLargest());
        lowest->second.refused.add(now, 1);
        remove(victim);
        if (victim == request.key) {
            decision.waits = false;
            decision.refusal = AdmissionRefusal::Full;
            decision.retryAfter = retryAfter(now, service, request.priority);
            return;
        }
        decision.evicted.push_back(victim);
    }
}

/// A short burst may use all the time that its requests have. While a backlog stands, a part of it stays free, so that
/// those that are admitted are rarely late.
bool Admission::isInTime(Instant now, const Service &service, const AdmissionRequest &request,
                         const AdmissionDecision &decision)
{
    if (request.startBy <= now) {
        return false;
    }
    const bool isStanding = service.waiting > 0 && now >= service.backlogSince + standingAfter;
    const double slack = secondsOf(request.startBy - now) * (isStanding ? standingSlack : 1);
    return decision.workBefore <= 0 || secondsOf(decision.expectedWait) <= slack;
}

/// @return work that the account has started lately, as a multiple of the mean of all accounts
double Admission::useOf(Instant now, const Service &service, const AccountId &account)
{
    const auto own = service.use.find(account);
    if (own == service.use.end()) {
        return 0;
    }
    double total = 0;
    for (const auto &[id, use] : service.use) {
        total += use.sum(now);
    }
    return own->second.sum(now) * static_cast<double>(service.use.size()) / total;
}

/// An account that uses much more than its share goes behind all others, by the priorities of its routes there too, and
/// gets what the others leave.
int Admission::rank(Instant now, const Service &service, const AdmissionRequest &request)
{
    const bool isOverShare = !request.isAccountPriority && useOf(now, service, request.account) > heavyUse;
    return request.priority + (isOverShare ? prioritiesOfRoutes : 0);
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
    if (found == m_services.end() || found->second.waiting == 0 || !found->second.window.mayStart()) {
        return false;
    }
    Service &state = found->second;
    const auto hasWaiting = [](const auto &level) { return level.second.queue.size() > 0; };
    const auto highest = std::find_if(state.levels.begin(), state.levels.end(), hasWaiting);
    Level *below = state.floorCredit >= 1 ? nextBelow(state, highest->first) : nullptr;
    Level *level = below ? below : &highest->second;
    int refusals = 0;
    std::optional<QueuedCall> started;
    const auto tryCall = [&](const QueuedCall &call) {
        if (refusals >= maxTries || !start(static_cast<WaitKey>(call.key))) {
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
    m_bytes -= entry->second.bytes;
    m_entries.erase(entry);
    --state.waiting;
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

void Admission::onSent(Instant now, const ServiceId &service, const AdmissionRequest &request)
{
    Service &state = m_services[service];
    const double work = queuedCall(state, request).cost;
    state.levels[rank(now, state, request)].started.add(now, work);
    state.use.try_emplace(request.account, useWindow).first->second.add(now, work);
    state.window.onSent();
    dropOldUse(now, state);
}

void Admission::onEnded(const ServiceId &service)
{
    m_services[service].window.onEnded();
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

void Admission::dropOldUse(Instant now, Service &service)
{
    if (now < service.nextUseCheckAt) {
        return;
    }
    service.nextUseCheckAt = now + useCheckInterval;
    for (auto use = service.use.begin(); use != service.use.end();) {
        use = use->second.sum(now) < noUse ? service.use.erase(use) : std::next(use);
    }
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
    --service.waiting;
    m_bytes -= entry->second.bytes;
    m_entries.erase(entry);
    return true;
}

std::vector<WaitKey> Admission::expire(Instant now)
{
    std::vector<WaitKey> expired;
    for (auto &[id, service] : m_services) {
        for (auto &[priority, level] : service.levels) {
            for (const CallKey call : level.queue.expire(now)) {
                const auto entry = m_entries.find(static_cast<WaitKey>(call));
                m_bytes -= entry->second.bytes;
                m_entries.erase(entry);
                --service.waiting;
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
    decision.waiting = service.waiting;
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

/// What waits, and what was refused lately and may be asked for again, has to start first.
Duration Admission::retryAfter(Instant now, const ServiceId &service, int priority)
{
    const auto found = m_services.find(service);
    const double rate = startRate(now, service);
    if (found == m_services.end() || rate <= 0) {
        return spreadRetry(minRetrySpread);
    }
    double before = 0;
    for (const auto &[levelPriority, level] : found->second.levels) {
        before += levelPriority <= priority ? level.queue.queuedCost() + level.refused.sum(now) : 0;
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
