// Rendezvous hashing with bounded load, affinity, and the choice between waiting for the preferred endpoint and
// recomputing the context on another.
#include "filters/placement.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr std::size_t smallPoolSize = 64;     // endpoints; up to this size all are compared
constexpr std::size_t randomDraws = 3;        // endpoints sampled for a call without context in a larger pool
constexpr double partialViewConfidence = 0.1; // slows borrowing down while some live peer is silent
constexpr double unborrowableFraction = 0.15; // of a pool's long-lane slots; left for routers within their own parts
constexpr double minReusablePrefillSeconds = 0.02; // less prefill time is not worth affinity
constexpr double ejectionWeight = 0.5;             // an endpoint below it is an outlier and gets no regular calls

const char *text(PlacementReason placementReason)
{
    switch (placementReason) {
    case PlacementReason::Hint:
        return "hint";
    case PlacementReason::Recent:
        return "recent";
    case PlacementReason::Home:
        return "home";
    case PlacementReason::Spill:
        return "spill";
    case PlacementReason::LeastLoaded:
        return "least_loaded";
    case PlacementReason::Probe:
        return "probe";
    }
    return "home";
}

// Recent chats

RecentChats::RecentChats(int capacity)
    : m_generationCapacity(static_cast<std::size_t>(std::max(0, capacity)) / 2)
{
}

void RecentChats::put(std::uint64_t chatHash, EndpointIndex endpoint)
{
    if (m_generationCapacity == 0) {
        return;
    }
    if (m_young.size() >= m_generationCapacity) {
        m_old.swap(m_young);
        m_young.clear();
    }
    m_young[chatHash] = endpoint;
}

bool RecentChats::find(std::uint64_t chatHash, EndpointIndex &endpoint) const
{
    for (const auto *generation : {&m_young, &m_old}) {
        const auto found = generation->find(chatHash);
        if (found != generation->end()) {
            endpoint = found->second;
            return true;
        }
    }
    return false;
}

void RecentChats::forget(std::uint64_t chatHash, EndpointIndex endpoint)
{
    for (auto *generation : {&m_young, &m_old}) {
        const auto found = generation->find(chatHash);
        if (found != generation->end() && found->second == endpoint) {
            generation->erase(found);
        }
    }
}

// Placer

Placer::Placer(const PlacementSettings &placement, const QueueSettings &queue, std::uint64_t seed)
    : m_settings(placement)
    , m_queue(queue)
    , m_recent(placement.recentChats)
    , m_random(seed)
{
}

double Placer::uniform()
{
    return boost::random::uniform_01<double>()(m_random);
}

void Placer::onServed(const ChatId &chat, EndpointIndex endpoint)
{
    if (!chat.isEmpty()) {
        m_recent.put(hashName(chat.text), endpoint);
    }
}

void Placer::onPrefixEvicted(const ChatId &chat, EndpointIndex endpoint)
{
    m_recent.forget(hashName(chat.text), endpoint);
}

static bool contains(const std::vector<EndpointIndex> &list, EndpointIndex index)
{
    return std::find(list.begin(), list.end(), index) != list.end();
}

static bool serves(const EndpointLoad &endpoint, const PoolId &pool)
{
    const auto &pools = endpoint.vm.pools;
    return endpoint.isRoutable && std::find(pools.begin(), pools.end(), pool) != pools.end();
}

