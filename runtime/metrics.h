// Metrics of one daemon, as Prometheus text. Latencies are kept in histograms; the number of series is bounded.
#pragma once

#include "control/latency.h"
#include "control/router.h"

#include <map>
#include <mutex>

namespace galenafold
{

/// Result of one call, as its caller saw it.
struct CallRecord {
    CustomerId customer;
    std::string taskClass;
    Reason reason = Reason::None; // None: the complete response was sent
    ExecutionStatus executionStatus = ExecutionStatus::Yes;
    Duration firstByte{};
    Duration total{};
    Tokens prompt = 0;       // length of the prompt
    Tokens reusedPrompt = 0; // of these, served from the prefix cache
};

/// State of the control thread, which publishes it periodically.
struct ControlStats {
    RouterCounts counts;
    std::size_t callsInProgress = 0;
    std::size_t queuedShort = 0;
    std::size_t queuedLong = 0;
    LogOffset contractsUpTo = 0;                       // offset of the next contract record to apply
    std::int64_t controlBytes = 0;                     // sent to peers since the start
    std::vector<std::pair<std::string, double>> loads; // estimated calls in progress, by endpoint
    std::int64_t refusedRecords = 0; // contract records that were not applied: stale, malformed or of a later release
    std::int64_t refusedPeerMessages = 0; // messages from VMs that were never in the VM list
};

/// Collects the metrics of one daemon. Thread-safe.
class Metrics
{
public:
    /// Counts a call that has ended. Latencies and tokens count only if it succeeded. At the limit of series, calls of
    /// further customers and classes are counted under "other".
    void count(const CallRecord &record);

    void setControlStats(const ControlStats &stats); ///< Replaces the state of the control thread.
    std::string text() const;                        ///< @return Prometheus text exposition

private:
    struct Series {
        std::map<std::string, std::int64_t> ended; // by the labels `reason` and `run`
        LatencyHistogram firstByte;
        LatencyHistogram total;
        double prompt = 0; // tokens
        double reused = 0; // tokens served from the prefix cache
    };

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Series> m_series; // by customer and class
    ControlStats m_control;
};

} // namespace galenafold
