// Replica selection by rendezvous hashing with bounded load, and the health of replicas.
#include "filters/loadbalancer.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr auto loadReportLifetime = std::chrono::milliseconds(1500); // typical duration of a generation
constexpr double endedUnreportedFraction = 0.1; // of the requests that peers report, as some have already ended
constexpr double slowdownWeight = 0.3;          // of the newest report in the smoothed slowdown
constexpr double slowdownThreshold = 2.4;       // a lower slowdown may come from noisy neighbours on the same machine
constexpr double stallSlowdown = 15;            // one sample of it lifts the smoothed slowdown above the threshold
constexpr auto stallLifetime = std::chrono::seconds(1);    // of a detected stall; a longer one is detected again
constexpr auto slowdownLifetime = std::chrono::seconds(2); // of the smoothed slowdown without a report
constexpr double demandWindowSeconds = 2.5;                // over which the demand for an engine is smoothed
constexpr double demandMargin = 1.6; // factor on the demand of the fleet, which is estimated from few requests
constexpr double typicalDurationSeconds = 0.7; // of a request; load that is older has been replaced by other requests
constexpr auto minLoadFreshness = std::chrono::milliseconds(100); // peers of a small fleet report about as often
constexpr auto smoothedLoadLifetime = std::chrono::seconds(8); // short enough to follow load that varies within seconds
constexpr double smoothedLoadWeight = 0.3;                     // of the newest report in the smoothed load
constexpr auto drainingEngineLifetime = std::chrono::seconds(4);  // a draining engine serves at least for this long
constexpr auto initialAvoidance = std::chrono::milliseconds(500); // doubled for each further failure in a row
constexpr int maxAvoidanceDoublings = 3;
constexpr double failureRateWeight = 0.2;    // of the newest attempt in the smoothed rate
constexpr double failureRateThreshold = 0.5; // above it a replica is avoided even if some attempts succeed
constexpr auto failureRateAvoidance = std::chrono::milliseconds(1500); // after the failure rate exceeds the threshold
constexpr int maxRankOfLimited = 3; // up to this position an engine is likely to have a prompt cached
constexpr auto refusalAvoidance = std::chrono::milliseconds(50); // after the replica refused a request

const char *text(LoadSource source)
{
    switch (source) {
    case LoadSource::OwnOnly:
        return "own";
    case LoadSource::LoadReport:
        return "report";
    case LoadSource::PeerCounts:
        return "peers";
    }
    return "unknown";
}

std::optional<std::uint64_t> affinityKey(const std::vector<PromptPart> &parts)
{
    if (parts.size() < 2) {
        return std::nullopt; // the last part is not shared with other requests
    }
    std::uint64_t key = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        key = rendezvousScore(key, parts[i].id);
    }
    return key;
}

LoadBalancer::LoadBalancer(const LoadBalancerSettings &settings, DataCentreId localDataCentre, std::uint64_t seed)
    : m_settings(settings)
    , m_localDataCentre(std::move(localDataCentre))
    , m_random(seed)
    , m_rateLimits(seed)
    , m_holds(seed)
{
}

std::vector<EndpointId> LoadBalancer::updateReplicas(Instant now, const std::vector<ReplicaRecord> &records,
                                                     const std::vector<ReplicaRecord> &draining)
{
    recordDraining(now, draining);
    std::set<EndpointId> present;
    for (const ReplicaRecord &record : records) {
        present.insert(record.id);
        const auto [entry, isNew] = m_endpoints.try_emplace(record.id);
        EndpointState &state = entry->second;
        const bool isNewIncarnation =
            isNew || state.record.started != record.started || state.record.address != record.address;
        if (isNewIncarnation) {
            const int own = state.ownInFlight;
            state = EndpointState();
            state.ownInFlight = own;
            state.nameHash = vmHash({record.id.text});
            state.incarnation = incarnationHash(record);
            m_rateLimits.forget(state.nameHash);
        }
        state.record = record;
        noteEntry(now, state, isNewIncarnation && !isNew);
    }
    std::vector<EndpointId> removed;
    for (const auto &[id, state] : m_endpoints) {
        if (present.count(id) == 0) {
            removed.push_back(id);
        }
    }
    for (const EndpointId &id : removed) {
        m_endpoints.erase(id);
    }
    m_places.update(now, records);
    copyPlaces();
    return removed;
}