void Placer::addRendezvousOrder(const Call &call, const Pool &pool, const LoadView &view,
                                std::vector<Candidate> &list) const
{
    struct Scored {
        std::uint64_t score;
        EndpointIndex endpoint;
    };
    const std::uint64_t chatHash = hashName(call.chat.text);
    const auto isBetter = [](const Scored &a, const Scored &b) { return a.score > b.score; };
    const auto capacity = static_cast<std::size_t>(m_settings.candidates);
    std::vector<Scored> best; // heap with the lowest of the best scores on top
    best.reserve(capacity + 1);
    for (const EndpointIndex index : pool.members) {
        const Scored scored{rendezvousScore(chatHash, view.at(index).hash), index};
        if (best.size() == capacity && !isBetter(scored, best.front())) {
            continue;
        }
        best.push_back(scored);
        std::push_heap(best.begin(), best.end(), isBetter);
        if (best.size() > capacity) {
            std::pop_heap(best.begin(), best.end(), isBetter);
            best.pop_back();
        }
    }
    std::sort_heap(best.begin(), best.end(), isBetter);
    for (const Scored &scored : best) {
        const bool isHome = scored.endpoint == best.front().endpoint;
        list.push_back({scored.endpoint, isHome ? PlacementReason::Home : PlacementReason::Spill});
    }
}

/// Candidates from the hint and the recent chats only; the rendezvous order is added when these do not suffice.
std::vector<Placer::Candidate> Placer::candidates(const Call &call, const LoadView &view) const
{
    std::vector<Candidate> list;
    EndpointIndex index{};
    const bool hasHint = !call.hint.endpoint.isEmpty() && view.find(call.hint.endpoint, index);
    if (hasHint && view.at(index).vm.incarnation == call.hint.incarnation && serves(view.at(index), call.pool)) {
        list.push_back({index, PlacementReason::Hint});
        return list;
    }
    if (m_recent.find(hashName(call.chat.text), index) && serves(view.at(index), call.pool)) {
        list.push_back({index, PlacementReason::Recent});
    }
    return list;
}

double Placer::maxLoad(const EndpointLoad &endpoint, const Pool &pool, const LoadView &view) const
{
    const double fleetBound = m_settings.loadBound * pool.meanLoadWith(1);
    if (view.peersComplete() || endpoint.hasReport || m_position.routers <= 1) {
        const double leastLoaded = std::floor(pool.meanLoadWith(0)) + 1; // always admits the least loaded endpoint
        const double nearlyIdle = std::min(fleetBound + 1, 2.0);         // a chat may return right after its last call
        return std::max({fleetBound, leastLoaded, nearlyIdle});
    }
    // Load from other routers is unknown: use this router's part of the bound, rounded so that all parts add up.
    const double ownPart = roundedShare(m_settings.loadBound * pool.ownMeanLoadWith(1), m_position, endpoint.hash);
    return std::max(ownPart, endpoint.own.total <= 0 ? 1.0 : 0.0);
}

Placer::Headroom Placer::headroomAt(const Call &call, const EndpointLoad &endpoint, const Pool &pool,
                                    const LoadView &view)
{
    Headroom headroom;
    headroom.load = endpoint.total();
    headroom.bound = maxLoad(endpoint, pool, view);
    headroom.isWithinBound = headroom.load + 1 <= headroom.bound;
    const double slots = endpoint.slots();
    if (m_queue.policy == Policy::Naive) {
        headroom.hasSlot = endpoint.total() < slots * (1 + m_queue.backlog);
        headroom.hasBacklog = headroom.hasSlot;
        return headroom;
    }
    headroom.hasSlot = endpoint.total() < slots;
    headroom.hasBacklog = endpoint.total() < slots * (1 + m_queue.backlog);
    if (call.lane == Lane::Long) {
        headroom.isBorrowed = isLongBorrowed(endpoint);
        const double freeLongSlots = longSlots(endpoint) - endpoint.longLane();
        const bool mayBorrow =
            m_borrowBudget.hasToken() && freeLongSlots >= 2; // the last is for a router within its part
        headroom.hasSlot = headroom.hasSlot && freeLongSlots >= 1 && (!headroom.isBorrowed || mayBorrow);
        headroom.hasBacklog = headroom.hasSlot;
    }
    return headroom;
}

double Placer::longSlots(const EndpointLoad &endpoint) const
{
    const double slots = endpoint.slots();
    const double reserved = std::max(1.0, std::floor(slots * m_queue.reservedSlots));
    return std::max(1.0, slots - reserved);
}

