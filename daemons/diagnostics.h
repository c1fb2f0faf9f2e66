// Diagnostic commands of the operator's tool. Each queries running daemons or reads their logs, prints the result and
// returns the exit status.
#pragma once

#include <string>

namespace galenafold
{

constexpr int exitOk = 0;
constexpr int exitFailed = 1;   // the operation failed, a daemon is not ready, or a service cannot be reached
constexpr int exitUsage = 2;    // usage error, or an invalid file
constexpr int exitConflict = 3; // another amendment was applied first

/// Prints the status of every entry VM. @param vmList HOST:PORT of the VM list
int printEntryVmStatus(const std::string &vmList);

/// Prints the status of routers. @param addresses IP:PORT of their admin listeners, separated by commas
/// @param isJson print one JSON object per line
int printRouterStatus(const std::string &addresses, bool isJson);

/// Prints one request's spans from the first entry VM that kept its trace. @param vmList HOST:PORT of the VM list
int explainFromTraces(const std::string &request, const std::string &vmList);

/// Prints one request's events from log lines. @param logs file with the daemons' output; "-" is standard input
/// @param isJson print one JSON object per line
int explainFromLogs(const std::string &request, const std::string &logs, bool isJson);

} // namespace galenafold
