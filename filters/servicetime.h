// Estimates when a replica would answer a request, from what this router's own requests have shown.
//
// Load pattern: prompts of some hundred to some ten thousand tokens, read by engines of different speeds, where
// requests may wait for a place in the batch. The time to the first event follows from the prompt tokens that the
// engine has not cached, its slowdown and what waits there; the time to the end from the tokens of the response.
//
// One model for each service; its parameters follow the observed times slowly, so that a few odd ones change little.
#pragma once

#include "filters/replicaroom.h"

#include <cstdint>

namespace galenafold
{

/// Work of one request at a replica.
struct ServiceWork {
    Tokens uncached = 0; // prompt tokens that the replica is not expected to have cached
    Tokens output = 0;   // expected tokens of the response
};

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

    /// The first event, or a whole response, was received.
    /// @param occupancy of the replica when the request was sent, not counting it @param took time since then
    void onFirstEvent(const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration took);

    /// The end of the response was received.
    /// @param occupancy as in `onFirstEvent` @param sinceFirstEvent time since then @param took time since the request
    /// was sent
    void onEnd(const ServiceWork &work, const ReplicaOccupancy &occupancy, Duration sinceFirstEvent, Duration took);

    const ServiceTimeError &error() const { return m_error; }

private:
    double waitSeconds(const ReplicaOccupancy &occupancy) const;
    double firstEventSeconds(const ServiceWork &work, const ReplicaOccupancy &occupancy) const;

    double m_baseSeconds = 0;           // to the first event, without tokens to read
    double m_secondsPerUnit = 0;        // to read tokens. @see tokensPerUnit
    double m_secondsPerOutputToken = 0; // after the first event
    double m_meanSeconds = 0;           // of whole requests
    ServiceTimeError m_error;
};

} // namespace galenafold