/// All routers see a free long-lane slot at the same time. Each router owns a part of every endpoint's slots, rounded
/// so that all parts add up. It borrows beyond its part so slowly that all routers together take no more than what is
/// free before they learn of each other's calls.
bool Placer::isLongBorrowed(const EndpointLoad &endpoint) const
{
    return endpoint.own.longLane >= roundedShare(longSlots(endpoint) / m_position.routers, m_position, endpoint.hash);
}

void Placer::replenishBorrowBudget(Instant now, const Pool &pool, bool isViewComplete)
{
    const double longSum = pool.slotSum * (1 - m_queue.reservedSlots);
    const double borrowable = longSum * (1 - unborrowableFraction); // so that routers do not find their parts taken
    const double free = std::max(0.0, borrowable - pool.ownLongSum - pool.othersLongSum);
    m_borrowBudget.replenish(now, free, static_cast<std::size_t>(m_position.routers),
                             isViewComplete ? 1 : partialViewConfidence);
}

void Placer::onStarted(const Placement &placement)
{
    if (placement.isBorrowed) {
        m_borrowBudget.take();
    }
}

/// A short prompt is recomputed faster than a slot becomes free; such calls go to the least loaded endpoint.
bool Placer::isAffinityNegligible(const Call &call) const
{
    return call.chat.isEmpty() || call.prompt < minReusablePrefillSeconds * m_settings.prefillTokensPerSecond;
}

/// Compares the expected wait for a slot at the preferred endpoint with the time to recompute the prompt on another.
bool Placer::isWaitCheaper(const Call &call, const EndpointLoad &preferred) const
{
    const double callSeconds = std::max(1.0, call.output) / m_settings.decodeTokensPerSecond;
    const double excess = std::max(0.0, preferred.total() - preferred.slots()) + 1;
    const double waitSeconds = excess * callSeconds / preferred.slots();
    const double recomputeSeconds = call.prompt / m_settings.prefillTokensPerSecond;
    return waitSeconds < recomputeSeconds;
}

/// Spills some calls at random before the bound is reached, so that routers with the same stale view do not all switch
/// to another endpoint at the same time.
bool Placer::spillsEarly(const Headroom &headroom)
{
    const double start = m_settings.spillStart * headroom.bound;
    if (headroom.load + 1 <= start || headroom.bound <= 2) {
        return false;
    }
    const double fraction = (headroom.load + 1 - start) / std::max(1e-9, headroom.bound - start);
    return uniform() < fraction * fraction;
}

Placement Placer::choose(Instant now, const Call &call, const LoadView &view,
                         const std::vector<EndpointIndex> &excluded)
{
    const Pool *pool = view.pool(call.pool);
    if (!pool || pool->members.empty()) {
        return {};
    }
    if (m_settings.policy == Policy::Naive) {
        return chooseNaively(call, *pool, view, excluded);
    }
    if (call.lane == Lane::Long) {
        replenishBorrowBudget(now, *pool, view.peersComplete() || m_position.routers <= 1);
    }
    return isAffinityNegligible(call) ? chooseLeastLoaded(call, *pool, view, excluded)
                                      : chooseForChat(call, *pool, view, excluded);
}

