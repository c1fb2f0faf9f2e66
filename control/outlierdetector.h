// Slow endpoints: each compared with its peers for the same class of work, ejected softly, probed, taken back.
//
// An observation is the time to the first byte over the time that the work should have taken. Waiting attempts count
// before they end, so that an endpoint that has stopped answering is noticed. At most a set fraction of a pool is
// ejected.
#pragma once

#include "control/latency.h"
#include "control/loadview.h"

#include <unordered_map>

namespace galenafold
{

class OutlierDetector
{
public:
    OutlierDetector(const SlownessSettings &settings, std::uint64_t seed);

    /// Learns a time to the first byte. @param due what it should have been; zero: the class's median
    void onFirstByte(Instant now, EndpointIndex endpoint, const std::string &classKey, Span time, Span due);

    /// Counts an attempt that still waits, or failed, as at least this slow.
    void onWaiting(Instant now, EndpointIndex endpoint, const std::string &classKey, Span soFar, Span due);

    /// Counts an attempt that a later copy of it overtook.
    void onOvertaken(Instant now, EndpointIndex endpoint);

    /// Counts a connection that could not be made: enough by itself to eject.
    void onConnectFailed(EndpointIndex endpoint);

    /// Sets the weights of a pool's endpoints.
    void updateWeights(Instant now, const Pool &pool, LoadView &view);

    /// @param routers that probe too; each takes its turn. @return an ejected endpoint whose turn to be probed has
    /// come; its next turn is set
    bool takeProbe(Instant now, const Pool &pool, const LoadView &view, std::size_t routers, EndpointIndex &endpoint);

    /// Takes a peer's finding. @param ratio of the endpoint's times to its peers'.
    void onPeerFinding(EndpointIndex endpoint, double ratio);

    /// @return endpoints that this router itself found slow, or probed, lately; never what it only heard
    std::vector<std::pair<EndpointIndex, double>> findings(Instant now) const;

    /// @return the class's time to the first byte at a quantile; zero before enough was seen
    Span expected(const std::string &classKey, double quantile) const;

private:
    struct Health {
        double ratio = 1; // smoothed observations, own and peers'
        int samples = 0;
        double ownRatio = 1; // of own observations only: what peers are told must not come back as an echo
        Instant ownSeen{};
        Instant probeAt{};
        bool isEjected = false;
    };

    void observe(Instant now, EndpointIndex endpoint, double ratio);
    double medianRatio(const Pool &pool) const;

    SlownessSettings m_settings;
    std::uint64_t m_random; // spreads first probes over routers
    std::unordered_map<std::string, LatencyHistogram> m_classes;
    std::unordered_map<std::uint32_t, Health> m_health;
};

} // namespace galenafold
