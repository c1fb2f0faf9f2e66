// Which replica?
#include "filters/loadbalancer.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr auto loadLifetime = std::chrono::milliseconds(1500); // typical length of a generation
constexpr auto tellingDelay = std::chrono::milliseconds(10);   // of a datagram between busy routers
constexpr double endedUntold = 0.1;     // part of peers' calls that have ended, of which nobody has heard yet
constexpr double slowdownWeight = 0.3;  // of the newest report in the smoothed slowdown
constexpr double slowdownNoticed = 2.4; // below it neighbours on the same machine may be the cause
constexpr double silentSlowdown = 15;   // one report of it is noticed
constexpr auto silentLifetime = std::chrono::seconds(1);       // after a pause; longer ones are noted again
constexpr auto slowdownLifetime = std::chrono::seconds(2);     // without a report
constexpr double demandSeconds = 1;                            // over which the demand for an engine is smoothed
constexpr auto freshLifetime = std::chrono::milliseconds(100); // peers tell about as often
constexpr auto peerLifetime = std::chrono::seconds(2);         // of counts from a peer that falls silent
constexpr auto usualLifetime = std::chrono::seconds(8); // a demand that swings within seconds is followed in time
constexpr double usualWeight = 0.3;                     // of the newest report in the smoothed load
constexpr auto leaverLife = std::chrono::seconds(4);    // an engine that drains serves at least for so long
constexpr auto firstAvoid = std::chrono::milliseconds(500);
constexpr int mostAvoidDoublings = 3;
constexpr double failureWeight = 0.2;    // of the newest attempt in the smoothed rate
constexpr double failureRateLimit = 0.5; // above it a replica is avoided even if some attempts succeed
constexpr auto avoidFailing = std::chrono::milliseconds(1500);
constexpr auto avoidFull = std::chrono::milliseconds(50);

std::optional<std::uint64_t> affinityKey(const std::vector<PromptPart> &parts)
{
    if (parts.size() < 2) {
        return std::nullopt; // the last part is the request's own
    }
    std::uint64_t key = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        key = rendezvousScore(key, parts[i].id);
    }
    return key;
}

LoadBalancer::LoadBalancer(const LoadBalancerSettings &settings, DataCentreId here, std::uint64_t seed)
    : m_settings(settings)
    , m_here(std::move(here))
    , m_random(seed)
{
}

std::vector<EndpointId> LoadBalancer::updateReplicas(Instant now, const std::vector<ReplicaRecord> &records,
                                                     const std::vector<ReplicaRecord> &leaving)
{
    noteLeaving(now, leaving);
    std::set<EndpointId> kept;
    for (const ReplicaRecord &record : records) {
        kept.insert(record.id);
        const auto [entry, isNew] = m_endpoints.try_emplace(record.id);
        EndpointState &state = entry->second;
        const bool isOtherLife =
            isNew || state.record.started != record.started || state.record.address != record.address;
        if (isOtherLife) {
            const int own = state.own;
            state = EndpointState();
            state.own = own;
            state.nameHash = endpointHash({record.id.text});
        }
        state.record = record;
    }
    std::vector<EndpointId> dropped;
    for (const auto &[id, state] : m_endpoints) {
        if (kept.count(id) == 0) {
            dropped.push_back(id);
        }
    }
    for (const EndpointId &id : dropped) {
        m_endpoints.erase(id);
    }
    m_places.update(now, records);
    takePlaces();
    return dropped;
}

/// An engine that drains still holds the prompts of its place, for whoever serves them next.
void LoadBalancer::noteLeaving(Instant now, const std::vector<ReplicaRecord> &leaving)
{
    for (const ReplicaRecord &record : leaving) {
        const auto state = m_endpoints.find(record.id);
        if (state != m_endpoints.end() && state->second.place) {
            m_leaving[record.id] = {*state->second.place, record.address, now + leaverLife};
        }
    }
    for (auto entry = m_leaving.begin(); entry != m_leaving.end();) {
        entry = now >= entry->second.until ? m_leaving.erase(entry) : std::next(entry);
    }
}

