// Estimated load of every endpoint, as one router sees it.
//
// Sections of this file: Endpoint, Pool, View.
//
// Estimate = own calls in progress + those of other routers. When every live peer has been heard recently (small
// fleets), the others' part is the sum of the counts in their beacons. Otherwise it is the endpoint's load report minus
// the calls that this router had there at the time of measurement.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <unordered_map>

namespace galenafold
{

// Endpoint

enum class EndpointIndex : std::uint32_t {}; // index into LoadView; each incarnation of an endpoint has its own

/// Calls in progress.
struct InFlight {
    double total = 0;    // all lanes
    double longLane = 0; // of these, in the long lane
};

/// One incarnation of an endpoint and its estimated load.
struct EndpointLoad {
    VmRecord vm;
    std::uint64_t hash = 0; // of its name, for rendezvous hashing
    InFlight own;           // calls of this router in progress there
    InFlight others;        // calls of other routers in progress there, estimated
    LoadReport report;
    bool hasReport = false;
    double weight = 1;      // below 1 while the endpoint is ejected as slow
    bool isRoutable = true; // false: gets no new work; kept for own calls still in progress
    std::deque<std::pair<Instant, InFlight>> ownHistory; // value of `own` after each change, oldest first

    double total() const { return own.total + others.total; }
    double longLane() const { return own.longLane + others.longLane; }
    int slots() const; ///< @return reported slots; a default before the first report
};

// Pool

/// Endpoints that serve one model or service, with running sums of their loads.
struct Pool {
    std::vector<EndpointIndex> members; // routable ones only
    double ownSum = 0;
    double othersSum = 0;
    double ownLongSum = 0;
    double othersLongSum = 0;
    double slotSum = 0; // capacity of all members

    double meanLoadWith(double extra) const;    ///< @return mean calls per member, with `extra` calls added
    double ownMeanLoadWith(double extra) const; ///< The same over calls of this router alone.
};

// View

/// Loads of all endpoints, and pool sums that are kept incrementally.
class LoadView
{
public:
    explicit LoadView(const PlacementSettings &settings);

    /// Sets the endpoints that may get new work.
    void setRoutable(const std::vector<VmRecord> &records);

    void onSent(Instant now, EndpointIndex index, Lane lane);
    void onEnded(Instant now, EndpointIndex index, Lane lane);

    /// Applies a load report unless it has expired, is not newer than the last one or is from another incarnation.
    /// @return true if it was applied
    bool onReport(Instant now, const LoadReport &report);

    /// Sets the calls that other routers have in progress at an endpoint. While the peers' counts are complete, load
    /// reports do not change them.
    void setOthers(EndpointIndex index, const InFlight &others);

    /// Sets whether every live peer has been heard recently.
    void setPeersComplete(bool isComplete) { m_peersComplete = isComplete; }
    bool peersComplete() const { return m_peersComplete; }

    /// Resets the others' part of an estimate whose load report has expired, unless peers' counts are complete.
    void expire(Instant now);

    const Pool *pool(const PoolId &id) const; ///< @return nullptr if no routable endpoint serves it
    EndpointLoad &at(EndpointIndex index) { return m_endpoints[static_cast<std::uint32_t>(index)]; }
    const EndpointLoad &at(EndpointIndex index) const { return m_endpoints[static_cast<std::uint32_t>(index)]; }
    std::size_t size() const { return m_endpoints.size(); }
    bool find(const VmId &id, EndpointIndex &index) const; ///< @return true, and the index of the latest incarnation

private:
    void addToPools(const EndpointLoad &endpoint, const InFlight &own, const InFlight &others);
    void adjustOwn(Instant now, EndpointIndex index, Lane lane, double change);
    void rebuildPools();

    PlacementSettings m_settings;
    std::vector<EndpointLoad> m_endpoints;
    std::unordered_map<VmId, EndpointIndex> m_latest;
    std::unordered_map<PoolId, Pool> m_pools;
    bool m_peersComplete = false;
};

/// @return hash of a name, the same on every router
std::uint64_t hashName(const std::string &text);

/// @return rendezvous score of a key on a node, the same on every router; the node with the highest score owns the key
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t nodeHash);

} // namespace galenafold