/// A draining engine still has the prompts of its place cached; the engine that serves them next can fetch them.
void LoadBalancer::recordDraining(Instant now, const std::vector<ReplicaRecord> &draining)
{
    for (const ReplicaRecord &record : draining) {
        const auto state = m_endpoints.find(record.id);
        if (state != m_endpoints.end() && state->second.place) {
            m_drainingEngines[record.id] = {*state->second.place, record.address, now + drainingEngineLifetime};
        }
    }
    for (auto entry = m_drainingEngines.begin(); entry != m_drainingEngines.end();) {
        entry = now >= entry->second.until ? m_drainingEngines.erase(entry) : std::next(entry);
    }
}

void LoadBalancer::setAgreedPlaces(const std::vector<PlaceRecord> &agreed)
{
    m_places.setAgreedPlaces(agreed);
    copyPlaces();
}

void LoadBalancer::copyPlaces()
{
    for (auto &[id, state] : m_endpoints) {
        state.place = m_places.place(id);
    }
}

void LoadBalancer::assignPlaces(Instant now)
{
    std::map<ServiceId, std::vector<const EndpointState *>> services;
    for (const auto &[id, state] : m_endpoints) {
        if (!m_holds.isEvacuated(state.record.dataCentre)) {
            services[state.record.service].push_back(&state);
        }
    }
    for (const auto &[service, engines] : services) {
        m_places.assignPlaces(service, placeDemand(now, engines));
    }
    copyPlaces();
}

PlaceDemand LoadBalancer::placeDemand(Instant now, const std::vector<const EndpointState *> &engines) const
{
    PlaceDemand demand;
    demand.bound = loadBoundFor(meanLoad(now, engines));
    double sum = 0;
    int placed = 0;
    for (const EndpointState *state : engines) {
        demand.slots = std::max(demand.slots, state->record.slots);
        sum += state->place ? load(now, *state) : 0;
        placed += state->place ? 1 : 0;
    }
    demand.meanLoad = sum / std::max(1, placed);
    return demand;
}

/// @return true if the request may be sent to the replica's data centre
static bool isAllowed(const SelectionRequest &request, const EndpointState &state)
{
    return !request.allowedDataCentres || request.allowedDataCentres->count(state.record.dataCentre) > 0;
}

ReplicaChoice LoadBalancer::choose(Instant now, const SelectionRequest &request)
{
    std::vector<EndpointState *> healthy;
    std::vector<EndpointState *> avoidedReplicas;
    ReplicaChoice held;
    for (auto &[id, state] : m_endpoints) {
        if (state.record.service != request.service || request.excluded.count(id) > 0) {
            continue;
        }
        if (!isAllowed(request, state)) {
            ++held.skippedRegion;
            continue;
        }
        if (isHeld(now, state, held)) {
            continue;
        }
        (now < state.avoidUntil ? avoidedReplicas : healthy).push_back(&state);
    }
    ReplicaChoice choice = chooseAmong(now, request, healthy.empty() ? avoidedReplicas : healthy);
    choice.skippedLeaving = held.skippedLeaving;
    choice.skippedTurnedAway = held.skippedTurnedAway;
    choice.skippedEvacuated = held.skippedEvacuated;
    choice.skippedRegion = held.skippedRegion;
    choice.turnedAwayUntil = held.turnedAwayUntil;
    return choice;
}

/// @param choice counts the replica if its own answers, or the operator, keep requests away
bool LoadBalancer::isHeld(Instant now, const EndpointState &state, ReplicaChoice &choice) const
{
    switch (m_holds.hold(now, state.incarnation, state.ownInFlight, state.record.dataCentre)) {
    case ReplicaHold::None:
        return false;
    case ReplicaHold::Leaving:
        ++choice.skippedLeaving;
        return true;
    case ReplicaHold::TurnedAway:
        ++choice.skippedTurnedAway;
        choice.turnedAwayUntil =
            std::min(choice.turnedAwayUntil, m_holds.turnedAwayUntil(now, state.incarnation).value_or(now));
        return true;
    case ReplicaHold::Evacuated:
        ++choice.skippedEvacuated;
        return true;
    }
    return false;
}

ReplicaChoice LoadBalancer::chooseAmong(Instant now, const SelectionRequest &request,
                                        const std::vector<EndpointState *> &candidates)
{
    if (request.affinity) {
        return chooseByAffinity(now, request, candidates);
    }
    ReplicaChoice choice;
    chooseLeastLoaded(now, candidates, choice);
    return choice;
}

