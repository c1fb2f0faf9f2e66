// Load and health of replicas, from their answers and load reports and from this router's own requests.
#include "filters/loadbalancer.h"

#include <algorithm>

namespace galenafold
{

constexpr auto loadReportLifetime = std::chrono::milliseconds(1500); // typical duration of a generation
constexpr double endedUnreportedFraction = 0.1; // of the requests that peers report, as some have already ended
constexpr double slowdownWeight = 0.3;          // of the newest report in the smoothed slowdown
constexpr double stallSlowdown = 15;            // one sample of it lifts the smoothed slowdown above the threshold
constexpr auto stallLifetime = std::chrono::seconds(1);    // of a detected stall; a longer one is detected again
constexpr auto slowdownLifetime = std::chrono::seconds(2); // of the smoothed slowdown without a report
constexpr double meanTokensWeight = 0.02;                  // of the newest request in the mean tokens: sizes vary a lot
constexpr double maxMeanMultiple = 16; // of the mean: the most that one request counts, as callers may claim any size
constexpr auto minLoadFreshness = std::chrono::milliseconds(100); // peers of a small fleet report about as often
constexpr auto smoothedLoadLifetime = std::chrono::seconds(8); // short enough to follow load that varies within seconds
constexpr double smoothedLoadWeight = 0.3;                     // of the newest report in the smoothed load
constexpr auto initialAvoidance = std::chrono::milliseconds(500); // doubled for each further failure in a row
constexpr int maxAvoidanceDoublings = 3;
constexpr double failureRateWeight = 0.2;    // of the newest attempt in the smoothed rate
constexpr double failureRateThreshold = 0.5; // above it a replica is avoided even if some attempts succeed
constexpr auto failureRateAvoidance = std::chrono::milliseconds(1500); // after the failure rate exceeds the threshold
constexpr auto refusalAvoidance = std::chrono::milliseconds(50);       // after the replica refused a request

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

void LoadBalancer::onSent(const EndpointId &id, Tokens tokens)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    ++found->second.ownInFlight;
    if (tokens > 0) {
        found->second.ownTokens += tokens;
        double &mean = m_services[found->second.record.service].meanTokens;
        const Tokens counted = mean == 0 ? tokens : std::min(tokens, maxMeanMultiple * mean);
        mean += (mean == 0 ? 1 : meanTokensWeight) * (counted - mean);
    }
}

bool LoadBalancer::onEnded(Instant now, const EndpointId &id, AttemptOutcome outcome, Tokens tokens)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return false;
    }
    EndpointState &state = found->second;
    state.ownInFlight = std::max(0, state.ownInFlight - 1);
    state.ownTokens = std::max(0.0, state.ownTokens - tokens);
    if (outcome == AttemptOutcome::Abandoned) {
        return false;
    }
    if (outcome == AttemptOutcome::Refused) {
        state.avoidUntil = std::max<Instant>(state.avoidUntil, now + refusalAvoidance);
        noteRefusal(now, state);
        return false;
    }
    const bool isGood = outcome == AttemptOutcome::Good;
    const bool hasRun = isGood || outcome == AttemptOutcome::Error;
    if (hasRun && state.refusals > 0) {
        state.refusals = 0;
        state.fullUntil = Instant{};
    }
    state.failureRate += failureRateWeight * ((isGood ? 0.0 : 1.0) - state.failureRate);
    state.consecutiveFailures = hasRun ? 0 : state.consecutiveFailures + 1;
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
    state.reportedSlots = sample.slots;
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
    state.reportedAt = now;
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

} // namespace galenafold
