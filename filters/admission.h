// Decides which requests of a service start, wait at this router or are refused while its replicas have no room.
//
// Load pattern: demand exceeds what the replicas can serve, for seconds or minutes, on a fleet of routers that each see
// a small part of it. Sent on at once, requests fill the replicas' queues and are late when they run, so the same
// replicas serve fewer and fewer in time. Here a request starts only where a replica has room for it. Others wait at
// the router, in order of priority and of fair shares over client accounts, and only as long as they can still start in
// time. One that cannot is refused at once, with the time after which room is expected.
//
// Load pattern: one account asks for many times its usual, or repeats each refused request at once. Its requests wait
// behind each other, not before those of other accounts, and an account that has used less than its share lately goes
// first. What an account has used is counted over all routers. @see AccountUse
//
// While replicas have room nothing waits; only the work that starts is counted here.
//
// Sections of this file: Request, Admission.
#pragma once

#include "control/accountuse.h"
#include "filters/headerfields.h"
#include "filters/queue.h"
#include "filters/rates.h"
#include "filters/startwindow.h"

#include <boost/random/mersenne_twister.hpp>
#include <map>

namespace galenafold
{

// Request

enum class WaitKey : std::uint64_t {}; // identifies a waiting request within one run of a router

/// What the decision and the order depend on.
struct AdmissionRequest {
    WaitKey key{};
    AccountId account;                  // empty: the route needs no API key
    int priority = 5;                   // of the route; 0: highest
    std::optional<int> accountPriority; // of the account, which goes before the route's
    bool isRetry = false;               // it was sent before, and goes ahead of new requests
    Tokens cost = 0;                    // expected work; 0: not known
    Instant startBy{};                  // latest start after which the response would be late
    std::size_t bytes = 0;              // memory that it holds while it waits
};

/// Why a request does not wait.
enum class AdmissionRefusal : std::uint8_t {
    None,    // it waits
    TooLate, // it cannot be expected to start in time
    Full,    // as many requests wait as may, and this one is the least urgent
};

const char *text(AdmissionRefusal refusal); ///< @return the refusal's name in logs and metrics

/// What becomes of a request that found no room, and the inputs of the decision.
struct AdmissionDecision {
    bool waits = false;    // false: refuse it now
    Duration retryAfter{}; // of a refusal: time after which room is expected, spread by chance
    AdmissionRefusal refusal = AdmissionRefusal::None;
    std::vector<WaitKey> evicted; // requests that no longer wait, to be refused now
    std::size_t waiting = 0;      // requests of the service that wait
    double workBefore = 0;        // work to start before this request, as a multiple of the service's usual request
    double startRate = 0;         // such work per second that has started lately; 0: not known
    Duration expectedWait{};
    double use = 0; // of the account lately, as a multiple of the mean of all accounts
    int rank = 0;   // the first to start first. @see Admission::rank
};

/// @return expected work of a request by the token counts that its fields give; 0: they give none
Tokens expectedCost(const RequestFields &fields);

// Admission

struct AdmissionSettings {
    std::size_t capacity = 512;        // requests that wait at one router at most, all services together
    std::size_t maxBytes = 16U << 20U; // of memory that they hold at most
    double floorShare = 0.1;           // of the work that starts, for priorities below the highest that waits
};

/// Waiting requests of all services of one router. Work is counted as a multiple of the service's usual request. Not
/// thread-safe: used on the traffic thread.
class Admission
{
public:
    Admission(const AdmissionSettings &settings, std::uint64_t seed);

    AccountUse &use() { return m_use; } ///< @return what client accounts have used lately
    const AccountUse &use() const { return m_use; }

    /// @return this router's part of what accounts use, for its peers; empty unless requests have waited lately
    std::vector<AccountWork> workToTell(Instant now) const;

    /// @return true if requests of the service wait, so that a new one must take its turn, or if enough are in progress
    bool mustWait(const ServiceId &service) const;
    std::size_t waiting(const ServiceId &service) const; ///< @return requests of the service that wait
    std::vector<ServiceId> servicesWaiting() const;      ///< @return services of which requests wait

    /// @return true if the account has used more than its share lately
    bool isOverShare(Instant now, const ServiceId &service, const AccountId &account) const;

