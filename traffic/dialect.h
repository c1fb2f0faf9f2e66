// The hooks by which the data path reads and writes heads. Header names belong to a dialect; the data path sees types
// only.
#pragma once

#include "filters/fields.h"
#include "net/message.h"

namespace galenafold
{

struct Dialect {
    std::function<CallFields(const HttpFields &)> decodeCall;
    std::function<bool(std::string_view name)> isOwnField; // set by the router alone: a caller's is dropped
    std::function<void(std::string &head, const AttemptFields &)> encodeAttempt;
    std::function<AnswerFields(const ResponseHead &)> decodeAnswer;
};

} // namespace galenafold