void LoadBalancer::adoptPlaces(const std::vector<PlaceRecord> &agreed)
{
    m_places.adopt(agreed);
    takePlaces();
}

void LoadBalancer::takePlaces()
{
    for (auto &[id, state] : m_endpoints) {
        state.place = m_places.place(id);
    }
}

void LoadBalancer::assignPlaces(Instant now)
{
    struct Sum {
        double load = 0;
        int engines = 0;
        int slots = 0;
    };
    std::map<ServiceId, Sum> sums;
    for (const auto &[id, state] : m_endpoints) {
        Sum &sum = sums[state.record.service];
        sum.load += load(now, state);
        sum.slots = std::max(sum.slots, state.record.slots);
        ++sum.engines;
    }
    for (const auto &[service, sum] : sums) {
        m_places.assignPlaces(service, sum.load / sum.engines, sum.slots);
    }
    takePlaces();
}

ReplicaChoice LoadBalancer::choose(Instant now, const SelectionRequest &request)
{
    std::vector<EndpointState *> sound;
    std::vector<EndpointState *> skippedAvoided;
    for (auto &[id, state] : m_endpoints) {
        if (state.record.service != request.service || request.excluded.count(id) > 0) {
            continue;
        }
        (now < state.avoidUntil ? skippedAvoided : sound).push_back(&state);
    }
    const std::vector<EndpointState *> &candidates = sound.empty() ? skippedAvoided : sound;
    if (request.affinity) {
        return chooseByAffinity(now, request, candidates);
    }
    return {leastLoaded(now, candidates), 0, 0};
}

/// With peers heard, the mean of this moment. Else the mean over a few seconds: a router alone hears of each engine
/// only now and then, and a mean of what it knows would count all others as idle, so prompts leave home without need.
double LoadBalancer::meanLoad(Instant now, const std::vector<const EndpointState *> &endpoints) const
{
    double usual = 0;
    double current = 0;
    int known = 0;
    for (const EndpointState *state : endpoints) {
        current += load(now, *state);
        if (now < state->usualUntil) {
            usual += state->usual;
            ++known;
        }
    }
    const double heard = m_peersHeard > 0 ? 1 - endedUntold : 1;
    const double mean = heard * current / static_cast<double>(endpoints.size());
    return known == 0 || m_peersHeard > 0 ? mean : std::max(mean, usual / known);
}

/// Neighbours on its machine slow an engine for moments; only what lasts over a few reports counts.
void LoadBalancer::noteSlowdown(Instant now, EndpointState &state, double slowdown)
{
    const double before = LoadBalancer::slowdown(now, state);
    state.slowdown = before + slowdownWeight * (slowdown - before);
    state.slowdownUntil = now + slowdownLifetime;
}

/// Other routers that see the same room use it too, before anyone hears of it. So each uses its part: with less room
/// than the fleet is about to send there, a request goes on down the rank by chance, as the room is to what is wanted.
bool LoadBalancer::hasRoom(Instant now, EndpointState &state, double bound)
{
    const double elapsed = std::chrono::duration<double>(now - state.demandAt).count();
    state.demand = state.demand * std::exp(-elapsed / demandSeconds) + 1 / demandSeconds;
    state.demandAt = now;
    const double slow = slowdown(now, state);
    const double room = (slow >= slowdownNoticed ? bound / slow : bound) - load(now, state);
    const double wanted = state.demand * m_peersHeard * m_unheardSeconds;
    if (room >= wanted) {
        return room >= 0;
    }
    constexpr double steps = 1 << 20;
    return room > 0 && static_cast<double>(m_random() % (1U << 20U)) / steps * wanted < room;
}

