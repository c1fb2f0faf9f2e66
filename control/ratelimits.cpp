// Keeps the requests that all routers together send to a replica within the rate that it asks for.
//
// Sections of this file: Limits, Warm-ups, Fleet.
#include "control/ratelimits.h"

#include "control/age.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr auto window = std::chrono::seconds(4); // over which requests are counted
constexpr double windowSeconds = 4;
constexpr double noticeableChange = 0.1;                     // of a limit
constexpr auto reorderTime = std::chrono::milliseconds(100); // by which answers over several connections overtake
constexpr auto promptDelay =
    std::chrono::milliseconds(300);                    // of reports; with later ones each router keeps to its part
constexpr auto maxToldDelay = std::chrono::seconds(1); // of reports; later ones do not tell sends
constexpr int extraSends = 1;                          // in the window, for a limit of few requests
constexpr double smallLimit = 0.5;       // per second; routers that use the same room at once would exceed it
constexpr double minPerSecond = 0.25;    // of all routers, also at a limit of 0, to learn when it ends
constexpr double unusedPartFactor = 1.5; // more than the limit is divided, as routers that see no request use no part
constexpr auto permitLifetime = std::chrono::milliseconds(400); // short, as permits of all routers may be used at once
/// Part of a warm-up's rate that is given out: permits of a second, and those still valid from before, add up to it.
constexpr double permitPart = 1 / (1 + std::chrono::duration<double>(permitLifetime).count());
constexpr double longestPermitInterval = 3600;           // seconds; keeps times in range whatever rate a service names
constexpr auto sizeSettleTime = std::chrono::seconds(2); // from the first peers' lists until the fleet's size is exact
constexpr int sendsPerNews = 2;                          // broadcasts that carry each change
constexpr std::size_t maxSentNews = 32;                  // per broadcast
constexpr std::size_t maxReportedSends = 256;            // replicas per broadcast
constexpr std::size_t maxKnownLimits = 20000;            // twice the replicas of the largest deployment
constexpr auto endedLifetime = std::chrono::seconds(60); // in which late news of an ended limit may come
constexpr auto unheardLifetime = std::chrono::minutes(10);    // of a limit that nobody hears of any more
constexpr auto peerReportLifetime = std::chrono::seconds(10); // of a silent peer's sends

// Limits

ReplicaRateLimits::ReplicaRateLimits(std::uint64_t seed)
    : m_random(seed)
{
}

double ReplicaRateLimits::randomFraction()
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(m_random() % steps) / static_cast<double>(steps);
}

bool ReplicaRateLimits::onAnswer(Instant now, std::uint32_t replica, std::optional<double> perSecond)
{
    const auto known = m_limits.find(replica);
    const bool isLimited = known != m_limits.end() && known->second.perSecond;
    const bool mayBeOvertaken = isLimited && now < known->second.saidAt + reorderTime;
    if (!perSecond && (!isLimited || mayBeOvertaken)) {
        return false;
    }
    const bool hasChanged = apply(replica, perSecond, now);
    if (hasChanged) {
        m_limits[replica].newsLeft = sendsPerNews;
        m_hasUnsentNews = true;
    }
    return hasChanged;
}

/// @param saidAt when the replica said so; what it said later stays
bool ReplicaRateLimits::apply(std::uint32_t replica, const std::optional<double> &perSecond, Instant saidAt)
{
    const auto [entry, isNew] = m_limits.try_emplace(replica);
    Limit &limit = entry->second;
    if (!isNew && saidAt < limit.saidAt) {
        return false;
    }
    if (perSecond && !limit.perSecond) {
        limit.tokens = m_hasStarted ? std::min(1.0, 2 * randomFraction()) : 0; // see `Limit::tokens`
        limit.refilledAt = saidAt;
    }
    const bool hasChanged = limit.perSecond.has_value() != perSecond.has_value()
        || (perSecond && std::abs(*perSecond - *limit.perSecond) > noticeableChange * *limit.perSecond);
    limit.perSecond = perSecond;
    limit.saidAt = saidAt;
    return hasChanged;
}

std::optional<double> ReplicaRateLimits::limit(std::uint32_t replica) const
{
    const auto known = m_limits.find(replica);
    return known == m_limits.end() ? std::nullopt : known->second.perSecond;
}

bool ReplicaRateLimits::areSendsTold() const
{
    return m_reportDelay <= maxToldDelay;
}

