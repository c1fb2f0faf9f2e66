// Rendezvous hashing with bounded load, affinity and a choice between waiting at home and recomputing elsewhere.
#include "filters/placement.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr std::size_t smallPool = 64;           // endpoints, all compared
constexpr std::size_t randomDraws = 3;          // endpoints compared for a call without context
constexpr double blindBorrowing = 0.1;          // of the pace, while some peer is not heard
constexpr double neverBorrowed = 0.15;          // of a pool's long slots
constexpr double leastSecondsWorthReuse = 0.02; // of prefill
constexpr double ejectedWeight = 0.5;           // an endpoint below this weight is slow and gets no ordinary work

const char *text(PlacementReason by)
{
    switch (by) {
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
    : m_half(static_cast<std::size_t>(std::max(0, capacity)) / 2)
{
}

void RecentChats::put(std::uint64_t chatHash, EndpointIndex endpoint)
{
    if (m_half == 0) {
        return;
    }
    if (m_young.size() >= m_half) {
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

void Placer::onContextEvicted(const ChatId &chat, EndpointIndex endpoint)
{
    m_recent.forget(hashName(chat.text), endpoint);
}

static bool contains(const std::vector<EndpointIndex> &list, EndpointIndex slot)
{
    return std::find(list.begin(), list.end(), slot) != list.end();
}

static bool serves(const EndpointLoad &endpoint, const PoolId &pool)
{
    const auto &pools = endpoint.vm.pools;
    return endpoint.isRoutable && std::find(pools.begin(), pools.end(), pool) != pools.end();
}

void Placer::addRendezvous(const Call &call, const Pool &pool, const LoadView &view, std::vector<Candidate> &list) const
{
    struct Scored {
        std::uint64_t score;
        EndpointIndex endpoint;
    };
    const std::uint64_t chatHash = hashName(call.chat.text);
    const auto isBetter = [](const Scored &a, const Scored &b) { return a.score > b.score; };
    const auto most = static_cast<std::size_t>(m_settings.candidates);
    std::vector<Scored> best; // a heap with the worst of the best on top
    best.reserve(most + 1);
    for (const EndpointIndex slot : pool.members) {
        const Scored scored{rendezvousScore(chatHash, view.at(slot).hash), slot};
        if (best.size() == most && !isBetter(scored, best.front())) {
            continue;
        }
        best.push_back(scored);
        std::push_heap(best.begin(), best.end(), isBetter);
        if (best.size() > most) {
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

/// Hint and recent table only; the rendezvous order is added when these do not settle it.
std::vector<Placer::Candidate> Placer::candidates(const Call &call, const LoadView &view) const
{
    std::vector<Candidate> list;
    EndpointIndex slot{};
    const bool hasHint = !call.hint.endpoint.isEmpty() && view.find(call.hint.endpoint, slot);
    if (hasHint && view.at(slot).vm.incarnation == call.hint.incarnation && serves(view.at(slot), call.pool)) {
        list.push_back({slot, PlacementReason::Hint});
        return list;
    }
    if (m_recent.find(hashName(call.chat.text), slot) && serves(view.at(slot), call.pool)) {
        list.push_back({slot, PlacementReason::Recent});
    }
    return list;
}

double Placer::boundOf(const EndpointLoad &endpoint, const Pool &pool, const LoadView &view) const
{
    const double fleetBound = m_settings.loadBound * pool.meanLoadWith(1);
    if (view.peersComplete() || endpoint.hasReport || m_position.routers <= 1) {
        const double leastLoaded = std::floor(pool.meanLoadWith(0)) + 1; // the least loaded is always within
        const double nearlyIdle = std::min(fleetBound + 1, 2.0); // a chat may return though its last call just ended
        return std::max({fleetBound, leastLoaded, nearlyIdle});
    }
    // Nothing is known of others: keep this router's part of the bound, rounded so that all parts add up.
    const double ownPart = roundedPart(m_settings.loadBound * pool.ownMeanLoadWith(1), m_position, endpoint.hash);
    return std::max(ownPart, endpoint.own.total <= 0 ? 1.0 : 0.0);
}

Placer::Room Placer::roomAt(const Call &call, const EndpointLoad &endpoint, const Pool &pool, const LoadView &view)
{
    Room room;
    room.load = endpoint.total();
    room.bound = boundOf(endpoint, pool, view);
    room.isInBound = room.load + 1 <= room.bound;
    const double slots = endpoint.slots();
    if (m_queue.policy == Policy::Naive) {
        room.hasSlot = endpoint.total() < slots * (1 + m_queue.backlog);
        room.hasBacklog = room.hasSlot;
        return room;
    }
    room.hasSlot = endpoint.total() < slots;
    room.hasBacklog = endpoint.total() < slots * (1 + m_queue.backlog);
    if (call.lane == Lane::Long) {
        room.isBorrowed = isLongBorrowed(endpoint);
        const double left = longSlots(endpoint) - endpoint.longLane();
        const bool mayBorrow = m_borrow.has() && left >= 2; // the last one is for a router whose part it is
        room.hasSlot = room.hasSlot && left >= 1 && (!room.isBorrowed || mayBorrow);
        room.hasBacklog = room.hasSlot;
    }
    return room;
}

double Placer::longSlots(const EndpointLoad &endpoint) const
{
    const double slots = endpoint.slots();
    const double reserved = std::max(1.0, std::floor(slots * m_queue.reservedSlots));
    return std::max(1.0, slots - reserved);
}

/// A free long slot is seen by all routers at once. Each has a part of every endpoint's slots, rounded so that all
/// parts add up, and borrows beyond it so slowly that all together take no more than what is free before they know of
/// it.
bool Placer::isLongBorrowed(const EndpointLoad &endpoint) const
{
    return endpoint.own.longLane >= roundedPart(longSlots(endpoint) / m_position.routers, m_position, endpoint.hash);
}

void Placer::earnBorrow(Instant now, const Pool &pool, bool isViewComplete)
{
    const double longSum = pool.slotSum * (1 - m_queue.reservedSlots);
    const double spared = longSum * (1 - neverBorrowed); // or owners of a part would find it taken
    const double free = std::max(0.0, spared - pool.ownLongSum - pool.othersLongSum);
    m_borrow.replenish(now, free, static_cast<std::size_t>(m_position.routers), isViewComplete ? 1 : blindBorrowing);
}

void Placer::onStarted(const Placement &placement)
{
    if (placement.isBorrowed) {
        m_borrow.take();
    }
}

/// A small prompt is computed again sooner than a slot comes free; such calls go where most room is.
bool Placer::isAffinityWorthless(const Call &call) const
{
    return call.chat.isEmpty() || call.prompt < leastSecondsWorthReuse * m_settings.prefillTokensPerSecond;
}

/// Compares the wait for a slot at home with computing the prompt again elsewhere.
bool Placer::worthWaiting(const Call &call, const EndpointLoad &home) const
{
    const double callSeconds = std::max(1.0, call.output) / m_settings.decodeTokensPerSecond;
    const double excess = std::max(0.0, home.total() - home.slots()) + 1;
    const double waitSeconds = excess * callSeconds / home.slots();
    const double recomputeSeconds = call.prompt / m_settings.prefillTokensPerSecond;
    return waitSeconds < recomputeSeconds;
}

/// Spills some calls before the bound is reached, so that routers with the same stale view do not all turn at once.
bool Placer::spillsEarly(const Room &room)
{
    const double start = m_settings.spillStart * room.bound;
    if (room.load + 1 <= start || room.bound <= 2) {
        return false;
    }
    const double depth = (room.load + 1 - start) / std::max(1e-9, room.bound - start);
    return uniform() < depth * depth;
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
        earnBorrow(now, *pool, view.peersComplete() || m_position.routers <= 1);
    }
    return isAffinityWorthless(call) ? chooseLeastLoaded(call, *pool, view, excluded)
                                     : chooseForChat(call, *pool, view, excluded);
}

Placement Placer::chooseForChat(const Call &call, const Pool &pool, const LoadView &view,
                                const std::vector<EndpointIndex> &excluded)
{
    std::vector<Candidate> list = candidates(call, view);
    Placement placement;
    bool hasOrder = false;
    bool anyLeft = false;
    for (std::size_t i = 0; i < list.size() || !hasOrder; ++i) {
        if (i == list.size()) {
            addRendezvous(call, pool, view, list);
            hasOrder = true;
            if (i == list.size()) {
                break;
            }
        }
        const EndpointLoad &endpoint = view.at(list[i].endpoint);
        if (contains(excluded, list[i].endpoint) || endpoint.weight < ejectedWeight) {
            continue;
        }
        anyLeft = true;
        const Room room = roomAt(call, endpoint, pool, view);
        ++placement.considered;
        const bool isHolder = placement.considered == 1;
        if (room.hasSlot && room.isInBound && !(isHolder && !view.peersComplete() && spillsEarly(room))) {
            placement.verdict = Verdict::Go;
            placement.endpoint = list[i].endpoint;
            placement.by = isHolder ? list[i].by : PlacementReason::Spill;
            placement.load = room.load;
            placement.bound = room.bound;
            placement.isBorrowed = room.isBorrowed;
            return placement;
        }
        if (isHolder && !room.hasSlot && worthWaiting(call, endpoint)) {
            placement.verdict = Verdict::Wait;
            return placement;
        }
    }
    Placement fallback = chooseLeastLoaded(call, pool, view, excluded);
    fallback.considered += placement.considered;
    if (fallback.verdict == Verdict::None && anyLeft) {
        fallback.verdict = Verdict::Wait;
    }
    return fallback;
}

/// The least loaded of a small pool, ties broken at random; of a large one the best of a few drawn at random, and when
/// none of these has room, the first that has.
Placement Placer::chooseLeastLoaded(const Call &call, const Pool &pool, const LoadView &view,
                                    const std::vector<EndpointIndex> &excluded)
{
    Placement best;
    bool anyLeft = false;
    const std::size_t members = pool.members.size();
    const auto first = static_cast<std::size_t>(uniform() * static_cast<double>(members));
    const bool isSmall = members <= smallPool;
    const std::size_t draws = isSmall ? 0 : randomDraws;
    for (std::size_t i = 0; i < draws + members; ++i) {
        if (i >= draws && !isSmall && best.verdict == Verdict::Go) {
            break;
        }
        const bool isDrawn = i < draws;
        const std::size_t pick =
            isDrawn ? static_cast<std::size_t>(uniform() * static_cast<double>(members)) : first + i;
        const EndpointIndex slot = pool.members[pick % members];
        const EndpointLoad &endpoint = view.at(slot);
        if (contains(excluded, slot)) {
            continue;
        }
        anyLeft = true;
        const Room room = roomAt(call, endpoint, pool, view);
        const bool isBetter = best.verdict != Verdict::Go || room.load < best.load;
        ++best.considered;
        if (room.hasBacklog && room.isInBound && endpoint.weight >= ejectedWeight && isBetter) {
            best.verdict = Verdict::Go;
            best.endpoint = slot;
            best.by = PlacementReason::LeastLoaded;
            best.load = room.load;
            best.bound = room.bound;
            best.isBorrowed = room.isBorrowed;
        }
    }
    if (best.verdict != Verdict::Go) {
        best.verdict = anyLeft ? Verdict::Wait : Verdict::None;
    }
    return best;
}

/// Plain rendezvous hashing: always the home, whatever its load. Calls without a chat go anywhere.
Placement Placer::chooseNaively(const Call &call, const Pool &pool, const LoadView &view,
                                const std::vector<EndpointIndex> &excluded)
{
    Placement placement;
    std::uint64_t best = 0;
    const std::uint64_t chatHash = call.chat.isEmpty() ? m_random() : hashName(call.chat.text);
    for (const EndpointIndex slot : pool.members) {
        const std::uint64_t score = rendezvousScore(chatHash, view.at(slot).hash);
        if (contains(excluded, slot) || score <= best) {
            continue;
        }
        best = score;
        placement.verdict = Verdict::Go;
        placement.endpoint = slot;
        placement.by = PlacementReason::Home;
    }
    return placement;
}

} // namespace galenafold
