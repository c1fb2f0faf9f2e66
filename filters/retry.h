// Decides what follows an attempt without a complete, successful response, and limits the retries of a service.
//
// Load pattern: replicas crash, refuse requests and lose responses while callers keep sending; retries must not amplify
// the load. The fleet's retry budget is a ratio of first attempts plus a fixed number (`minRetries`). Each router
// applies the ratio to its own first attempts and uses its share of that number, so the sum over all routers stays
// within the budget. A router that has just started uses no share of it for two windows: its predecessor on the same
// VM may have used one, and the others must have counted the new router for a whole window.
//
// The limit holds in each window, and a retry counts in all windows that end up to a window later. When a crest of
// requests passes, those hold most of the retries and fewer first attempts. So a retry is made only if the windows to
// come have room for it by the first attempts so far. A window's first attempts are those in it, or half a window or a
// whole one before, whichever are most.
//
// Sections of this file: Budget, Decision.
#pragma once

#include "control/routes.h"

#include <deque>
#include <map>

namespace galenafold
{

// Budget

struct RetryBudgetSettings {
    double ratio = 0.2;    // extra attempts per first attempt, in a window
    double minRetries = 0; // extra attempts of the fleet per window, besides the ratio
    Duration window = std::chrono::seconds(10);
};

/// Use of a service's retry budget on this router in the window that ends now.
struct RetryBudgetUse {
    int first = 0;        // first attempts
    int extra = 0;        // extra attempts
    double remaining = 0; // extra attempts that may still be made now
    double minShare = 0;  // part of the limit that does not depend on the first attempts
};

/// Limits extra attempts per service within a sliding window.
class RetryBudget
{
public:
    /// @param startedAt start of the router
    RetryBudget(const RetryBudgetSettings &settings, Instant startedAt);

    void onFirstAttempt(Instant now, const ServiceId &service); ///< A first attempt was sent.
    bool take(Instant now, const ServiceId &service); ///< @return true if an extra attempt may be made; it is counted
    RetryBudgetUse use(Instant now, const ServiceId &service);
    double remaining(Instant now, const ServiceId &service); ///< @return extra attempts that may still be made now

    /// @param routers among which `minRetries` is divided; 0: not known, this router uses no share of it
    void setRouters(int routers) { m_routers = routers; }

private:
    struct Usage {
        std::deque<Instant> first;
        std::deque<Instant> extra;
    };

    void dropExpired(Instant now, Usage &usage) const;
    double minShare(Instant now) const;
    double firstAttempts(const Usage &usage, Instant now, Instant end) const;

    RetryBudgetSettings m_settings;
    Instant m_shareFrom{}; // no share of `minRetries` is used before
    int m_routers = 0;
    std::map<ServiceId, Usage> m_usage;
};

// Decision

/// What is known of a request when one of its attempts has ended.
struct AttemptHistory {
    bool isRetryable = false; // the route lets a request run more than once
    bool isStreaming = false; // part of a stream was relayed to the caller
    bool isResumable = false; // a stream may continue on another replica
    bool mayHaveRun = false;  // any attempt may have run, the last one included
    int possibleRuns = 0;     // number of attempts that may have run
    int sent = 0;             // number of all attempts
    int refusals = 0;         // attempts that full replicas refused
    int maxAttempts = 1;      // limit on `possibleRuns`
};

enum class RetryDecision : std::uint8_t {
    Retry,  // retry on another replica from the start
    Resume, // continue on another replica after the last event that the caller has
    Fail,   // return an error to the caller
};

/// Decides what follows a failed attempt.
/// @param allowExtra asked only where another attempt would be correct
RetryDecision decideRetry(const AttemptHistory &history, const std::function<bool()> &allowExtra);

} // namespace galenafold