/// With reports from peers, the current mean. Otherwise at least the mean smoothed over a few seconds: a router without
/// peers gets load reports from each engine only occasionally, and engines without a recent report would count as idle.
/// The mean would then be too low, and requests would spill from their preferred engines without need.
double LoadBalancer::meanLoad(Instant now, const std::vector<const EndpointState *> &endpoints) const
{
    double smoothed = 0;
    double current = 0;
    int known = 0;
    for (const EndpointState *state : endpoints) {
        current += load(now, *state);
        if (now < state->smoothedLoadExpiry) {
            smoothed += state->smoothedLoad;
            ++known;
        }
    }
    const double countedFraction = m_peersHeard > 0 ? 1 - endedUnreportedFraction : 1;
    const double mean = countedFraction * current / static_cast<double>(endpoints.size());
    return known == 0 || m_peersHeard > 0 ? mean : std::max(mean, smoothed / known);
}

/// Noisy neighbours on the same machine slow an engine down briefly; smoothing filters out slowdowns that do not last
/// over several reports.
void LoadBalancer::updateSlowdown(Instant now, EndpointState &state, double slowdown)
{
    const double before = LoadBalancer::slowdown(now, state);
    state.slowdown = before + slowdownWeight * (slowdown - before);
    state.slowdownExpiry = now + slowdownLifetime;
}

/// Other routers see the same headroom and use it too before their reports arrive. The number of requests in progress
/// then differs from the reported one by about its square root, so that much of the bound stays free. Where this
/// router's own requests for the engine show that the fleet as a whole would send more than there is room for, each
/// router accepts the fraction that fits, with a margin because it sees few of them. The rest goes to the next engine
/// in rank.
bool LoadBalancer::hasHeadroom(Instant now, EndpointState &state, double bound)
{
    const double demandRate = updateDemand(now, state);
    const double slowdownFactor = slowdown(now, state);
    const double limit = slowdownFactor >= slowdownThreshold ? bound / slowdownFactor : bound;
    const double unreportedSeconds = std::min(m_peerReportDelay, typicalDurationSeconds);
    const double target = limit - std::sqrt(limit * unreportedSeconds / typicalDurationSeconds);
    if (load(now, state) > target) {
        return false;
    }
    const double fleetDemand = demandMargin * demandRate * (m_peersHeard + 1) * unreportedSeconds;
    constexpr double steps = 1 << 20;
    return static_cast<double>(m_random() % (1U << 20U)) / steps * fleetDemand <= target;
}

/// Counts a request that this router would send to the engine.
/// @return such requests per second before this one; with it, a rate of one request in a long time would be overrated
double LoadBalancer::updateDemand(Instant now, EndpointState &state)
{
    const double elapsed = std::chrono::duration<double>(now - state.demandUpdatedAt).count();
    const double before = state.demandRate * std::exp(-elapsed / demandWindowSeconds);
    state.demandRate = before + 1 / demandWindowSeconds;
    state.demandUpdatedAt = now;
    return before;
}

/// @return the engines of a service that have places, in rendezvous order for a prompt
std::vector<EndpointState *> LoadBalancer::rank(const ServiceId &service, std::uint64_t key)
{
    std::vector<std::pair<std::uint64_t, EndpointState *>> scored;
    for (auto &[id, state] : m_endpoints) {
        if (state.record.service == service && state.place) {
            scored.emplace_back(rendezvousScore(key, *state.place), &state);
        }
    }
    std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<EndpointState *> ranked;
    ranked.reserve(scored.size());
    for (const auto &[score, state] : scored) {
        ranked.push_back(state);
    }
    return ranked;
}

ReplicaChoice LoadBalancer::chooseByAffinity(Instant now, const SelectionRequest &request,
                                             const std::vector<EndpointState *> &candidates)
{
    ReplicaChoice choice;
    if (candidates.empty()) {
        return choice;
    }
    const double bound = loadBoundFor(meanLoad(now, {candidates.begin(), candidates.end()}));
    choice.bound = bound;
    for (EndpointState *state : candidates) {
        state->servesPrompts = true;
        state->bound = bound;
    }
    int position = 0;
    for (EndpointState *state : rank(request.service, *request.affinity)) {
        ++position;
        if (std::find(candidates.begin(), candidates.end(), state) == candidates.end()) {
            ++choice.skippedAvoided;
        } else if (!mayGetPrompt(now, *state, position)) {
            countLimited(now, *state, choice);
        } else if (!hasHeadroom(now, *state, bound)) {
            ++choice.skippedFull;
        } else {
            choice.endpoint = state;
            return choice;
        }
    }
    spill(now, candidates, choice);
    return choice;
}

