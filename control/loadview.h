// Load of every endpoint as this router can best know it.
//
// Sections of this file: Endpoint, Pool, View.
//
// Estimate = own calls in progress + what others have there. Others are known from peers' own counts when every live
// peer was heard lately (small fleets), else from the endpoint's report less what was ours when it was measured.
#pragma once

#include "galenafold/galenafold.h"

#include <deque>
#include <unordered_map>

namespace galenafold
{

// Endpoint

enum class EndpointIndex : std::uint32_t {}; // index into the view, for one life of an endpoint

/// Calls in progress, all lanes and the long lane alone.
struct InFlight {
    double total = 0;
    double longLane = 0;
};

/// One routable endpoint and what is known of its load.
struct EndpointLoad {
    VmRecord vm;
    std::uint64_t hash = 0; // of its name, for rendezvous
    InFlight own;           // sent by this router and not ended
    InFlight others;        // by peers, estimated
    LoadReport report;
    bool hasReport = false;
    double weight = 1;                                   // lowered while it is slow
    bool isRoutable = true;                              // false: no new work, kept until own calls end
    std::deque<std::pair<Instant, InFlight>> ownHistory; // own counts after each change, oldest first

    double total() const { return own.total + others.total; }
    double longLane() const { return own.longLane + others.longLane; }
    int slots() const; ///< @return reported slots, or an assumption before the first report
};

// Pool

/// Endpoints that serve one model or service.
struct Pool {
    std::vector<EndpointIndex> members; // routable ones only
    double ownSum = 0;
    double othersSum = 0;
    double ownLongSum = 0;
    double othersLongSum = 0;
    double slotSum = 0; // of all members

    double meanLoadWith(double extra) const; ///< @return mean load over the pool with `extra` more calls
    double ownMeanLoadWith(double extra) const;
};

// View

class LoadView
{
public:
    explicit LoadView(const PlacementSettings &settings);

    /// Sets which endpoints may get new work.
    void setRoutable(const std::vector<VmRecord> &records);

    void onSent(Instant now, EndpointIndex slot, Lane lane);
    void onEnded(Instant now, EndpointIndex slot, Lane lane);

    /// Takes a report unless a newer one is known. @return true when it was taken.
    bool onReport(Instant now, const LoadReport &report);

    /// Sets what peers have in progress, when all live peers are known; it goes before reports.
    void setOthers(EndpointIndex slot, const InFlight &others);
    void setPeersComplete(bool isComplete) { m_peersComplete = isComplete; }
    bool peersComplete() const { return m_peersComplete; }

    /// Forgets reports that are too old.
    void expire(Instant now);

    const Pool *pool(const PoolId &id) const;
    EndpointLoad &at(EndpointIndex slot) { return m_endpoints[static_cast<std::uint32_t>(slot)]; }
    const EndpointLoad &at(EndpointIndex slot) const { return m_endpoints[static_cast<std::uint32_t>(slot)]; }
    std::size_t size() const { return m_endpoints.size(); }
    bool find(const VmId &id, EndpointIndex &slot) const; ///< @return true and the slot of the endpoint's latest life

private:
    void addToPools(const EndpointLoad &endpoint, const InFlight &own, const InFlight &others);
    void changeOwn(Instant now, EndpointIndex slot, Lane lane, double change);
    void rebuildPools();

    PlacementSettings m_settings;
    std::vector<EndpointLoad> m_endpoints;
    std::unordered_map<VmId, EndpointIndex> m_latest;
    std::unordered_map<PoolId, Pool> m_pools;
    bool m_peersComplete = false;
};

/// Hash of a name, the same on every router.
std::uint64_t hashName(const std::string &text);

/// Rendezvous score of a key on a node; the highest wins. The same on every router.
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t nodeHash);

} // namespace galenafold
