// Header fields of requests, attempts and responses, independent of the platform's wire format.
//
// Sections of this file: Request, Attempt, Response.
#pragma once

#include "control/routes.h"

namespace galenafold
{

// Request

/// One part of a prompt, in order. Requests with the same leading parts can share an engine's prefix cache.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

struct RequestFields {
    RequestId request;
    std::string apiKey;
    std::optional<Duration> callerTimeout;   // remaining time until the caller gives up
    std::vector<PromptPart> promptParts;     // the last one is not shared with other requests
    Tokens promptTokens = 0;                 // 0: not given
    Tokens maxOutput = 0;                    // limit on the generated tokens; 0: not given
    Tokens expectedOutput = 0;               // the caller's estimate; 0: none
    std::optional<std::int64_t> resumeAfter; // id of the last event that the caller has received
    std::string opaqueResumeAfter;           // the same, if it is no number
    RequestId resumedRequest; // that brought the first event of the stream that is taken up; empty: not told

    bool takesUpStream() const { return resumeAfter || !opaqueResumeAfter.empty(); }

    /// @return the request that brought the first event of the stream that is taken up, or this one
    const RequestId &firstRequest() const
    {
        return takesUpStream() && !resumedRequest.isEmpty() ? resumedRequest : request;
    }
};

// Attempt

struct AttemptFields {
    Duration timeLeft{};                     // time until the request's deadline
    EndpointId expectedReplica;              // replica that the request is for; any other one at the address refuses it
    AccountId account;                       // empty: none
    std::optional<std::int64_t> resumeAfter; // id of the event after which a stream continues
    std::string opaqueResumeAfter;           // the same as its caller named it, unless a number is known
    std::optional<int> priority;             // at the replica; 0 is highest, 9 is lowest
    std::string cacheSource;                 // IP:PORT of a replica that may have the shared parts cached; empty: none
};

// Response

/// Load of a replica, as reported in the headers of a response.
struct ReplicaLoad {
    int running = 0;     // requests
    int waiting = 0;     // requests
    int slots = 0;       // requests that it can run concurrently
    double slowdown = 1; // current service time, as a multiple of the usual one
};

struct ResponseFields {
    RequestId request;          // request that the response belongs to; empty: not given
    bool hasChecksum = false;   // carries the replica's checksum
    bool reportsNotRun = false; // the replica did not and will not run the request
    bool isEncoded = false;     // the body has a content encoding
    bool isLeaving = false;     // the replica takes no new requests and will stop
    std::optional<ReplicaLoad> load;
    std::optional<double> rateLimit;          // requests per second that the replica takes from all routers together
    std::optional<Duration> retryAfter;       // with 503: how long the replica wants no request of this router
    std::optional<Duration> keepAliveTimeout; // how long the replica keeps an idle connection open
};

} // namespace galenafold
