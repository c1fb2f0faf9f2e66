// The operator's tool: questions to running daemons and to their logs. Each prints its answer and returns the exit
// status.
#pragma once

#include <string>

namespace galenafold
{

constexpr int statusOk = 0;
constexpr int statusFailed = 1;   // not in force, not ready, or not reachable
constexpr int statusUsage = 2;    // usage, or a contract with faults
constexpr int statusLostRace = 3; // another amendment came first

/// @param vmList HOST:PORT of the list of VMs
int statusOfEntryVms(const std::string &vmList);

/// @param addresses IP:PORT of routers' admin listeners, with commas between @param isJson one object a line
int statusOfRouters(const std::string &addresses, bool isJson);

/// Prints one request's path from the trace that a VM kept. @param vmList HOST:PORT of the list of VMs
int explainFromTraces(const std::string &request, const std::string &vmList);

/// Tells one request's story. @param logs file of daemons' output; "-" is standard input @param isJson one object a
/// line
int explainFromLogs(const std::string &request, const std::string &logs, bool isJson);

} // namespace galenafold