/// An engine that has named a limit reads no prompts that it hardly has cached.
/// @param position in the rank for the prompt, from 1
bool LoadBalancer::mayGetPrompt(Instant now, const EndpointState &state, int position)
{
    const bool isHardlyCached = position > maxRankOfLimited && m_rateLimits.limit(state.nameHash);
    return !isHardlyCached && m_rateLimits.admit(now, state.nameHash);
}

/// All engines for the prompt are full or at their limits. While some are at their limits the others do not take the
/// excess above their bound: it goes to limited engines that may get more, or is refused. Engines that warm up are
/// limited for a moment and few, or known to be short of time; for them nothing is refused that others can take.
void LoadBalancer::spill(Instant now, const std::vector<EndpointState *> &candidates, ReplicaChoice &choice)
{
    std::vector<EndpointState *> limited;
    std::vector<EndpointState *> unlimited;
    for (EndpointState *state : candidates) {
        const bool isLimited = m_rateLimits.limit(state->nameHash) || m_rateLimits.isWarmingUp(now, state->nameHash);
        (isLimited ? limited : unlimited).push_back(state);
    }
    chooseLeastLoaded(now, unlimited, choice);
    const bool isPassed = choice.skippedLimited > 0 || choice.skippedWarming > 0;
    const bool isExcess = choice && isPassed && load(now, *choice) > choice.bound;
    if (!choice || isExcess) {
        const EndpointState *overBound = choice.skippedLimited > 0 ? nullptr : choice.endpoint;
        choice.endpoint = nullptr;
        chooseLeastLoaded(now, limited, choice);
        choice.endpoint = choice ? choice.endpoint : overBound;
    }
}

/// Leaves the choice empty if all candidates have a limit that is used up.
void LoadBalancer::chooseLeastLoaded(Instant now, std::vector<EndpointState *> candidates, ReplicaChoice &choice)
{
    while (!candidates.empty()) {
        const EndpointState *best = leastLoaded(now, candidates);
        if (m_rateLimits.admit(now, best->nameHash)) {
            choice.endpoint = best;
            return;
        }
        countLimited(now, *best, choice);
        candidates.erase(std::find(candidates.begin(), candidates.end(), best));
    }
}

/// Prefers this router's own data centre and breaks ties at random, so that routers do not all pick the same replica.
const EndpointState *LoadBalancer::leastLoaded(Instant now, const std::vector<EndpointState *> &candidates)
{
    constexpr double remoteCost = 0.75; // another data centre costs less than one request in progress
    const EndpointState *best = nullptr;
    double bestCost = 0;
    int ties = 0;
    for (const EndpointState *state : candidates) {
        const double cost = load(now, *state) + (state->record.dataCentre == m_localDataCentre ? 0 : remoteCost);
        if (!best || cost < bestCost) {
            best = state;
            bestCost = cost;
            ties = 1;
        } else if (cost == bestCost && m_random() % static_cast<std::uint64_t>(++ties) == 0) {
            best = state;
        }
    }
    return best;
}

void LoadBalancer::onSent(const EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        ++found->second.ownInFlight;
    }
}

bool LoadBalancer::onEnded(Instant now, const EndpointId &id, AttemptOutcome outcome)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return false;
    }
    EndpointState &state = found->second;
    state.ownInFlight = std::max(0, state.ownInFlight - 1);
    if (outcome == AttemptOutcome::Abandoned) {
        return false;
    }
    if (outcome == AttemptOutcome::Refused) {
        state.avoidUntil = std::max<Instant>(state.avoidUntil, now + refusalAvoidance);
        return false;
    }
    const bool isGood = outcome == AttemptOutcome::Good;
    state.failureRate += failureRateWeight * ((isGood ? 0.0 : 1.0) - state.failureRate);
    state.consecutiveFailures = isGood || outcome == AttemptOutcome::Error ? 0 : state.consecutiveFailures + 1;
    if (outcome == AttemptOutcome::Unreachable || state.consecutiveFailures >= 2) {
        const int doublings = std::min(state.consecutiveFailures - 1, maxAvoidanceDoublings);
        state.avoidUntil = now + initialAvoidance * (1 << std::max(0, doublings));
    } else if (!isGood && state.failureRate > failureRateThreshold) {
        state.avoidUntil = now + failureRateAvoidance;
    }
    if (outcome == AttemptOutcome::Unreachable) {
        m_warmUps.onUnreachable(now, {state.nameHash, state.record.service}, state.avoidUntil);
    }
    return now < state.avoidUntil && !isGood;
}

