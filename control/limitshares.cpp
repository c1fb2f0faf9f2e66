// This router's share of fleet-wide limits, computed from the demand that peers report.
#include "control/limitshares.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double demandTimeConstantSeconds = 1.0; // of the exponential smoothing of demand
constexpr double minCallsPerSecond = 0.05;        // every router is assumed to have at least this demand

std::uint32_t customerHash(const CustomerId &customer)
{
    return static_cast<std::uint32_t>(hashName(customer.text));
}

constexpr double borrowWindowSeconds = 1.0; // time in which peers learn of what was borrowed
constexpr double maxBorrowTokens = 2;       // capacity of the bucket

void BorrowBudget::replenish(Instant now, double free, std::size_t routers, double confidence)
{
    const bool isFirst = m_replenishedAt == Instant{};
    const double elapsed = isFirst ? 0 : std::chrono::duration<double>(now - m_replenishedAt).count();
    const double tokensPerSecond =
        std::max(0.0, free) / (static_cast<double>(std::max<std::size_t>(1, routers)) * borrowWindowSeconds);
    m_tokens = std::min(maxBorrowTokens, m_tokens + confidence * elapsed * tokensPerSecond);
    m_replenishedAt = now;
}

LimitShares::LimitShares(const LimitSettings &settings)
    : m_settings(settings)
{
}

void LimitShares::setRouters(const VmId &self, const std::vector<VmId> &routers)
{
    m_self = self;
    m_routers = routers;
    if (std::find(routers.begin(), routers.end(), self) == routers.end()) {
        m_routers.push_back(self);
    }
}

void LimitShares::onPeerDemand(Instant now, const VmId &peer, const std::vector<CustomerDemand> &demand)
{
    Peer &entry = m_peers[peer];
    entry.lastHeard = now;
    entry.demand.clear();
    for (const CustomerDemand &item : demand) {
        entry.demand[item.customerHash] = item;
    }
}

void LimitShares::onArrival(Instant now, const CustomerId &customer)
{
    (void)now;
    m_customers[customer].arrivals += 1;
}

double LimitShares::targetShare(Instant now, const CustomerId &customer, const CustomerState &own) const
{
    const std::uint32_t hash = customerHash(customer);
    const double ownRate = std::max(own.callsPerSecond, minCallsPerSecond);
    double maxRate = ownRate;
    double sum = ownRate;
    int silentPeers = 0;
    for (const VmId &router : m_routers) {
        if (router == m_self) {
            continue;
        }
        const auto peer = m_peers.find(router);
        if (peer == m_peers.end() || peer->second.lastHeard + m_settings.peerTimeout < now) {
            ++silentPeers;
            continue;
        }
        const auto demand = peer->second.demand.find(hash);
        const double peerRate = demand == peer->second.demand.end() ? minCallsPerSecond : demand->second.callsPerSecond;
        maxRate = std::max(maxRate, peerRate);
        sum += std::max(peerRate, minCallsPerSecond);
    }
    sum += maxRate * silentPeers;
    return (1 - m_settings.floor) * ownRate / sum + m_settings.floor * evenShare();
}

void LimitShares::updateShare(Instant now, CustomerState &own, double newShare) const
{
    if (own.share < 0) {
        own.share = std::min(newShare, evenShare());
    }
    if (newShare <= own.share) {
        own.share = newShare;
        own.pendingShare = 0;
        return;
    }
    if (own.pendingShare <= 0) {
        own.pendingUntil = now + m_settings.shareGrowthDelay;
        own.pendingShare = newShare;
        return;
    }
    own.pendingShare = std::min(own.pendingShare, newShare);
    if (now >= own.pendingUntil) {
        own.share = own.pendingShare;
        own.pendingShare = 0;
    }
}

void LimitShares::onTick(Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastTick).count();
    m_lastTick = now;
    if (elapsed <= 0) {
        return;
    }
    const double decay = std::exp(-elapsed / demandTimeConstantSeconds);
    for (auto &[customer, own] : m_customers) {
        own.callsPerSecond = own.callsPerSecond * decay + own.arrivals / elapsed * (1 - decay);
        own.arrivals = 0;
        if (m_settings.policy == Policy::Naive) {
            own.share = evenShare();
            continue;
        }
        updateShare(now, own, targetShare(now, customer, own));
    }
}

double LimitShares::share(const CustomerId &customer) const
{
    const auto own = m_customers.find(customer);
    return own == m_customers.end() || own->second.share < 0 ? evenShare() : own->second.share;
}

double LimitShares::othersInProgress(Instant now, const CustomerId &customer) const
{
    const std::uint32_t hash = customerHash(customer);
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        const auto demand = peer.demand.find(hash);
        if (demand != peer.demand.end() && peer.lastHeard + m_settings.peerTimeout >= now) {
            sum += demand->second.inProgress;
        }
    }
    return sum;
}

bool LimitShares::isViewComplete(Instant now) const
{
    return std::all_of(m_routers.begin(), m_routers.end(), [&](const VmId &router) {
        const auto peer = m_peers.find(router);
        return router == m_self || (peer != m_peers.end() && peer->second.lastHeard + m_settings.peerTimeout >= now);
    });
}

double LimitShares::ownCallsPerSecond(const CustomerId &customer) const
{
    const auto own = m_customers.find(customer);
    return own == m_customers.end() ? 0 : own->second.callsPerSecond;
}

std::vector<CustomerDemand> LimitShares::ownDemand(std::size_t maxItems,
                                                   const std::function<int(const CustomerId &)> &inProgress) const
{
    std::vector<CustomerDemand> result;
    for (const auto &[customer, own] : m_customers) {
        if (own.callsPerSecond >= minCallsPerSecond) {
            const int calls = inProgress ? inProgress(customer) : 0;
            const auto clampedCalls = static_cast<std::uint16_t>(std::clamp(calls, 0, 65535));
            result.push_back({customerHash(customer), static_cast<float>(own.callsPerSecond), clampedCalls});
        }
    }
    const auto isLarger = [](const CustomerDemand &a, const CustomerDemand &b) {
        return a.callsPerSecond > b.callsPerSecond;
    };
    std::sort(result.begin(), result.end(), isLarger);
    if (result.size() > maxItems) {
        result.resize(maxItems);
    }
    return result;
}

} // namespace galenafold
