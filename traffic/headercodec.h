// Conversion between HTTP header fields and the data path's typed fields. Each interface of the router supplies a codec
// with its own header names; the data path only uses the typed fields.
#pragma once

#include "filters/headerfields.h"
#include "net/message.h"

namespace galenafold
{

/// Functions that decode and encode the header fields of one interface.
struct HeaderCodec {
    /// Decodes the fields of a caller's request.
    std::function<RequestFields(const HttpFields &)> decodeRequest;

    /// @return true if the router consumes or sets the field, so that it is not forwarded from callers
    std::function<bool(std::string_view name)> isRouterOnlyField;

    /// Appends an attempt's fields to the head of a request to a replica.
    std::function<void(std::string &head, const AttemptFields &)> encodeAttempt;

    /// Decodes the fields of a replica's response.
    std::function<ResponseFields(const ResponseHead &)> decodeResponse;
};

} // namespace galenafold
