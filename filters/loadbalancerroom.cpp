// Which replicas can start one more request at once. @see replicaroom.h
#include "filters/loadbalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace galenafold
{

constexpr auto probeTimeout = std::chrono::milliseconds(500); // until another request asks a replica that has refused

constexpr double fleetMinPace = 8; // requests per second of all routers to a congested replica: shows when it recovers

static int slots(const EndpointState &state)
{
    return state.reportedSlots > 0 ? state.reportedSlots : state.record.slots;
}

/// @return requests that a replica is given at most, by its slots; no limit if these are not known
double LoadBalancer::roomBound(const EndpointState &state)
{
    return slots(state) > 0 ? roomLimit(slots(state)) : std::numeric_limits<double>::max();
}

/// @return this router's part of the requests that a congested replica gets in any case
double LoadBalancer::minPace() const
{
    return fleetMinPace / (m_peersHeard + 1);
}

/// Peers do not count requests without prompts, so the load of a replica that does not tell it is unknown.
static bool isLoadKnown(Instant now, const EndpointState &state)
{
    return (state.servesPrompts || now < state.loadExpiry) && slots(state) > 0;
}

ReplicaOccupancy LoadBalancer::occupancy(Instant now, const EndpointState &state) const
{
    return {slots(state), load(now, state), slowdown(now, state)};
}

/// @return requests that the replica can start at once, negative if some wait there. A replica whose load is not known
/// has room until it refuses a request, or its answers take long.
double LoadBalancer::roomAt(Instant now, const EndpointState &state) const
{
    if (isLoadKnown(now, state)) {
        const double free = room(occupancy(now, state));
        return now < state.fullUntil ? std::min(0.0, free) : free;
    }
    return now >= state.fullUntil && state.pace.mayStart(now) ? 1 : 0;
}

/// @return requests of this kind that the replica can start at once
double LoadBalancer::roomFor(Instant now, const EndpointState &state, const SelectionRequest &request) const
{
    const bool isLess = request.leavesBacklog && isLoadKnown(now, state);
    return roomAt(now, state) - (isLess ? backlogOf(roomLimit(slots(state), slowdown(now, state))) : 0);
}

/// The requests of other routers are taken to hold as many tokens each as this router's do on average.
bool LoadBalancer::hasRoomFor(Instant now, const EndpointState &state, const SelectionRequest &request) const
{
    if (roomFor(now, state, request) <= 0) {
        return false;
    }
    const auto service = m_services.find(request.service);
    if (request.tokens == 0 || service == m_services.end()) {
        return true;
    }
    const double others = std::max(0.0, load(now, state) - state.ownInFlight);
    return fitsMemory(request.tokens, state.ownTokens + others * service->second.meanTokens, request.replicaTokens);
}

int LoadBalancer::ownInFlight(const Service &service)
{
    int own = 0;
    for (const EndpointState *state : service.replicas) {
        own += state->ownInFlight;
    }
    return own;
}

/// @return load up to which the replica is given more, less what others may have sent it unheard; as in `hasHeadroom`
double LoadBalancer::sharedBound(Instant now, const EndpointState &state) const
{
    const double limit = roomLimit(slots(state), slowdown(now, state));
    const double unreportedSeconds = std::min(m_peerReportDelay, typicalDurationSeconds);
    return limit - std::sqrt(limit * unreportedSeconds / typicalDurationSeconds);
}

/// @return true if this router may start another request at the service; always while no peer is heard, or none of the
/// replicas serves prompts: peers count only these
bool LoadBalancer::hasShare(Instant now, const SelectionRequest &request) const
{
    const auto service = m_services.find(request.service);
    if (m_peersHeard == 0 || service == m_services.end()) {
        return true;
    }
    FleetRoom room;
    for (const EndpointState *state : service->second.replicas) {
        if (!state->servesPrompts || slots(*state) == 0) {
            return true;
        }
        room.limit += sharedBound(now, *state);
    }
    room.limit -= request.leavesBacklog ? backlogOf(room.limit) : 0;
    room.others = service->second.peersInFlight;
    room.told = service->second.toldInFlight;
    room.routers = m_peersHeard + 1;
    const int own = ownInFlight(service->second) - (request.leavesBacklog ? 0 : request.yielding);
    return own < routerShare(room);
}

std::vector<EndpointState *> LoadBalancer::withRoom(Instant now, const SelectionRequest &request,
                                                    const std::vector<EndpointState *> &candidates,
                                                    ReplicaChoice &choice) const
{
    std::vector<EndpointState *> free;
    for (EndpointState *state : candidates) {
        if (hasRoomFor(now, *state, request)) {
            free.push_back(state);
        }
    }
    choice.skippedBusy = static_cast<int>(candidates.size() - free.size());
    return free;
}

void LoadBalancer::noteRefusal(Instant now, EndpointState &state)
{
    ++state.refusals;
    state.pace.onRefused(now, minPace());
    state.fullUntil = now + refusalPause(state.refusals);
    if (state.servesPrompts && isLoadKnown(now, state) && room(occupancy(now, state)) > 0) {
        noteFull(now, state);
    }
}

/// While a replica that has refused is asked again, it gets no further request until that one has ended or taken long.
void LoadBalancer::noteChosen(Instant now, const EndpointId &id)
{
    EndpointState &state = m_endpoints.at(id);
    if (isLoadKnown(now, state)) {
        return;
    }
    state.pace.onStarted(now);
    if (state.refusals > 0) {
        state.fullUntil = now + probeTimeout;
    }
}

void LoadBalancer::onAnswerTime(Instant now, const EndpointId &id, Duration took, Duration objective)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end() && !isLoadKnown(now, found->second)) {
        found->second.pace.onAnswered(now, took, objective, minPace());
    }
}

double LoadBalancer::freeSlots(Instant now, const ServiceId &service) const
{
    double free = 0;
    double total = 0;
    for (const EndpointState *state : replicasOf(service)) {
        const double known = roomAt(now, *state);
        const bool isHeld =
            m_holds.hold(now, state->incarnation, state->ownInFlight, state->record.dataCentre) != ReplicaHold::None;
        const double room = isHeld || now < state->avoidUntil ? std::min(0.0, known) : known;
        free += std::max(0.0, room);
        total += room;
    }
    return free > 0 ? free : total;
}

} // namespace galenafold
