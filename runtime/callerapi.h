// Parses the callers' request bodies and affinity hints, and builds error bodies.
//
// Sections of this file: Parsing, Errors.
#pragma once

#include "filters/classify.h"

namespace galenafold
{

// Parsing

constexpr double bytesPerToken = 4; // estimate for prompt lengths

/// Result of parsing the body of a chat completion, which is untrusted input.
struct ParsedChat {
    bool isValid = false;
    std::string error; // message for the caller; empty if valid
    RequestTraits traits;
};

/// Parses a body in the format of OpenAI's chat completions.
/// @param chat id given by the caller; empty: derived from the messages up to the first one of the user
ParsedChat parseChat(const std::string &body, const std::string &chat);

/// Parses the affinity hint of an earlier response, "VM/INCARNATION". @return an empty hint for any other text
AffinityHint parseHint(const std::string &text);
std::string encodeHint(const AffinityHint &hint);

// Errors

/// @return an error body in OpenAI's format with the additional field `run`
std::string errorBody(Reason reason, ExecutionStatus executionStatus, const std::string &message);
int httpStatusOf(Reason reason);          ///< @return the HTTP status for a reason
std::string explainReason(Reason reason); ///< @return a message for the caller

} // namespace galenafold
