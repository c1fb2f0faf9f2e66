// Runs a load plan with open-loop load: calls are sent at their planned times, even if earlier calls have not ended.
//
// Sections of this file: Statistics, Run.
#pragma once

#include "daemons/loadplan.h"

namespace galenafold
{

// Statistics

/// Results of the calls of one class, as the callers see them.
struct ClassStats {
    std::string name;
    std::int64_t sent = 0;
    std::int64_t completed = 0;
    std::int64_t refused = 0;             // the response says that the call was not executed
    std::int64_t failed = 0;              // all others: reported as executed, broken off, or without a response
    std::int64_t unknown = 0;             // the response says that the call may have been executed
    double promptTokens = 0;              // of completed calls that belong to a chat
    double reusedTokens = 0;              // the part of promptTokens that engines had cached
    double idealReusedTokens = 0;         // the same for an ideal placement; see IdealPrefixCache
    std::vector<double> firstByteSeconds; // time to first byte of completed calls
    std::vector<double> totalSeconds;     // duration of completed calls
    std::vector<double> tokenDelays;      // s, gaps between chunks beyond the engine's time per token
};

/// Results of a run. The values below `classes`, except `seconds`, stay 0 when the plan names a running fleet.
struct LoadStats {
    std::vector<ClassStats> classes;
    double meanLoad = 0;      // calls in progress per engine, averaged over the run
    double maxLoadRatio = 0;  // largest load of an engine relative to the mean, at moments with a mean of 1 or more
    double maxLoadExcess = 0; // most calls that an engine had above load bound * mean
    double controlBytesPerSecond = 0;     // of the daemon that sent most
    std::int64_t engineAttempts = 0;      // attempts that got a slot at an engine
    double engineTokens = 0;              // generated
    std::int64_t duplicateExecutions = 0; // requests and idempotency keys that were executed more than once
    std::int64_t falseRefusals = 0;       // refused as not executed, but executed
    int maxLongInFlight = 0;              // largest number of concurrent long calls at one engine
    std::int64_t logAppends = 0;          // records appended to the log
    double seconds = 0;                   // duration of the run without the warm-up
};

/// @param fraction 0 to 1 @return that quantile of the values by nearest rank; 0 if there are none
double quantileOf(std::vector<double> values, double fraction);

// Run

/// Starts the fleet unless the plan names a running one, runs the plan, and waits until all calls have ended.
/// Events and the sampling of engine loads need a fleet in this process.
LoadStats runLoad(const LoadPlan &plan);

} // namespace galenafold
