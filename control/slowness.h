// Slow endpoints: each compared with its peers for the same class of work, ejected softly, probed, taken back.
//
// An observation is the time to the first byte over the median of its class. Waiting attempts count before they end,
// so that an endpoint that has stopped answering is noticed. At most a set fraction of a pool is ejected.
#pragma once

#include "control/latency.h"
#include "control/loadview.h"

#include <unordered_map>

namespace galenafold
{

class Slowness
{
public:
    explicit Slowness(const SlownessSettings &settings);

    /// Learns a time to the first byte.
    void onFirstByte(Instant now, EndpointSlot endpoint, const std::string &classKey, Span time);

    /// Counts an attempt that still waits, or failed, as at least this slow.
    void onWaiting(Instant now, EndpointSlot endpoint, const std::string &classKey, Span soFar);

    /// Sets the weights of a pool's endpoints.
    void judge(Instant now, const Pool &pool, LoadView &view);

    /// @return an ejected endpoint whose turn to be probed has come; its next turn is set
    bool takeProbe(Instant now, const Pool &pool, const LoadView &view, EndpointSlot &endpoint);

    /// @return the class's time to the first byte at a quantile; zero before enough was seen
    Span expected(const std::string &classKey, double quantile) const;

private:
    struct Health {
        double ratio = 1; // smoothed observations
        int samples = 0;
        Instant probeAt{};
        bool isEjected = false;
    };

    void observe(EndpointSlot endpoint, double ratio);
    double medianRatio(const Pool &pool) const;

    SlownessSettings m_settings;
    std::unordered_map<std::string, LatencyHistogram> m_classes;
    std::unordered_map<std::uint32_t, Health> m_health;
};

} // namespace galenafold