int ReplicaRateLimits::ownSends(Instant now, Limit &limit) const
{
    while (!limit.sends.empty() && now >= limit.sends.front() + window) {
        limit.sends.pop_front();
    }
    return static_cast<int>(limit.sends.size());
}

bool ReplicaRateLimits::admit(Instant now, std::uint32_t replica)
{
    return hasPermit(now, replica) && isBelowLimit(now, replica);
}

bool ReplicaRateLimits::isBelowLimit(Instant now, std::uint32_t replica)
{
    const auto entry = m_limits.find(replica);
    if (entry == m_limits.end() || !entry->second.perSecond) {
        return true;
    }
    Limit &limit = entry->second;
    refill(now, limit);
    const bool needsToken = !m_hasStarted || m_reportDelay > promptDelay || *limit.perSecond < smallLimit;
    const bool hasToken = !needsToken || limit.tokens >= 1;
    const int known = ownSends(now, limit) + limit.peerSends;
    return hasToken && known + 1 <= *limit.perSecond * windowSeconds + extraSends;
}

void ReplicaRateLimits::refill(Instant now, Limit &limit) const
{
    const double elapsed = std::chrono::duration<double>(now - limit.refilledAt).count();
    const double perSecond = std::max(minPerSecond, unusedPartFactor * *limit.perSecond) / m_routers;
    limit.tokens = std::min(1.0, limit.tokens + elapsed * perSecond);
    limit.refilledAt = now;
}

void ReplicaRateLimits::onSent(Instant now, std::uint32_t replica)
{
    const auto entry = m_limits.find(replica);
    if (entry != m_limits.end() && entry->second.perSecond) {
        entry->second.sends.push_back(now);
        m_hasUnsentNews = m_hasUnsentNews || areSendsTold();
        entry->second.tokens -= entry->second.tokens >= 1 ? 1 : 0; // none was taken while reports were prompt
    }
    takePermit(now, replica);
}

void ReplicaRateLimits::forget(std::uint32_t replica)
{
    m_limits.erase(replica);
}

// Warm-ups

void ReplicaRateLimits::setWarmUp(Instant now, std::uint32_t replica, double perSecond, Instant until)
{
    if (until <= now) {
        return;
    }
    WarmUp &warmUp = m_warmUps[replica];
    if (now >= warmUp.until) {
        warmUp.permitAt.reset();
    }
    warmUp.perSecond = perSecond;
    warmUp.until = std::max(warmUp.until, until);
}

bool ReplicaRateLimits::isWarmingUp(Instant now, std::uint32_t replica) const
{
    const auto warmUp = m_warmUps.find(replica);
    return warmUp != m_warmUps.end() && now < warmUp->second.until;
}

/// All routers together have one permit after the other, each at a time of its own.
Duration ReplicaRateLimits::permitInterval(const WarmUp &warmUp) const
{
    const double perSecond = permitPart * warmUp.perSecond / m_routers;
    return std::max(Duration(1),
                    std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(std::min(longestPermitInterval, 1 / perSecond))));
}

/// Drops permits that have lapsed. The first one is drawn as if this router had had permits all the time.
void ReplicaRateLimits::advancePermit(Instant now, WarmUp &warmUp)
{
    const Duration interval = permitInterval(warmUp);
    const Instant oldestValid = now - permitLifetime;
    if (!warmUp.permitAt) {
        const double offset = static_cast<double>(interval.count()) * randomFraction();
        warmUp.permitAt = oldestValid + Duration(static_cast<Duration::rep>(offset));
    }
    if (*warmUp.permitAt < oldestValid) {
        *warmUp.permitAt += ((oldestValid - *warmUp.permitAt) / interval + 1) * interval;
    }
}

bool ReplicaRateLimits::hasPermit(Instant now, std::uint32_t replica)
{
    const auto warmUp = m_warmUps.find(replica);
    if (warmUp == m_warmUps.end() || now >= warmUp->second.until) {
        return true;
    }
    if (now < m_permitsFrom) {
        return false;
    }
    advancePermit(now, warmUp->second);
    return now >= *warmUp->second.permitAt;
}

void ReplicaRateLimits::takePermit(Instant now, std::uint32_t replica)
{
    const auto warmUp = m_warmUps.find(replica);
    if (warmUp != m_warmUps.end() && now < warmUp->second.until && now >= m_permitsFrom) {
        advancePermit(now, warmUp->second);
        *warmUp->second.permitAt += permitInterval(warmUp->second);
    }
}

// Fleet

