// HTTP protocol of the project's own endpoints: encoding of requests, decoding of response heads, and load probes.
//
// Sections of this file: Request, Answer, Probes.
#pragma once

#include "filters/relay.h"
#include "net/message.h"

namespace galenafold
{

// Request

/// One attempt of a call, as sent to an endpoint.
struct EndpointRequest {
    RequestId request;
    int attempt = 1;
    std::string host; // ADDRESS:PORT
    std::string path;
    std::string body;
    std::string traceparent;
    std::string chat;           // key of the context that the engine caches; "": none
    std::string idempotencyKey; // idempotency key from the caller; "": none
    int priority = 5;           // 0 is highest, 9 is lowest
    bool isLong = false;        // long lane
    Tokens resumeFrom = 0;      // token offset from which a stream continues
};

/// @return the complete HTTP request: head and body
std::string encodeEndpointRequest(const EndpointRequest &request);

// Answer

/// Decodes the head of a response from `endpoint`. @param now time of receipt, to which the load's age refers
EndpointResponseHead decodeEndpointHead(const ResponseHead &head, const VmRecord &endpoint, Instant now);

/// Parses the header Engine-Load, "age_ms=.. slots=.. in_flight=.. long=.. leaving=..". Only age_ms is required.
/// @return false if the text is malformed; `report` may then be partly set
bool parseLoad(const std::string &text, Instant now, LoadReport &report);

// Probes; these calls block, so run them on dedicated threads.

/// Fetches the load of an endpoint. @return false on time-out, error status or malformed response
bool fetchLoad(const VmRecord &endpoint, LoadReport &report);

/// Fetches the chats whose context an engine has evicted from its cache. @param from position in the engine's event
/// list; advanced past the events read @return false on time-out, error status or malformed response
bool fetchCacheEvents(const VmRecord &endpoint, std::int64_t &from, std::vector<ChatId> &evicted);

} // namespace galenafold
