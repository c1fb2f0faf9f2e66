// Distributed rate and concurrency limits without a shared counter: each router enforces a share of a customer's limit
// that follows its share of the demand.
//
// A share shrinks at once and grows only after a delay, in which peers learn of the changed demand. A silent peer is
// assumed to have as much demand as the busiest router known, so a router that hears no peer falls to limit / N, N
// being the number of live routers, and never takes the whole limit.
#pragma once

#include "galenafold/galenafold.h"

#include <unordered_map>

namespace galenafold
{

/// Demand of one customer at one router, as gossip carries it.
struct CustomerDemand {
    std::uint32_t customerHash = 0;
    float callsPerSecond = 0;     // arrivals, smoothed
    std::uint16_t inProgress = 0; // calls admitted and not ended
};

/// Token bucket for borrowing beyond this router's share of a scarce resource. It refills so slowly that all routers
/// together borrow no more than is free before they hear of each other's use.
class BorrowBudget
{
public:
    /// Adds tokens for the time since the last call.
    /// @param free units of the whole resource that are free, as far as known
    /// @param routers routers that may borrow at the same time
    /// @param confidence factor on the refill rate; 1 if every live peer is heard, less otherwise
    void replenish(Instant now, double free, std::size_t routers, double confidence);
    bool hasToken() const { return m_tokens >= 1; }
    void take() { m_tokens -= 1; }

private:
    double m_tokens = 0;
    Instant m_replenishedAt{};
};

/// This router's share of each customer's limits.
class LimitShares
{
public:
    explicit LimitShares(const LimitSettings &settings);

    /// Sets the live routers. `self` is added if `routers` does not hold it.
    void setRouters(const VmId &self, const std::vector<VmId> &routers);

    /// Replaces what is known of a peer's demand.
    void onPeerDemand(Instant now, const VmId &peer, const std::vector<CustomerDemand> &demand);

    /// Counts an arrival at this router.
    void onArrival(Instant now, const CustomerId &customer);

    /// Updates the smoothed demand and all shares; called periodically.
    void onTick(Instant now);

    /// @return this router's fraction of the customer's limits, 0 to 1
    double share(const CustomerId &customer) const;

    /// @return calls of the customer in progress at peers that are not silent
    double othersInProgress(Instant now, const CustomerId &customer) const;

    /// @return true if no live peer is silent
    bool isViewComplete(Instant now) const;

    /// @return smoothed arrivals of the customer at this router, in calls a second
    double ownCallsPerSecond(const CustomerId &customer) const;

    /// @param inProgress returns a customer's calls in progress; may be empty
    /// @return demand at this router, highest rate first, at most `maxItems`
    std::vector<CustomerDemand> ownDemand(std::size_t maxItems,
                                          const std::function<int(const CustomerId &)> &inProgress = nullptr) const;

    /// @return live routers, this one included
    std::size_t routerCount() const { return m_routers.size(); }

private:
    struct CustomerState {
        double callsPerSecond = 0;
        double arrivals = 0;     // since the last tick
        double share = -1;       // in force; negative: not yet computed
        double pendingShare = 0; // larger share that takes effect at `pendingUntil`; 0: none
        Instant pendingUntil{};
    };
    struct Peer {
        Instant lastHeard{};
        std::unordered_map<std::uint32_t, CustomerDemand> demand;
    };

    double targetShare(Instant now, const CustomerId &customer, const CustomerState &own) const;
    void updateShare(Instant now, CustomerState &own, double newShare) const;
    double evenShare() const { return m_routers.empty() ? 1.0 : 1.0 / static_cast<double>(m_routers.size()); }

    LimitSettings m_settings;
    VmId m_self;
    std::vector<VmId> m_routers;
    std::unordered_map<CustomerId, CustomerState> m_customers;
    std::unordered_map<VmId, Peer> m_peers;
    Instant m_lastTick{};
};

/// @return hash that identifies a customer in gossip
std::uint32_t customerHash(const CustomerId &customer);

} // namespace galenafold
