// HTTP protocol of the project's own endpoints: encoding of requests, decoding of response heads, and probes of load
// and cache.
//
// Sections of this file: Request, Response, Probes.
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
    std::string chat;           // chat whose context the engine caches; "": none
    std::string idempotencyKey; // idempotency key from the caller; "": none
    int priority = 5;           // 0 is highest, 9 is lowest
    bool isLong = false;        // the call is in the long lane
    Tokens resumeFrom = 0;      // generated tokens that the caller already has; 0: from the start
};

/// @return the complete HTTP request: head and body
std::string encodeEndpointRequest(const EndpointRequest &request);

// Response

/// Decodes the head of a response from `endpoint`.
/// @param now time of receipt, to which the age of the reported load refers
EndpointResponseHead decodeEndpointHead(const ResponseHead &head, const VmRecord &endpoint, Instant now);

/// Parses a load as in the header Engine-Load, "age_ms=.. slots=.. in_flight=.. long=.. leaving=..". Only age_ms is
/// required.
/// @return false if the text is malformed; `report` may then be partly set
bool parseLoad(const std::string &text, Instant now, LoadReport &report);

// Probes. These functions block, so call them on dedicated threads.

/// Fetches the load of an endpoint. @return false on timeout, error status or malformed response
bool fetchLoad(const VmRecord &endpoint, LoadReport &report);

/// Fetches the chats whose context an engine has evicted from its cache.
/// @param from position in the engine's event list; advanced past the events read
/// @param evicted gets the chats appended
/// @return false on timeout, error status or malformed response; `evicted` may then be partly extended
bool fetchCacheEvents(const VmRecord &endpoint, std::int64_t &from, std::vector<ChatId> &evicted);

} // namespace galenafold
