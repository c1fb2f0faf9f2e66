// Tells operators which callers were refused, or lost their connection, for a limit of this process, and how many
// requests were no valid ones: some log lines, counters by limit and by status.
#pragma once

#include "galenafold/eventlog.h"
#include "traffic/callerconnection.h"

#include <map>

namespace galenafold
{

/// Not thread-safe: one for each event loop that has a listener.
class RefusalLog
{
public:
    /// @param listener name in log lines and metrics
    RefusalLog(EventLog &log, const char *listener);

    /// Load pattern: thousands of such callers a second must not fill the log. Only the first of each second have a
    /// line of their own; the first refusal in a later second also writes a line that counts the others.
    void onRefused(Instant now, const CallerRefusal &refusal);

    /// The same for a request that was rejected before it was whole, or whose handling failed.
    void onRejected(Instant now, int status, const char *why);

    std::string metrics() const; ///< @return counters in Prometheus text format

private:
    bool takeLine(Instant now);
    void beginSecond(Instant now);

    EventLog &m_log;
    const char *m_listener;
    std::map<std::string, std::int64_t> m_counts; // by bound
    std::map<int, std::int64_t> m_rejected;       // by status
    Instant m_secondEnds{};
    std::int64_t m_linesInSecond = 0;
    std::int64_t m_leftOut = 0;
};

} // namespace galenafold
