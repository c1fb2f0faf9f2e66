// Estimates when a replica would answer a request, from what this router's own requests have shown.
//
// Load pattern: prompts of some hundred to some ten thousand tokens, read by engines of different speeds, where
// requests may wait for a place in the batch. The time to the first event follows from the prompt tokens that the
// engine has not cached, its slowdown and what waits there; the time to the end from the tokens of the response.
//
// One model for each service; its parameters follow the observed times slowly, so that a few odd ones change little.
//
// Load pattern: short and long prompts on one route, more of them than replicas have room for. How long each may wait
// at the router follows from its own work: by the times of all requests of the route, long ones would start too late,
// and short ones be refused that still have time. Requests whose fields tell no tokens go by the times of their route.
//
// Sections of this file: Work, Model.
#pragma once

#include "control/routes.h"
#include "filters/headerfields.h"
#include "filters/rates.h"
#include "filters/replicaroom.h"

#include <cstdint>
#include <unordered_map>

namespace galenafold
{

// Work

/// Work of one request at a replica.
struct ServiceWork {
    Tokens uncached = 0;  // prompt tokens that the replica is not expected to have cached
    Tokens output = 0;    // expected tokens of the response
    bool isStream = true; // the first event comes before the output is complete

    bool isKnown() const { return uncached > 0 || output > 0; }
};

/// @param hasShared the replica is expected to have the prompt parts cached that other requests share
/// @return work of a request by the token counts that its fields give
ServiceWork expectedWork(const RequestFields &fields, bool hasShared, bool isStream);

Tokens promptTokens(const RequestFields &fields);   ///< @return tokens of the whole prompt; 0: not given
Tokens sharedTokens(const RequestFields &fields);   ///< @return of these, in parts that other requests share
Tokens responseTokens(const RequestFields &fields); ///< @return expected tokens of the response; 0: not given

// Model

/// Time since a request is sent.
struct ServiceTime {
    Duration firstEvent{}; // until the first event of a stream, or until the whole response if it is none
    Duration end{};        // until the end
};

/// How far estimates of the time to the first event were off.
struct ServiceTimeError {
    std::int64_t count = 0;         // answers
    double meanSeconds = 0;         // observed minus estimated, smoothed
    double meanAbsoluteSeconds = 0; // smoothed
};

/// Not thread-safe: used on the traffic thread.
class ServiceTimeModel
{
public:
    ServiceTime estimate(const ServiceWork &work, const ReplicaOccupancy &occupancy) const;

    /// For a request that is not sent yet, so that its replica is not known: how busy and how slow replicas were
    /// lately counts as part of the time.
    /// @return time to the first event that few attempts exceed; 0: not known
    Duration likelyFirstEvent(const RouteId &route, const ServiceWork &work) const;

    /// The first event, or a whole response, was received.
    /// @param occupancy of the replica when the request was sent, not counting it @param took time since then
    void onFirstEvent(const RouteId &route, const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration took);

    /// The end of the response was received.
    /// @param occupancy as in `onFirstEvent` @param sinceFirstEvent time since then @param took time since the request
    /// was sent
    void onEnd(const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration sinceFirstEvent, Duration took);

    const ServiceTimeError &error() const { return m_error; }

private:
    /// Time that grows with the work of a request.
    struct LinearTime {
        double baseSeconds = 0;          // without tokens
        double secondsPerUnit = 0;       // to read tokens. @see tokensPerUnit
        double secondsPerOutputUnit = 0; // for a whole response. @see outputTokensPerUnit

        double at(const ServiceWork &work) const;
        void learn(const ServiceWork &work, double error);     ///< @param error of this observation, weighted, s
        void learnPace(const ServiceWork &work, double error); ///< The same, without the base.
    };

    double waitSeconds(const ReplicaOccupancy &occupancy) const;
    double firstEventSeconds(const ServiceWork &work, const ReplicaOccupancy &occupancy) const;
    void noteSpread(const ServiceWork &work, double observed);
    void noteRoute(const RouteId &route, Duration took);

    LinearTime m_work;                  // to the first event, at a replica that is neither full nor slow
    double m_delaySeconds = 0;          // what the first event took beyond that, smoothed
    LinearTime m_deviation;             // of the time to the first event from both, its mean
    double m_secondsPerOutputToken = 0; // after the first event
    double m_meanSeconds = 0;           // of whole requests
    ServiceTimeError m_error;
    std::unordered_map<RouteId, ResponseTimeEstimate> m_routes; // of requests without token counts
};

} // namespace galenafold
