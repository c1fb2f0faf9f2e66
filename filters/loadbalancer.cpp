// Replica selection by rendezvous hashing with bounded load.
#include "filters/loadbalancer.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double demandWindowSeconds = 2.5; // over which the demand for an engine is smoothed
constexpr double demandMargin = 1.6;        // factor on the demand of the fleet, which is estimated from few requests
constexpr auto drainingEngineLifetime = std::chrono::seconds(4); // a draining engine serves at least for this long
constexpr int maxRankOfLimited = 3; // up to this position an engine is likely to have a prompt cached

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
            const Tokens ownTokens = state.ownTokens;
            state = EndpointState();
            state.ownInFlight = own;
            state.ownTokens = ownTokens;
            state.nameHash = vmHash({record.id.text});
            state.incarnation = incarnationHash(record);
            m_rateLimits.forget(state.nameHash);
        }
        state.record = record;
        state.version = versionHash(record.softwareVersion);
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
    for (auto &[service, known] : m_services) {
        known.replicas.clear();
    }
    for (auto &[id, state] : m_endpoints) {
        m_services[state.record.service].replicas.push_back(&state);
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
            m_drainingEngines[record.id] = {*state->second.place, record, now + drainingEngineLifetime};
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
static bool isAllowed(const SelectionRequest &request, const ReplicaRecord &replica)
{
    return !request.allowedDataCentres || request.allowedDataCentres->count(replica.dataCentre) > 0;
}

ReplicaChoice LoadBalancer::choose(Instant now, const SelectionRequest &request)
{
    std::vector<EndpointState *> healthy;
    std::vector<EndpointState *> avoidedReplicas;
    ReplicaChoice held;
    for (EndpointState *state : replicasOf(request.service)) {
        if (request.excluded.count(state->record.id) > 0) {
            continue;
        }
        if (!isAllowed(request, state->record)) {
            ++held.skippedRegion;
            continue;
        }
        if (request.version && state->version != *request.version) {
            ++held.skippedVersion;
            continue;
        }
        if (isHeld(now, *state, held)) {
            continue;
        }
        (now < state->avoidUntil ? avoidedReplicas : healthy).push_back(state);
    }
    ReplicaChoice choice;
    if (request.needsRoom && !hasShare(now, request)) {
        choice.skippedBusy = static_cast<int>(healthy.size() + avoidedReplicas.size());
    } else {
        choice = chooseAmong(now, request, healthy.empty() ? avoidedReplicas : healthy);
    }
    if (choice) {
        noteChosen(now, choice->record.id);
    }
    choice.skippedLeaving = held.skippedLeaving;
    choice.skippedTurnedAway = held.skippedTurnedAway;
    choice.skippedEvacuated = held.skippedEvacuated;
    choice.skippedRegion = held.skippedRegion;
    choice.skippedVersion = held.skippedVersion;
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
    chooseLeastLoaded(now, request.needsRoom ? withRoom(now, request, candidates, choice) : candidates, choice);
    return choice;
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
    const double limit = slowdownFactor >= noticeableSlowdown ? bound / slowdownFactor : bound;
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

const std::vector<EndpointState *> &LoadBalancer::replicasOf(const ServiceId &service) const
{
    static const std::vector<EndpointState *> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second.replicas;
}

namespace
{

/// The engines that have places, in rendezvous order for a prompt. Mostly the first one is chosen, so the order is
/// worked out one by one.
class RankedEngines
{
public:
    RankedEngines(const std::vector<EndpointState *> &engines, std::uint64_t prompt)
    {
        m_heap.reserve(engines.size());
        for (EndpointState *state : engines) {
            if (state->place) {
                m_heap.emplace_back(rendezvousScore(prompt, *state->place), state);
            }
        }
        std::make_heap(m_heap.begin(), m_heap.end(), isLower);
    }

    EndpointState *next() ///< @return null after the last one
    {
        if (m_heap.empty()) {
            return nullptr;
        }
        std::pop_heap(m_heap.begin(), m_heap.end(), isLower);
        EndpointState *state = m_heap.back().second;
        m_heap.pop_back();
        return state;
    }

private:
    using Entry = std::pair<std::uint64_t, EndpointState *>; // score, engine

    static bool isLower(const Entry &a, const Entry &b) { return a.first < b.first; }

    std::vector<Entry> m_heap;
};

} // namespace

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
    RankedEngines ranked(replicasOf(request.service), *request.affinity);
    int position = 0;
    while (EndpointState *state = ranked.next()) {
        ++position;
        if (std::find(candidates.begin(), candidates.end(), state) == candidates.end()) {
            ++choice.skippedAvoided;
        } else if (request.needsRoom && !hasRoomFor(now, *state, request)) {
            ++choice.skippedBusy;
        } else if (!mayGetPrompt(now, *state, position)) {
            countLimited(now, *state, choice);
        } else if (!hasHeadroom(now, *state, request.needsRoom ? std::min(bound, roomBound(*state)) : bound)) {
            ++choice.skippedFull;
        } else {
            choice.endpoint = state;
            return choice;
        }
    }
    if (!request.needsRoom) {
        spill(now, candidates, choice);
        return choice;
    }
    const std::vector<EndpointState *> free = withRoom(now, request, candidates, choice);
    spill(now, twoOf(free), choice);
    if (!choice) {
        spill(now, free, choice); // both that were drawn are at their limits
    }
    return choice;
}

/// @return two of the replicas at random: routers that know of the load late would otherwise all take the same one
std::vector<EndpointState *> LoadBalancer::twoOf(std::vector<EndpointState *> replicas)
{
    constexpr std::size_t drawn = 2;
    for (std::size_t i = 0; m_peersHeard > 0 && replicas.size() > drawn && i < drawn; ++i) {
        std::swap(replicas[i], replicas[i + m_random() % (replicas.size() - i)]);
    }
    replicas.resize(m_peersHeard > 0 ? std::min(replicas.size(), drawn) : replicas.size());
    return replicas;
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
        if (state.place && isOther && isAllowed(request, state.record)) {
            consider(*state.place, now >= state.avoidUntil ? state.record.address : std::string());
        }
    }
    for (const auto &[id, engine] : m_drainingEngines) {
        const bool isSameService = engine.record.service == request.service;
        if (now < engine.until && isSameService && isAllowed(request, engine.record)) {
            consider(engine.place, engine.record.address);
        }
    }
    return best;
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
