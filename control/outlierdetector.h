// Outlier detection: compares each endpoint with the others of its pool for the same class of work, ejects slow ones,
// probes and reinstates them.
//
// Ejection is soft: it lowers the endpoint's weight. An observation is the time to first byte divided by the time
// expected for that work. Attempts that are still waiting are counted before they end, so that an endpoint that has
// stopped answering is detected. At most a configured fraction of a pool is ejected.
#pragma once

#include "control/latency.h"
#include "control/loadview.h"

#include <unordered_map>

namespace galenafold
{

/// Ratio of observed to expected times to first byte of each endpoint, and the ejections that follow from it.
class OutlierDetector
{
public:
    /// @param seed offset of this router in staggering its probes
    OutlierDetector(const OutlierDetectionSettings &settings, std::uint64_t seed);

    /// Records a time to first byte.
    /// @param expectedTime expected for this work; zero: the median of the class is used
    void onFirstByte(Instant now, EndpointIndex endpoint, const std::string &classKey, Duration time,
                     Duration expectedTime);

    /// Records an attempt that is still waiting, or has failed, as at least this slow. Ignored below the ejection
    /// ratio.
    /// @param soFar time since the attempt was sent
    void onWaiting(Instant now, EndpointIndex endpoint, const std::string &classKey, Duration soFar,
                   Duration expectedTime);

    /// Records an attempt that was overtaken by one sent later.
    void onOvertaken(Instant now, EndpointIndex endpoint);

    /// Records a failed connection, which is enough by itself to eject the endpoint.
    void onConnectFailed(EndpointIndex endpoint);

    /// Ejects or reinstates the endpoints of a pool, by setting their weights in the view.
    void updateWeights(Instant now, const Pool &pool, LoadView &view);

    /// Finds an ejected endpoint that is due for a probe, and schedules its next one.
    /// @param routers number of routers in the fleet, which share the probes
    /// @param endpoint set to the endpoint found
    /// @return false if no probe is due
    bool takeProbe(Instant now, const Pool &pool, const LoadView &view, std::size_t routers, EndpointIndex &endpoint);

    /// Applies a peer's finding. @param ratio of the endpoint's times to those expected
    void onPeerFinding(EndpointIndex endpoint, double ratio);

    /// @return endpoints that this router itself recently observed as slow or has probed, with their ratios; findings
    /// of peers are not included
    std::vector<std::pair<EndpointIndex, double>> findings(Instant now) const;

    /// @return time to first byte of a class at a quantile; zero until the class has enough samples
    Duration expected(const std::string &classKey, double quantile) const;

private:
    struct Health {
        double ratio = 1; // smoothed, own observations and findings of peers
        int samples = 0;
        double ownRatio = 1; // own observations only; sent to peers, so that findings are not echoed back
        Instant lastObserved{};
        Instant nextProbe{};
        bool isEjected = false;
    };

    void observe(Instant now, EndpointIndex endpoint, double ratio);
    double medianRatio(const Pool &pool) const;

    OutlierDetectionSettings m_settings;
    std::uint64_t m_probeStagger; // counter, seeded per router, that spreads the first probes over time
    std::unordered_map<std::string, LatencyHistogram> m_latencyByClass;
    std::unordered_map<std::uint32_t, Health> m_health;
};

} // namespace galenafold
