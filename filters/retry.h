// What may follow an attempt that did not end in a whole good answer, and how many extra attempts a service may get.
//
// Load pattern: replicas crash, refuse and lose answers while callers press; retries must not become the load. The
// fleet's budget is a ratio of first attempts plus a floor: a router may use that ratio of its own and its part of the
// floor, so the sum over all routers keeps within the budget whatever each of them sees.
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
    double ratio = 0.2; // extra attempts per first attempt, in a window
    double floor = 0;   // extra attempts of the whole fleet in a window, besides
    Duration window = std::chrono::seconds(10);
    int routers = 64; // among which the floor is divided
};

class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    void onFirstAttempt(Instant now, const ServiceId &service);
    bool take(Instant now, const ServiceId &service); ///< @return true if an extra attempt may be made; it is counted
    double remaining(Instant now, const ServiceId &service); ///< @return extra attempts that may still be made now
    void setRouters(int routers) { m_settings.routers = routers; }

private:
    struct Usage {
        std::deque<Instant> first;
        std::deque<Instant> extra;
    };

    void forgetOld(Instant now, Usage &usage) const;

    RetryBudgetSettings m_settings;
    std::map<ServiceId, Usage> m_usage;
};

// Decision

/// What is known of a request when one of its attempts has ended.
struct AttemptHistory {
    bool isRetryable = false; // the route lets a request run more than once
    bool isStreaming = false; // part of a stream went to the caller
    bool isResumable = false; // a stream may go on elsewhere
    bool mayHaveRun = false;  // by any attempt, the last one included
    int possibleRuns = 0;     // attempts that may have run
    int sent = 0;             // attempts in all
    int maxAttempts = 1;      // that may run
};

enum class RetryDecision : std::uint8_t {
    Retry,  // another replica, from the start
    Resume, // another replica, from the last event that the caller has
    Fail,   // tell the caller
};

/// @param allowExtra asked only where another attempt would be right
RetryDecision decideRetry(const AttemptHistory &attempts, const std::function<bool()> &allowExtra);

} // namespace galenafold
