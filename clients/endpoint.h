// What endpoints of our own interface speak: the request that they get, the head of their answer, and their load.
//
// Sections of this file: Request, Answer, Probes.
#pragma once

#include "filters/relay.h"
#include "net/message.h"

namespace galenafold
{

// Request

struct EndpointRequest {
    RequestId request;
    int attempt = 1;
    std::string host; // ADDRESS:PORT
    std::string path;
    std::string body;
    std::string traceparent;
    std::string chat;           // tells the engine which context to keep; "" for none
    std::string idempotencyKey; // idempotency key, passed on
    int priority = 5;
    bool isLong = false;
    Tokens resumeFrom = 0;
};

/// @return the whole request, as it goes over a connection
std::string encodeEndpointRequest(const EndpointRequest &request);

// Answer

/// @param head of an answer of `endpoint`, as read `now`
EndpointResponseHead decodeEndpointHead(const ResponseHead &head, const VmRecord &endpoint, Instant now);

/// Reads the header Engine-Load, "age_ms=.. slots=.. in_flight=.. long=.. leaving=..".
bool parseLoad(const std::string &text, Instant now, LoadReport &report);

// Probes; they block, and run on threads of their own.

/// Asks an endpoint for its load. @return false when it did not answer.
bool fetchLoad(const VmRecord &endpoint, LoadReport &report);

/// Reads chats whose context an engine dropped. @param from moves on. @return false when it did not answer.
bool fetchCacheEvents(const VmRecord &endpoint, std::int64_t &from, std::vector<ChatId> &dropped);

} // namespace galenafold