void ReplicaRateLimits::setFleet(Instant now, int routers, Duration reportDelay, bool isSizeKnown)
{
    if (isSizeKnown && m_permitsFrom == Instant::max()) {
        m_permitsFrom = now + sizeSettleTime;
    }
    if (m_knowsSendsFrom == Instant::max()) {
        m_knowsSendsFrom = now + window;
    }
    m_hasStarted = now >= m_knowsSendsFrom;
    m_routers = routers;
    m_reportDelay = reportDelay;
}

void ReplicaRateLimits::addSends(Instant now, LimitReport &report)
{
    if (!areSendsTold()) {
        return; // too late to be of use, and they make all reports later
    }
    for (auto &[replica, limit] : m_limits) {
        const int count = ownSends(now, limit);
        if (limit.perSecond && count > 0 && report.sends.size() < maxReportedSends) {
            report.sends.push_back({replica, static_cast<std::uint8_t>(std::min(count, 255))});
        }
    }
}

LimitReport ReplicaRateLimits::takeReport(Instant now)
{
    LimitReport report;
    m_hasUnsentNews = false;
    for (auto &[replica, limit] : m_limits) {
        if (limit.newsLeft == 0) {
            continue;
        }
        if (report.news.size() == maxSentNews) {
            m_hasUnsentNews = true;
            break;
        }
        --limit.newsLeft;
        report.news.push_back({replica, limit.perSecond, ageMillis(limit.saidAt, now)});
    }
    addSends(now, report);
    return report;
}

LimitReport ReplicaRateLimits::fullReport(Instant now)
{
    LimitReport report;
    for (const auto &[replica, limit] : m_limits) {
        if (limit.perSecond && report.news.size() < maxSentNews) {
            report.news.push_back({replica, limit.perSecond, ageMillis(limit.saidAt, now)});
        }
    }
    addSends(now, report);
    return report;
}

void ReplicaRateLimits::onReport(Instant now, std::uint32_t peer, const LimitReport &report)
{
    for (const LimitNews &told : report.news) {
        if (m_limits.size() < maxKnownLimits || m_limits.count(told.replica) > 0) {
            apply(told.replica, told.perSecond, now - std::chrono::milliseconds(told.ageMillis));
        }
    }
    PeerSends &known = m_peerSends[peer];
    if (report.startId != 0 && report.startId != known.startId) {
        keepFormerSends(now, known);
        known.startId = report.startId;
    }
    const bool hadSends = !known.sends.empty();
    known.until = now + peerReportLifetime;
    known.sends = report.sends;
    if (hadSends || !report.sends.empty()) {
        sumPeerSends(now);
    }
}

/// A router that has restarted does not know what it sent before.
void ReplicaRateLimits::keepFormerSends(Instant now, const PeerSends &former)
{
    if (!former.sends.empty()) {
        m_formerSends.push_back({now + window, former.sends, 0});
    }
}

void ReplicaRateLimits::addPeerSends(const std::vector<LimitedSends> &sends)
{
    for (const LimitedSends &sent : sends) {
        const auto limit = m_limits.find(sent.replica);
        if (limit != m_limits.end()) {
            limit->second.peerSends += sent.count;
        }
    }
}

void ReplicaRateLimits::sumPeerSends(Instant now)
{
    for (auto &[replica, limit] : m_limits) {
        limit.peerSends = 0;
    }
    while (!m_formerSends.empty() && now >= m_formerSends.front().until) {
        m_formerSends.pop_front();
    }
    for (const PeerSends &former : m_formerSends) {
        addPeerSends(former.sends);
    }
    for (auto peer = m_peerSends.begin(); peer != m_peerSends.end();) {
        if (now >= peer->second.until) {
            peer = m_peerSends.erase(peer);
            continue;
        }
        addPeerSends(peer->second.sends);
        ++peer;
    }
}

void ReplicaRateLimits::expire(Instant now)
{
    for (auto entry = m_limits.begin(); entry != m_limits.end();) {
        const Duration lifetime = entry->second.perSecond ? Duration(unheardLifetime) : Duration(endedLifetime);
        entry = now >= entry->second.saidAt + lifetime ? m_limits.erase(entry) : std::next(entry);
    }
    for (auto warmUp = m_warmUps.begin(); warmUp != m_warmUps.end();) {
        warmUp = now >= warmUp->second.until ? m_warmUps.erase(warmUp) : std::next(warmUp);
    }
    if (!m_peerSends.empty() || !m_formerSends.empty()) {
        sumPeerSends(now);
    }
}

} // namespace galenafold
