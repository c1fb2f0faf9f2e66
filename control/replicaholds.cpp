// Replicas that get no requests of this router.
#include "control/replicaholds.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <iterator>

namespace galenafold
{

constexpr std::size_t maxLeaving = 8192; // runs; far more than leave while the oldest of them may still answer
constexpr double returnSpread = 0.25;    // of the named time, within which routers come back
constexpr auto maxReturnSpread = std::chrono::seconds(1);
constexpr int fullInFlight = 16;                          // from here on the replica gets its usual share
constexpr auto returnLifetime = std::chrono::seconds(10); // a return without answers ends after this

ReplicaHolds::ReplicaHolds(std::uint64_t seed)
    : m_random(seed)
{
}

ReplicaHold ReplicaHolds::hold(Instant now, std::uint32_t incarnation, int ownInFlight,
                               const DataCentreId &dataCentre) const
{
    if (isEvacuated(dataCentre)) {
        return ReplicaHold::Evacuated;
    }
    if (isLeaving(incarnation)) {
        return ReplicaHold::Leaving;
    }
    const auto found = m_turnedAway.find(incarnation);
    if (found == m_turnedAway.end()) {
        return ReplicaHold::None;
    }
    const TurnedAway &entry = found->second;
    const bool mayGetOne = now >= entry.returnsAt && ownInFlight < entry.maxInFlight;
    return mayGetOne ? ReplicaHold::None : ReplicaHold::TurnedAway;
}

std::set<DataCentreId> ReplicaHolds::setEvacuated(std::set<DataCentreId> dataCentres)
{
    std::set<DataCentreId> ended;
    std::set_difference(m_evacuated.begin(), m_evacuated.end(), dataCentres.begin(), dataCentres.end(),
                        std::inserter(ended, ended.begin()));
    m_evacuated = std::move(dataCentres);
    return ended;
}

bool ReplicaHolds::onLeaving(std::uint32_t incarnation)
{
    if (!m_leaving.insert(incarnation).second) {
        return false;
    }
    m_leavingOrder.push_back(incarnation);
    if (m_leavingOrder.size() > maxLeaving) {
        m_leaving.erase(m_leavingOrder.front());
        m_leavingOrder.pop_front();
    }
    return true;
}

bool ReplicaHolds::onTurnedAway(Instant now, std::uint32_t incarnation, Duration retryAfter)
{
    TurnedAway &entry = m_turnedAway[incarnation];
    entry.maxInFlight = 1;
    if (now + retryAfter <= entry.until) {
        return false;
    }
    boost::random::uniform_real_distribution<double> fraction(0, returnSpread);
    const auto spread =
        Duration(static_cast<Duration::rep>(static_cast<double>(retryAfter.count()) * fraction(m_random)));
    entry.until = now + retryAfter;
    entry.returnsAt = entry.until + std::min<Duration>(spread, maxReturnSpread);
    return true;
}

void ReplicaHolds::onServed(Instant now, std::uint32_t incarnation)
{
    const auto found = m_turnedAway.find(incarnation);
    if (found == m_turnedAway.end() || now < found->second.returnsAt) {
        return;
    }
    found->second.maxInFlight *= 2;
    if (found->second.maxInFlight >= fullInFlight) {
        m_turnedAway.erase(found);
    }
}

std::optional<Instant> ReplicaHolds::turnedAwayUntil(Instant now, std::uint32_t incarnation) const
{
    const auto found = m_turnedAway.find(incarnation);
    const bool isHeld = found != m_turnedAway.end() && now < found->second.until;
    return isHeld ? std::optional<Instant>(found->second.until) : std::nullopt;
}

void ReplicaHolds::expire(Instant now)
{
    for (auto entry = m_turnedAway.begin(); entry != m_turnedAway.end();) {
        entry = now >= entry->second.returnsAt + returnLifetime ? m_turnedAway.erase(entry) : std::next(entry);
    }
}

} // namespace galenafold
