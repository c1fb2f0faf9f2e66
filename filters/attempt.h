// Sixth filter: one try to have a call executed, what is known of it, and what may follow.
//
// Sections of this file: State, Budget, Decision.
//
// What a caller is told derives from these states alone. "Not run" is said only when no attempt of the call can have
// reached an endpoint, or the endpoint itself said that it did not run it.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

// State

enum class AttemptState : std::uint8_t {
    NotSent,   // no byte can have reached the endpoint
    MaybeSent, // some bytes may have; no answer
    Head,      // the endpoint answered; nothing relayed yet
    Streaming, // part of the answer went to the caller
    Complete,  // the whole answer is here
};

/// How one attempt ended.
struct AttemptReport {
    CallKey call{};
    int attempt = 0; // 1 for the first
    AttemptState state = AttemptState::NotSent;
    bool reportsNotRun = false;  // the endpoint itself refused before running
    bool reportsLeaving = false; // the endpoint itself is leaving
    bool isCancelled = false;    // by this router or by its caller
    Tokens relayed = 0;          // tokens that the caller has, over all attempts
    Tokens generated = 0;        // by this attempt, for learning lengths
};

/// @return whether an endpoint may have executed the attempt
ExecutionStatus executionOf(const AttemptReport &report);

// Budget

/// Allows extra attempts as a fraction of first ones. A fraction of a router's own first attempts is safe for the whole
/// fleet: the sum over routers is the same fraction of all.
class AttemptTokenBucket
{
public:
    AttemptTokenBucket(double fraction, double burst);
    void onFirstAttempt();
    bool take(); ///< @return true if an extra attempt may be made; it is then counted

private:
    double m_fraction;
    double m_burst;
    double m_tokens;
};

// Decision

enum class NextStep : std::uint8_t {
    Finish, // the caller has its whole answer, or hung up
    Retry,  // another endpoint, from the start
    Resume, // another endpoint, from the relayed offset
    Fail,   // tell the caller; `Run` says what is known
};

/// What may follow an attempt. Asks `allowExtra` only where another attempt would be right.
NextStep afterAttempt(const Call &call, const AttemptReport &report, const std::function<bool()> &allowExtra);

} // namespace galenafold