/// @return the engines of a service that have places, in a prompt's order
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
                                             const std::vector<EndpointState *> &sound)
{
    ReplicaChoice choice;
    if (sound.empty()) {
        return choice;
    }
    const double bound = boundOf(meanLoad(now, {sound.begin(), sound.end()}));
    for (EndpointState *state : sound) {
        state->isEngine = true;
    }
    for (EndpointState *state : rank(request.service, *request.affinity)) {
        if (std::find(sound.begin(), sound.end(), state) == sound.end()) {
            ++choice.skippedAvoided;
        } else if (!hasRoom(now, *state, bound)) {
            ++choice.skippedFull;
        } else {
            choice.endpoint = state;
            return choice;
        }
    }
    choice.endpoint = leastLoaded(now, sound);
    return choice;
}

/// Ties go to this router's own data centre, then by chance, so that routers do not herd.
const EndpointState *LoadBalancer::leastLoaded(Instant now, const std::vector<EndpointState *> &candidates)
{
    constexpr double farCost = 0.75; // a request in progress weighs more than the way to another data centre
    const EndpointState *best = nullptr;
    double bestCost = 0;
    int ties = 0;
    for (const EndpointState *state : candidates) {
        const double cost = load(now, *state) + (state->record.dataCentre == m_here ? 0 : farCost);
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
        ++found->second.own;
    }
}

bool LoadBalancer::onEnded(Instant now, const EndpointId &id, AttemptOutcome end)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return false;
    }
    EndpointState &state = found->second;
    state.own = std::max(0, state.own - 1);
    if (end == AttemptOutcome::Abandoned) {
        return false;
    }
    if (end == AttemptOutcome::Refused) {
        state.avoidUntil = std::max<Instant>(state.avoidUntil, now + avoidFull);
        return false;
    }
    const bool isGood = end == AttemptOutcome::Good;
    state.failureRate += failureWeight * ((isGood ? 0.0 : 1.0) - state.failureRate);
    state.failuresInRow = isGood || end == AttemptOutcome::Error ? 0 : state.failuresInRow + 1;
    if (end == AttemptOutcome::Unreachable || state.failuresInRow >= 2) {
        const int doublings = std::min(state.failuresInRow - 1, mostAvoidDoublings);
        state.avoidUntil = now + firstAvoid * (1 << std::max(0, doublings));
    } else if (!isGood && state.failureRate > failureRateLimit) {
        state.avoidUntil = now + avoidFailing;
    }
    return now < state.avoidUntil && !isGood;
}

void LoadBalancer::onLoad(Instant now, const EndpointId &id, const LoadSample &sample)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    EndpointState &state = found->second;
    state.others = std::max(0, sample.running + sample.waiting - state.own);
    noteSlowdown(now, state, sample.slowdown);
    state.untoldSlowdown = sample.slowdown;
    const double total = sample.running + sample.waiting;
    state.usual = now < state.usualUntil ? state.usual + usualWeight * (total - state.usual) : total;
    state.usualUntil = now + usualLifetime;
    state.freshUntil = now + freshLifetime;
    state.loadUntil = now + loadLifetime;
}

void LoadBalancer::onStreamEvent(Instant now, const EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.progressAt = now;
        found->second.silentUntil = Instant{};
    }
}

/// Silence counts as slowness beyond measure, so that peers hear of it and nobody adds to what waits there.
bool LoadBalancer::onStreamStall(Instant now, const EndpointId &id, Duration pause)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || now < found->second.progressAt + pause) {
        return false;
    }
    EndpointState &state = found->second;
    state.silentUntil = now + silentLifetime;
    state.untoldSlowdown = silentSlowdown;
    m_hasSilence = true;
    noteSlowdown(now, state, silentSlowdown);
    return true;
}

bool LoadBalancer::isStalled(Instant now, const EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && now < found->second.silentUntil;
}