    /// A request found no replica with room, or others wait before it.
    AdmissionDecision push(Instant now, const ServiceId &service, const AdmissionRequest &request);

    /// Starts waiting requests in order. One for which `start` returns false, because no replica has room for it, is
    /// passed by others; after a few such it ends.
    void drain(const ServiceId &service, const std::function<bool(WaitKey)> &start);

    /// Starts the first waiting request in order for which there is room. @param start returns false if there is none
    /// @return false if none was started
    bool startNext(const ServiceId &service, const std::function<bool(WaitKey)> &start);

    /// An attempt was sent to a replica, after a wait or at once. @return true if its account is over its share
    bool onSent(Instant now, const ServiceId &service, const AdmissionRequest &request);

    /// An attempt that was sent has ended. @param isOverShare as returned by `onSent`
    void onEnded(const ServiceId &service, bool isOverShare = false);

    /// @return requests of the service in progress that were over their account's share when they were sent
    int inProgressOverShare(const ServiceId &service) const;

    /// A response told the load of its replica. @see StartWindow
    void onLoad(Instant now, const ServiceId &service, const ReplicaLoad &load);

    double window(const ServiceId &service) const; ///< @return requests in progress at most; 0: no limit

    bool remove(WaitKey key); ///< The caller has left, or the request ended otherwise. @return true if it waited

    /// Removes the requests that can no longer start in time.
    std::vector<WaitKey> expire(Instant now);

    std::optional<Instant> nextExpiry() const; ///< @return when `expire` has something to remove next

    /// @return time after which room is expected for a request that is refused now, spread by chance
    Duration retryAfter(Instant now, const ServiceId &service, const AdmissionRequest &request);

    double startRate(Instant now, const ServiceId &service) const; ///< @return work per second that starts; 0: unknown

private:
    /// The requests of one service and one rank.
    struct Level {
        Level();
        LaneQueue queue;
        DecayingSum started;  // work
        DecayingSum refused;  // work that may be asked for again
        double pessimism = 1; // factor on expected waits, raised when requests wait in vain
    };

    /// Requests that wait, and since when there have been some.
    struct Backlog {
        std::size_t waiting = 0;
        Instant since{};
        void add(Instant now);
        bool isStanding(Instant now) const; ///< @return true if it is no burst any more
    };

    struct Service {
        std::map<int, Level> levels; // by rank, the first to start first. @see rank
        StartWindow window;
        Backlog backlog;                 // of all requests
        Backlog withinShare;             // of accounts that are not over their share
        double floorCredit = 0;          // work that priorities below the highest waiting one may start before it
        int lastBelow = 0;               // the rank below it that had its turn last
        std::optional<Tokens> usualCost; // smoothed, of requests whose cost is known
    };

    struct Entry {
        ServiceId service;
        int rank = 0;
        bool isOverShare = false; // its account was, when it came
        std::size_t bytes = 0;
    };

    static QueuedCall queuedCall(Service &service, const AdmissionRequest &request);
    void estimate(Instant now, const Service &service, int rank, const QueuedCall &call,
                  AdmissionDecision &decision) const;
    static bool isInTime(Instant now, const Service &service, const AdmissionRequest &request,
                         const AdmissionDecision &decision);
    void forget(std::unordered_map<WaitKey, Entry>::iterator entry);
    static bool isOverShare(const AdmissionRequest &request, double use);
    static int rank(const AdmissionRequest &request, double use);
    Duration retryAfter(Instant now, const ServiceId &service, int rank);
    int rankNow(Instant now, const ServiceId &service, const AdmissionRequest &request) const;
    std::pair<const ServiceId, Service> &leastUrgentService();
    void evictBeyondLimits(Instant now, const AdmissionRequest &request, AdmissionDecision &decision);
    static Level *nextBelow(Service &service, int highest);
    static double startRate(Instant now, const Service &service, int ranksBelow);
    Duration spreadRetry(double seconds);

    AdmissionSettings m_settings;
    boost::random::mt19937_64 m_random;
    std::map<ServiceId, Service> m_services;
    std::unordered_map<WaitKey, Entry> m_entries;
    std::size_t m_bytes = 0; // of all that waits
    AccountUse m_use;
    std::optional<Instant> m_lastWaitAt; // when a request last had to wait or was refused
};

} // namespace galenafold
