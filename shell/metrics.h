// Figures of one daemon, as Prometheus text. Times are kept by Boost.Histogram; series are bounded in number.
#pragma once

#include "control/latency.h"
#include "control/router.h"

#include <map>
#include <mutex>

namespace galenafold
{

/// How one call ended, as its caller saw it.
struct CallRecord {
    CustomerId customer;
    std::string taskClass;
    Reason reason = Reason::None; // None: answered whole
    ExecutionStatus run = ExecutionStatus::Yes;
    Duration firstByte{};
    Duration total{};
    Tokens prompt = 0;
    Tokens reusedPrompt = 0;
};

/// What the control thread tells every second.
struct ControlFigures {
    RouterCounts counts;
    std::size_t callsInProgress = 0;
    std::size_t queuedShort = 0;
    std::size_t queuedLong = 0;
    LogOffset contractsUpTo = 0;
    std::int64_t controlBytes = 0;
    std::vector<std::pair<std::string, double>> loads; // by endpoint: estimated calls in progress
    std::int64_t recordsRefused = 0;                   // contract records that were not accepted
    std::int64_t peersRefused = 0;                     // messages from peers that the list never named
};

class Metrics
{
public:
    void count(const CallRecord &record);
    void set(const ControlFigures &figures);
    std::string text() const; ///< @return Prometheus text exposition

private:
    struct Series {
        std::map<std::string, std::int64_t> ended; // by reason and run
        LatencyHistogram firstByte;
        LatencyHistogram total;
        double prompt = 0;
        double reused = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Series> m_series; // by customer and class
    ControlFigures m_control;
};

} // namespace galenafold