/// In rank order the first engine but the chosen one: a prompt's home when it spills over, the engine that stood in for
/// its home when that comes back, or the one that leaves and had the place before.
std::string LoadBalancer::cacheSource(Instant now, const SelectionRequest &request, const EndpointId &chosen) const
{
    if (!request.affinity) {
        return {};
    }
    std::string best;
    std::uint64_t bestScore = 0;
    const auto offer = [&](std::uint64_t place, const std::string &address) {
        const std::uint64_t score = rendezvousScore(*request.affinity, place);
        if (score >= bestScore) {
            best = address;
            bestScore = score;
        }
    };
    for (const auto &[id, state] : m_endpoints) {
        if (state.place && id != chosen && state.record.service == request.service) {
            offer(*state.place, now >= state.avoidUntil ? state.record.address : std::string());
        }
    }
    for (const auto &[id, leaver] : m_leaving) {
        if (now < leaver.until) {
            offer(leaver.place, leaver.address);
        }
    }
    return best;
}

double LoadBalancer::load(Instant now, const EndpointState &state) const
{
    if (now < state.freshUntil || m_peersHeard == 0) {
        return state.own + (now < state.loadUntil ? state.others : 0);
    }
    return state.own + state.peers;
}

std::vector<ServiceStats> LoadBalancer::figures(Instant now) const
{
    std::map<ServiceId, ServiceStats> services;
    for (const auto &[id, state] : m_endpoints) {
        services[state.record.service].endpoints.push_back(&state);
    }
    std::vector<ServiceStats> figures;
    for (auto &[id, service] : services) {
        service.id = id;
        service.meanLoad = meanLoad(now, service.endpoints);
        service.bound = boundOf(service.meanLoad);
        figures.push_back(std::move(service));
    }
    return figures;
}

void LoadBalancer::setActivePeers(int peers, Duration untold)
{
    m_peersHeard = peers;
    m_unheardSeconds = std::chrono::duration<double>(untold + tellingDelay).count();
}

void LoadBalancer::onPeerLoads(Instant now, std::uint32_t peer, const std::vector<PeerLoad> &loads)
{
    m_peerCounts[peer] = {now + peerLifetime, loads};
    sumPeers(now);
    for (auto &[id, state] : m_endpoints) {
        for (const PeerLoad &load : loads) {
            if (load.endpointHash == state.nameHash && load.slowdown > 0) {
                noteSlowdown(now, state, load.slowdown);
            }
        }
    }
}

void LoadBalancer::sumPeers(Instant now)
{
    std::unordered_map<std::uint32_t, int> sums;
    for (auto peer = m_peerCounts.begin(); peer != m_peerCounts.end();) {
        if (now >= peer->second.until) {
            peer = m_peerCounts.erase(peer);
            continue;
        }
        for (const PeerLoad &load : peer->second.loads) {
            sums[load.endpointHash] += load.total;
        }
        ++peer;
    }
    for (auto &[id, state] : m_endpoints) {
        const auto sum = sums.find(state.nameHash);
        state.peers = sum == sums.end() ? 0 : sum->second;
    }
}

std::vector<PeerLoad> LoadBalancer::ownLoads() const
{
    std::vector<PeerLoad> loads;
    for (const auto &[id, state] : m_endpoints) {
        if (state.own > 0 && state.isEngine) {
            loads.push_back({state.nameHash, static_cast<std::uint16_t>(state.own), 0, 0});
        }
    }
    return loads;
}

std::vector<PeerLoad> LoadBalancer::consumeLoads()
{
    std::vector<PeerLoad> loads;
    for (auto &[id, state] : m_endpoints) {
        const bool isTold = state.isEngine && (state.own > 0 || state.untoldSlowdown > 0);
        if (isTold) {
            loads.push_back({state.nameHash, static_cast<std::uint16_t>(state.own), 0, state.untoldSlowdown});
        }
        state.untoldSlowdown = 0;
    }
    m_hasSilence = false;
    return loads;
}

} // namespace galenafold