/// A load report is the better estimate while it is younger than the peers' counts.
Duration LoadBalancer::loadFreshness() const
{
    const auto reportDelay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_peerReportDelay));
    return std::clamp<Duration>(reportDelay, minLoadFreshness, loadReportLifetime);
}

void LoadBalancer::onLoad(Instant now, const EndpointId &id, const ReplicaLoad &sample)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    EndpointState &state = found->second;
    noteUnexpectedLoad(now, state, sample.running + sample.waiting);
    applyReport(now, state, sample.running + sample.waiting);
    updateSlowdown(now, state, sample.slowdown);
    state.unsentSlowdown = sample.slowdown;
    const double total = sample.running + sample.waiting;
    state.smoothedLoad =
        now < state.smoothedLoadExpiry ? state.smoothedLoad + smoothedLoadWeight * (total - state.smoothedLoad) : total;
    state.smoothedLoadExpiry = now + smoothedLoadLifetime;
}

/// @param inProgress requests of all routers, as the engine has just reported
void LoadBalancer::applyReport(Instant now, EndpointState &state, int inProgress) const
{
    state.othersInFlight = std::max(0, inProgress - state.ownInFlight);
    state.loadFreshUntil = now + loadFreshness();
    state.loadExpiry = now + loadReportLifetime;
}

bool LoadBalancer::onRateLimit(Instant now, const EndpointId &id, std::optional<double> perSecond)
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && m_rateLimits.onAnswer(now, found->second.nameHash, perSecond);
}

void LoadBalancer::onStreamEvent(Instant now, const EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.lastEventAt = now;
        found->second.stalledUntil = Instant{};
    }
}

/// A stall counts as an extreme slowdown, so that it is reported to peers and no router sends the engine more requests.
bool LoadBalancer::onStreamStall(Instant now, const EndpointId &id, Duration pause)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || now < found->second.lastEventAt + pause) {
        return false;
    }
    EndpointState &state = found->second;
    state.stalledUntil = now + stallLifetime;
    state.unsentSlowdown = stallSlowdown;
    m_hasUnsentStall = true;
    updateSlowdown(now, state, stallSlowdown);
    return true;
}

bool LoadBalancer::isStalled(Instant now, const EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && now < found->second.stalledUntil;
}

/// Returns the highest-ranked engine other than the chosen one: the prompt's preferred engine when the request spilled,
/// the engine that substituted for it when it has come back, or the draining engine that had the place before.
std::string LoadBalancer::cacheSource(Instant now, const SelectionRequest &request, const EndpointId &chosen) const
{
    if (!request.affinity) {
        return {};
    }
    std::string best;
    std::uint64_t bestScore = 0;
    const auto consider = [&](std::uint64_t place, const std::string &address) {
        const std::uint64_t score = rendezvousScore(*request.affinity, place);
        if (score >= bestScore) {
            best = address;
            bestScore = score;
        }
    };
    for (const auto &[id, state] : m_endpoints) {
        const bool isOther = id != chosen && state.record.service == request.service;
        if (state.place && isOther && isAllowed(request, state)) {
            consider(*state.place, now >= state.avoidUntil ? state.record.address : std::string());
        }
    }
    for (const auto &[id, engine] : m_drainingEngines) {
        if (now < engine.until) {
            consider(engine.place, engine.address);
        }
    }
    return best;
}

double LoadBalancer::load(Instant now, const EndpointState &state) const
{
    switch (loadSource(now, state)) {
    case LoadSource::OwnOnly:
        return state.ownInFlight;
    case LoadSource::LoadReport:
        return state.ownInFlight + state.othersInFlight;
    case LoadSource::PeerCounts:
        return state.ownInFlight + state.peersInFlight;
    }
    return state.ownInFlight;
}

LoadSource LoadBalancer::loadSource(Instant now, const EndpointState &state) const
{
    if (now >= state.loadFreshUntil && m_peersHeard > 0) {
        return LoadSource::PeerCounts;
    }
    return now < state.loadExpiry ? LoadSource::LoadReport : LoadSource::OwnOnly;
}

std::vector<ServiceStats> LoadBalancer::serviceStats(Instant now) const
{
    std::map<ServiceId, ServiceStats> services;
    for (const auto &[id, state] : m_endpoints) {
        services[state.record.service].endpoints.push_back(&state);
    }
    std::vector<ServiceStats> stats;
    for (auto &[id, service] : services) {
        service.id = id;
        service.meanLoad = meanLoad(now, service.endpoints);
        service.bound = loadBoundFor(service.meanLoad);
        stats.push_back(std::move(service));
    }
    return stats;
}

} // namespace galenafold
