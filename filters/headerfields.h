// What a request, an attempt and an answer say in their heads, whatever interface they came by.
//
// Sections of this file: Request, Attempt, Answer.
#pragma once

#include "control/routes.h"

namespace galenafold
{

// Request

/// One part of a prompt, in order. Requests with the same leading parts can share an engine's prompt cache.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

struct RequestFields {
    RequestId request;
    std::string apiKey;
    std::optional<Duration> callerTimeout;   // how long the caller still waits
    std::vector<PromptPart> promptParts;     // the last one is the request's own
    Tokens promptTokens = 0;                 // 0: not said
    Tokens outputTokens = 0;                 // at most; 0: not said
    Tokens expectedOutput = 0;               // the caller's guess; 0: none
    std::optional<std::int64_t> resumeAfter; // event that the caller has already
};

// Attempt

struct AttemptFields {
    Duration left{};                         // until the request's deadline
    EndpointId expected;                     // any other replica at the address refuses
    AccountId account;                       // empty: none
    std::optional<std::int64_t> resumeAfter; // event after which a stream goes on
    std::optional<int> urgency;              // 0 first, 9 last
    std::string cacheSource;                 // IP:PORT of a replica that may hold the shared prompt parts; empty: none
};

// Answer

/// What a replica says of its load in an answer's head.
struct LoadSample {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    double slowdown = 1; // how long work takes now, against its usual time
};

struct ResponseFields {
    RequestId request;          // that the answer belongs to; empty: not said
    bool hasChecksum = false;   // carries the replica's checksum
    bool reportsNotRun = false; // the replica did not and will not run the request
    bool isEncoded = false;     // the body is not the replica's plain one
    std::optional<LoadSample> load;
    std::optional<Duration> idleLifetime; // how long the replica keeps an idle connection
};

} // namespace galenafold
