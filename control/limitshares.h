// Fleet-wide limits without a shared counter: each router's part of a customer's limit follows its part of the demand.
//
// A part grows only after peers could have heard why, and shrinks at once. A silent peer counts as one with as much
// demand as the busiest known, so that a router that hears nobody falls to limit / N and never takes the whole.
#pragma once

#include "galenafold/galenafold.h"

#include <unordered_map>

namespace galenafold
{

/// What one router tells of one customer.
struct CustomerDemand {
    std::uint32_t customerHash = 0;
    float callsPerSecond = 0;     // that arrived, smoothed
    std::uint16_t inProgress = 0; // calls admitted and not ended
};

/// Lets routers go beyond their parts of something scarce, so slowly that all together take no more than what is free
/// before they hear of each other.
class BorrowBudget
{
public:
    /// @param free of the whole, as far as known. @param caution 1: the view is complete; less: slower
    void replenish(Instant now, double free, std::size_t routers, double caution);
    bool has() const { return m_tokens >= 1; }
    void take() { m_tokens -= 1; }

private:
    double m_tokens = 0;
    Instant m_earned{};
};

class LimitShares
{
public:
    explicit LimitShares(const LimitSettings &settings);

    /// Names the live routers; this one included.
    void setRouters(const VmId &self, const std::vector<VmId> &routers);

    /// Takes what a peer says of its demand.
    void onPeerDemand(Instant now, const VmId &peer, const std::vector<CustomerDemand> &demand);

    /// Counts an arrival at this router.
    void onArrival(Instant now, const CustomerId &customer);

    /// Works out the parts again; called every round.
    void onTick(Instant now);

    /// @return this router's part of the customer's limits, 0 to 1
    double share(const CustomerId &customer) const;

    /// @return calls of the customer in progress at peers heard lately
    double othersInProgress(Instant now, const CustomerId &customer) const;

    /// @return true when every live peer was heard lately
    bool isViewComplete(Instant now) const;

    /// @return smoothed calls a second that arrive at this router
    double ownCallsPerSecond(const CustomerId &customer) const;

    /// @param inProgress tells a customer's calls in progress; may be empty. @return own demand, largest first
    std::vector<CustomerDemand> ownDemand(std::size_t most,
                                          const std::function<int(const CustomerId &)> &inProgress = nullptr) const;

    std::size_t routerCount() const { return m_routers.size(); }

private:
    struct Own {
        double callsPerSecond = 0;
        double arrivals = 0; // since the last tick
        double share = -1;   // in force; below 0: not yet worked out
        double pending = 0;  // a larger share that waits
        Instant raiseAt{};
    };
    struct Peer {
        Instant heard{};
        std::unordered_map<std::uint32_t, CustomerDemand> demand;
    };

    double target(Instant now, const CustomerId &customer, const Own &own) const;
    void settle(Instant now, Own &own, double wanted) const;
    double evenShare() const { return m_routers.empty() ? 1.0 : 1.0 / static_cast<double>(m_routers.size()); }

    LimitSettings m_settings;
    VmId m_self;
    std::vector<VmId> m_routers;
    std::unordered_map<CustomerId, Own> m_own;
    std::unordered_map<VmId, Peer> m_peers;
    Instant m_lastTick{};
};

/// Name of a customer as gossip carries it.
std::uint32_t customerHash(const CustomerId &customer);

} // namespace galenafold
