// Tells what happened to one request, from the daemons' log lines: each line as a sentence, in order of time.
#pragma once

#include "galenafold/galenafold.h"

#include <iosfwd>

namespace galenafold
{

/// One line of a request's story.
struct StoryLine {
    UnixMillis time{};
    std::string
        daemon; // what stands before the JSON on the line: the log collector's name for the process; may be empty
    std::string event;
    std::string sentence;
};

/// Picks a request's lines out of logs. Lines that are no log lines of ours are passed over.
/// @param logs any number of daemons' output, in any order @return in order of time; empty: the logs do not name it
std::vector<StoryLine> storyOf(const RequestId &request, std::istream &logs);

} // namespace galenafold
