// Conversion between HTTP header fields and the data path's typed fields. Each interface supplies a codec with its own
// header names; the data path sees types only.
#pragma once

#include "filters/headerfields.h"
#include "net/message.h"

namespace galenafold
{

/// Functions that decode and encode the header fields of one interface.
struct HeaderCodec {
    std::function<RequestFields(const HttpFields &)> decodeCall; // of a client's request
    std::function<bool(std::string_view name)>
        isRouterOnlyField; // set by the router only; dropped from client requests
    std::function<void(std::string &head, const AttemptFields &)> encodeAttempt; // appends to a request to a replica
    std::function<ResponseFields(const ResponseHead &)> decodeAnswer;            // of a replica's response
};

} // namespace galenafold