Placement Placer::chooseForChat(const Call &call, const Pool &pool, const LoadView &view,
                                const std::vector<EndpointIndex> &excluded)
{
    std::vector<Candidate> list = candidates(call, view);
    Placement placement;
    bool hasOrder = false;
    bool anyEligible = false;
    for (std::size_t i = 0; i < list.size() || !hasOrder; ++i) {
        if (i == list.size()) {
            addRendezvousOrder(call, pool, view, list);
            hasOrder = true;
            if (i == list.size()) {
                break;
            }
        }
        const EndpointLoad &endpoint = view.at(list[i].endpoint);
        if (contains(excluded, list[i].endpoint) || endpoint.weight < ejectionWeight) {
            continue;
        }
        anyEligible = true;
        const Headroom headroom = headroomAt(call, endpoint, pool, view);
        ++placement.considered;
        const bool isPreferred = placement.considered == 1;
        if (headroom.hasSlot && headroom.isWithinBound
            && !(isPreferred && !view.peersComplete() && spillsEarly(headroom))) {
            placement.action = PlacementAction::Send;
            placement.endpoint = list[i].endpoint;
            placement.placementReason = isPreferred ? list[i].placementReason : PlacementReason::Spill;
            placement.load = headroom.load;
            placement.bound = headroom.bound;
            placement.isBorrowed = headroom.isBorrowed;
            return placement;
        }
        if (isPreferred && !headroom.hasSlot && isWaitCheaper(call, endpoint)) {
            placement.action = PlacementAction::Wait;
            return placement;
        }
    }
    Placement fallback = chooseLeastLoaded(call, pool, view, excluded);
    fallback.considered += placement.considered;
    if (fallback.action == PlacementAction::None && anyEligible) {
        fallback.action = PlacementAction::Wait;
    }
    return fallback;
}

/// Chooses the least loaded endpoint of a small pool, starting at a random one to break ties. In a large pool, chooses
/// the best of a few random samples, or the first endpoint with room when none of the samples has any.
Placement Placer::chooseLeastLoaded(const Call &call, const Pool &pool, const LoadView &view,
                                    const std::vector<EndpointIndex> &excluded)
{
    Placement best;
    bool anyEligible = false;
    const std::size_t members = pool.members.size();
    const auto first = static_cast<std::size_t>(uniform() * static_cast<double>(members));
    const bool isSmall = members <= smallPoolSize;
    const std::size_t draws = isSmall ? 0 : randomDraws;
    for (std::size_t i = 0; i < draws + members; ++i) {
        if (i >= draws && !isSmall && best.action == PlacementAction::Send) {
            break;
        }
        const bool isDrawn = i < draws;
        const std::size_t pick =
            isDrawn ? static_cast<std::size_t>(uniform() * static_cast<double>(members)) : first + i;
        const EndpointIndex index = pool.members[pick % members];
        const EndpointLoad &endpoint = view.at(index);
        if (contains(excluded, index)) {
            continue;
        }
        anyEligible = true;
        const Headroom headroom = headroomAt(call, endpoint, pool, view);
        const bool isBetter = best.action != PlacementAction::Send || headroom.load < best.load;
        ++best.considered;
        if (headroom.hasBacklog && headroom.isWithinBound && endpoint.weight >= ejectionWeight && isBetter) {
            best.action = PlacementAction::Send;
            best.endpoint = index;
            best.placementReason = PlacementReason::LeastLoaded;
            best.load = headroom.load;
            best.bound = headroom.bound;
            best.isBorrowed = headroom.isBorrowed;
        }
    }
    if (best.action != PlacementAction::Send) {
        best.action = anyEligible ? PlacementAction::Wait : PlacementAction::None;
    }
    return best;
}

/// Plain rendezvous hashing: always the endpoint with the highest score, whatever its load. Calls without a chat go to
/// a random one.
Placement Placer::chooseNaively(const Call &call, const Pool &pool, const LoadView &view,
                                const std::vector<EndpointIndex> &excluded)
{
    Placement placement;
    std::uint64_t best = 0;
    const std::uint64_t chatHash = call.chat.isEmpty() ? m_random() : hashName(call.chat.text);
    for (const EndpointIndex index : pool.members) {
        const std::uint64_t score = rendezvousScore(chatHash, view.at(index).hash);
        if (contains(excluded, index) || score <= best) {
            continue;
        }
        best = score;
        placement.action = PlacementAction::Send;
        placement.endpoint = index;
        placement.placementReason = PlacementReason::Home;
    }
    return placement;
}

} // namespace galenafold
