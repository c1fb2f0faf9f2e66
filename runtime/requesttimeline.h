// Builds the timeline of one request from the daemons' log lines, with a description in words of each line.
#pragma once

#include "galenafold/galenafold.h"

#include <iosfwd>

namespace galenafold
{

/// One event of a request.
struct TimelineEntry {
    UnixMillis time{};
    std::string daemon; // the log collector's name for the process, which precedes the JSON on the line; may be empty
    std::string event;
    std::string description; // the event in words
};

/// Collects the log lines of a request. Lines that are not log lines of a daemon are ignored.
/// @param logs output of any number of daemons, in any order
/// @return the events in order of time; empty if the logs do not contain the request
std::vector<TimelineEntry> requestTimeline(const RequestId &request, std::istream &logs);

} // namespace galenafold
