// What callers send and are told: reading of request bodies and hints, the shape of errors.
//
// Sections of this file: Parsing, Errors.
#pragma once

#include "filters/classify.h"

namespace galenafold
{

// Parsing

constexpr double bytesPerToken = 4; // rough, for prompts

/// What the body of a chat completion asks for. Untrusted input.
struct ParsedChat {
    bool isGood = false;
    std::string fault; // what is wrong, for the caller
    RequestTraits shape;
};

/// Reads an OpenAI-shaped body. @param chat given by the caller, or empty to derive one from the conversation's head.
ParsedChat parseChat(const std::string &body, const std::string &chat);

/// Reads the hint of an earlier answer, "VM/INCARNATION". @return an empty hint for anything else.
AffinityHint parseHint(const std::string &text);
std::string encodeHint(const AffinityHint &hint);

// Errors

/// Body of an error, OpenAI-shaped, with the field `run`.
std::string errorBody(Reason reason, ExecutionStatus run, const std::string &message);
int statusOf(Reason reason);              ///< @return the HTTP status that goes with a reason
std::string explainReason(Reason reason); ///< @return a sentence for the caller

} // namespace galenafold
