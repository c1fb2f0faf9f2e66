// Keeps the requests that all routers together send to a replica within the rate that it asks for.
//
// Load pattern: most engines of a service are in need at once, each takes a few requests a second, and a hundred
// routers each send it one now and then. No router alone sends too many. What one has sent is known to the others after
// a broadcast, which in a large fleet takes longer than the limit leaves.
//
// Routers tell each other the limits, and what they have sent lately to replicas with one: a replica gets no more once
// the sends that are known of reach the limit. Where such reports would be late, each router keeps to its own part of
// the limit instead, a token bucket.
//
// Load pattern: a replica takes few requests a second for the seconds in which it warms up, at times all replicas of a
// data centre at once. What routers tell each other comes too late for that, and a router that is cut off hears
// nothing. So no message is needed: each router has permits for its part of the rate, one after the other, which lapse
// soon if they are not used. Those that are valid within any second add up to the rate, whoever is heard.
//
// Sections of this file: Report, Limits.
#pragma once

#include "galenafold/galenafold.h"

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace galenafold
{

// Report

/// What a replica asked for.
struct LimitNews {
    std::uint32_t replica = 0;       // hash of its id
    std::optional<double> perSecond; // requests that it takes from all routers together; nothing: any number again
    std::uint32_t ageMillis = 0;     // time since the latest answer that said so
};

/// Requests that the sender has sent to a replica with a limit within the last seconds.
struct LimitedSends {
    std::uint32_t replica = 0;
    std::uint8_t count = 0;
};

/// What a router tells its peers.
struct LimitReport {
    std::vector<LimitNews> news;
    std::vector<LimitedSends> sends; // replaces those of the report before
    std::uint32_t startId = 0;       // differs after each start of the sender; 0: as told before

    bool isEmpty() const { return news.empty() && sends.empty() && startId == 0; }
};

// Limits

/// Not thread-safe: used on the traffic thread.
class ReplicaRateLimits
{
public:
    explicit ReplicaRateLimits(std::uint64_t seed);

    /// An answer of a replica has come.
    /// @param perSecond the limit that it names; nothing: it names none
    /// @return true if the limit is new, has changed by more than a tenth, or has ended
    bool onAnswer(Instant now, std::uint32_t replica, std::optional<double> perSecond);

    /// @return true if the replica may get a request of this router
    bool admit(Instant now, std::uint32_t replica);

    void onSent(Instant now, std::uint32_t replica); ///< A request was sent to the replica.
    void forget(std::uint32_t replica); ///< The replica is gone, or has started anew without a limit of its own.

    /// @return requests per second that the replica named; nothing: no limit
    std::optional<double> limit(std::uint32_t replica) const;

    /// The replica warms up. A warm-up in progress is prolonged, never shortened; it ends by its time.
    /// @param perSecond requests that the replica takes from all routers together until then
    void setWarmUp(Instant now, std::uint32_t replica, double perSecond, Instant until);

    bool isWarmingUp(Instant now, std::uint32_t replica) const;

    /// @param routers size of the fleet
    /// @param reportDelay time until the peers know of a request that was sent
    /// @param isSizeKnown false: there may be far more routers, as this one has just started
    void setFleet(Instant now, int routers, Duration reportDelay, bool isSizeKnown = true);

    bool hasUnsentNews() const { return m_hasUnsentNews; } ///< @return true if peers do not know of a change
    LimitReport takeReport(Instant now); ///< @return report for all peers; its news then count as sent
    LimitReport fullReport(Instant now); ///< @return report with all limits, for a router that starts
    void onReport(Instant now, std::uint32_t peer, const LimitReport &report);

    void expire(Instant now); ///< Forgets what is too old. Call periodically.

private:
    struct Limit {
        std::optional<double> perSecond; // nothing: has ended
        Instant saidAt{};                // by the replica, latest
        int newsLeft = 0;                // broadcasts that still tell it
        int peerSends = 0;               // lately, as the peers report them
        std::deque<Instant> sends;       // own ones, lately
        double tokens = 0;               // this router's part of the limit; one is taken by each send. All routers
                                         // together begin at the rate; one that starts later begins with none, as
                                         // it may have used its part before
        Instant refilledAt{};
    };
    struct WarmUp {
        double perSecond = 0;
        Instant until{};
        std::optional<Instant> permitAt; // this router's oldest permit that has not lapsed, or else its next one, is
                                         // valid from then on; nothing: not drawn yet
    };
    struct PeerSends {
        Instant until{}; // expiry
        std::vector<LimitedSends> sends;
        std::uint32_t startId = 0;
    };

    bool isBelowLimit(Instant now, std::uint32_t replica);
    bool hasPermit(Instant now, std::uint32_t replica);
    void takePermit(Instant now, std::uint32_t replica);
    Duration permitInterval(const WarmUp &warmUp) const;
    void advancePermit(Instant now, WarmUp &warmUp);
    bool apply(std::uint32_t replica, const std::optional<double> &perSecond, Instant saidAt);
    int ownSends(Instant now, Limit &limit) const;
    bool areSendsTold() const;
    void refill(Instant now, Limit &limit) const;
    double randomFraction();
    void addSends(Instant now, LimitReport &report);
    void keepFormerSends(Instant now, const PeerSends &former);
    void addPeerSends(const std::vector<LimitedSends> &sends);
    void sumPeerSends(Instant now);

    boost::random::mt19937_64 m_random;
    std::unordered_map<std::uint32_t, Limit> m_limits;   // by replica; those that have ended are kept for a while
    std::unordered_map<std::uint32_t, WarmUp> m_warmUps; // by replica
    Instant m_permitsFrom = Instant::max();              // the size of the fleet is known by then
    std::map<std::uint32_t, PeerSends> m_peerSends;      // by peer
    std::deque<PeerSends> m_formerSends;                 // of peers that have restarted since, oldest first
    Instant m_knowsSendsFrom = Instant::max();           // peers' reports since the start cover a window from then on
    bool m_hasStarted = false;                           // that time has come
    int m_routers = 1;
    Duration m_reportDelay{};
    bool m_hasUnsentNews = false;
};

} // namespace galenafold
