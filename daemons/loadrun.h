// Runs a load plan, open loop: arrivals come when the plan says, whether or not earlier calls have ended.
//
// Sections of this file: Figures, Run.
#pragma once

#include "daemons/loadplan.h"

namespace galenafold
{

// Figures

/// What callers of one class saw.
struct ClassFigures {
    std::string name;
    std::int64_t sent = 0;
    std::int64_t whole = 0;
    std::int64_t refused = 0; // told not run
    std::int64_t failed = 0;  // told run, or broken after the first byte
    std::int64_t unknown = 0;
    double promptTokens = 0;
    double reusedTokens = 0;
    double ideallyReused = 0;      // by a placement that knows every cache; see IdealCache
    std::vector<double> firstByte; // seconds, of whole answers
    std::vector<double> total;
    std::vector<double> late; // seconds that a token came after the pace of its stream
};

struct LoadFigures {
    std::vector<ClassFigures> classes;
    double meanLoad = 0;               // calls in progress at an engine, over the run
    double worstRatio = 0;             // most loaded engine against the mean, at the worst moment
    double worstExcess = 0;            // calls over bound * mean, at the worst moment
    double controlBytesPerSecond = 0;  // of the busiest daemon
    std::int64_t engineStarts = 0;     // attempts that engines ran
    double engineTokens = 0;           // generated
    std::int64_t doubleExecutions = 0; // keyed calls that ran more than once
    std::int64_t untrueRefusals = 0;   // told not run, and ran
    int mostLong = 0;                  // long calls at one engine at once
    std::int64_t logAppends = 0;
    double seconds = 0;
};

/// @return a quantile of values; 0 when there are none
double quantileOf(std::vector<double> values, double fraction);

// Run

LoadFigures runLoad(const LoadPlan &plan);

} // namespace galenafold
