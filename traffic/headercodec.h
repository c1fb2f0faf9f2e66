// Conversion between HTTP header fields and the data path's typed fields. Each interface of the router supplies a codec
// with its own header names; the data path only uses the typed fields.
#pragma once

#include "filters/headerfields.h"
#include "net/message.h"

namespace galenafold
{

/// Functions that decode and encode the header fields of one interface.
struct HeaderCodec {
    std::function<RequestFields(const HttpFields &)> decodeRequest; // of a caller's request
    std::function<bool(std::string_view name)>
        isRouterOnlyField; // consumed or set by the router; not forwarded from callers
    std::function<void(std::string &head, const AttemptFields &)>
        encodeAttempt;                                                  // appends to the head of a request to a replica
    std::function<ResponseFields(const ResponseHead &)> decodeResponse; // of a replica's response
};

} // namespace galenafold
