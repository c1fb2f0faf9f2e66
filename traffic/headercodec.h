// The hooks by which the data path reads and writes heads. Header names belong to a dialect; the data path sees types
// only.
#pragma once

#include "filters/headerfields.h"
#include "net/message.h"

namespace galenafold
{

struct HeaderCodec {
    std::function<RequestFields(const HttpFields &)> decodeCall;
    std::function<bool(std::string_view name)> isRouterOnlyField; // set by the router alone: a caller's is dropped
    std::function<void(std::string &head, const AttemptFields &)> encodeAttempt;
    std::function<ResponseFields(const ResponseHead &)> decodeAnswer;
};

} // namespace galenafold
