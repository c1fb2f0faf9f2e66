// Decides which requests of a service start, wait at this router or are refused while its replicas have no room.
//
// Load pattern: demand exceeds what the replicas can serve, for seconds or minutes, on a fleet of routers that each see
// a small part of it. Sent on at once, requests fill the replicas' queues and are late when they run, so the same
// replicas serve fewer and fewer in time. Here a request starts only where a replica has room for it. Others wait at
// the router, in order of priority and of fair shares over client accounts, and only as long as they can still start in
// time. One that cannot is refused at once, with the time after which room is expected.
//
// While replicas have room nothing waits, and nothing is decided here.
//
// Sections of this file: Request, Admission.
#pragma once

#include "control/routes.h"

namespace galenafold
{

// Request

enum class WaitKey : std::uint64_t {}; // identifies a waiting request within one run of a router

/// What the decision and the order depend on.
struct AdmissionRequest {
    WaitKey key{};
    AccountId account; // empty: the route needs no API key
    int priority = 5;  // of the account, or else of the route; 0: highest
    Tokens cost = 1;   // expected work
    Instant startBy{}; // latest start after which the response would be late
};

/// What becomes of a request that found no room.
struct AdmissionDecision {
    bool waits = false;    // false: refuse it now
    Duration retryAfter{}; // of a refusal: time after which room is expected, spread by chance
};

// Admission

struct AdmissionSettings {
    std::size_t capacity = 512; // requests that wait at one router at most, all services together
};

/// Waiting requests of all services of one router. Not thread-safe: used on the traffic thread.
class Admission
{
public:
    Admission(const AdmissionSettings &settings, std::uint64_t seed);

    /// @return true if requests of the service wait, so that a new one must take its turn behind them
    bool hasWaiting(const ServiceId &service) const;

    /// A request found no replica with room, or others wait before it.
    AdmissionDecision push(Instant now, const ServiceId &service, const AdmissionRequest &request);

    /// Starts waiting requests in order, until `start` returns false because there is no room.
    void drain(Instant now, const ServiceId &service, const std::function<bool(WaitKey)> &start);

    bool remove(WaitKey key); ///< The caller has left, or the request ended otherwise. @return true if it waited

    /// Removes the requests that can no longer start in time.
    std::vector<WaitKey> expire(Instant now);

    std::optional<Instant> nextExpiry() const; ///< @return when `expire` has something to remove next

    /// @return time after which room is expected for a request of this priority that is refused now, spread by chance
    Duration retryAfter(Instant now, const ServiceId &service, int priority);
};

} // namespace galenafold
