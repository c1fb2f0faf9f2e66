// Each router's part of fleet-wide limits.
#include "control/limitshares.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double demandMemorySeconds = 1.0; // time constant of the smoothed demand
constexpr double leastDemand = 0.05;        // calls a second that every router is taken to have

std::uint32_t customerHash(const CustomerId &customer)
{
    return static_cast<std::uint32_t>(hashName(customer.text));
}

constexpr double borrowWindowSeconds = 1.0; // in which peers learn of what was borrowed
constexpr double mostBorrow = 2;

void BorrowBudget::replenish(Instant now, double free, std::size_t routers, double caution)
{
    const bool isFirst = m_earned == Instant{};
    const double elapsed = isFirst ? 0 : std::chrono::duration<double>(now - m_earned).count();
    const double pace =
        std::max(0.0, free) / (static_cast<double>(std::max<std::size_t>(1, routers)) * borrowWindowSeconds);
    m_tokens = std::min(mostBorrow, m_tokens + caution * elapsed * pace);
    m_earned = now;
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
    entry.heard = now;
    entry.demand.clear();
    for (const CustomerDemand &item : demand) {
        entry.demand[item.customerHash] = item;
    }
}

void LimitShares::onArrival(Instant now, const CustomerId &customer)
{
    (void)now;
    m_own[customer].arrivals += 1;
}

double LimitShares::target(Instant now, const CustomerId &customer, const Own &own) const
{
    const std::uint32_t hash = customerHash(customer);
    const double mine = std::max(own.callsPerSecond, leastDemand);
    double busiest = mine;
    double sum = mine;
    int silent = 0;
    for (const VmId &router : m_routers) {
        if (router == m_self) {
            continue;
        }
        const auto peer = m_peers.find(router);
        if (peer == m_peers.end() || peer->second.heard + m_settings.silentAfter < now) {
            ++silent;
            continue;
        }
        const auto demand = peer->second.demand.find(hash);
        const double theirs = demand == peer->second.demand.end() ? leastDemand : demand->second.callsPerSecond;
        busiest = std::max(busiest, theirs);
        sum += std::max(theirs, leastDemand);
    }
    sum += busiest * silent;
    return (1 - m_settings.floor) * mine / sum + m_settings.floor * evenShare();
}

void LimitShares::settle(Instant now, Own &own, double wanted) const
{
    if (own.share < 0) {
        own.share = std::min(wanted, evenShare());
    }
    if (wanted <= own.share) {
        own.share = wanted;
        own.pending = 0;
        return;
    }
    if (own.pending <= 0) {
        own.raiseAt = now + m_settings.riseAfter;
        own.pending = wanted;
        return;
    }
    own.pending = std::min(own.pending, wanted);
    if (now >= own.raiseAt) {
        own.share = own.pending;
        own.pending = 0;
    }
}

void LimitShares::onTick(Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastTick).count();
    m_lastTick = now;
    if (elapsed <= 0) {
        return;
    }
    const double keep = std::exp(-elapsed / demandMemorySeconds);
    for (auto &[customer, own] : m_own) {
        own.callsPerSecond = own.callsPerSecond * keep + own.arrivals / elapsed * (1 - keep);
        own.arrivals = 0;
        if (m_settings.policy == Policy::Naive) {
            own.share = evenShare();
            continue;
        }
        settle(now, own, target(now, customer, own));
    }
}

double LimitShares::share(const CustomerId &customer) const
{
    const auto own = m_own.find(customer);
    return own == m_own.end() || own->second.share < 0 ? evenShare() : own->second.share;
}

double LimitShares::othersInProgress(Instant now, const CustomerId &customer) const
{
    const std::uint32_t hash = customerHash(customer);
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        const auto demand = peer.demand.find(hash);
        if (demand != peer.demand.end() && peer.heard + m_settings.silentAfter >= now) {
            sum += demand->second.inProgress;
        }
    }
    return sum;
}

bool LimitShares::isViewComplete(Instant now) const
{
    return std::all_of(m_routers.begin(), m_routers.end(), [&](const VmId &router) {
        const auto peer = m_peers.find(router);
        return router == m_self || (peer != m_peers.end() && peer->second.heard + m_settings.silentAfter >= now);
    });
}

double LimitShares::ownCallsPerSecond(const CustomerId &customer) const
{
    const auto own = m_own.find(customer);
    return own == m_own.end() ? 0 : own->second.callsPerSecond;
}

std::vector<CustomerDemand> LimitShares::ownDemand(std::size_t most,
                                                   const std::function<int(const CustomerId &)> &inProgress) const
{
    std::vector<CustomerDemand> result;
    for (const auto &[customer, own] : m_own) {
        if (own.callsPerSecond >= leastDemand) {
            const int calls = inProgress ? inProgress(customer) : 0;
            const auto told = static_cast<std::uint16_t>(std::clamp(calls, 0, 65535));
            result.push_back({customerHash(customer), static_cast<float>(own.callsPerSecond), told});
        }
    }
    const auto isLarger = [](const CustomerDemand &a, const CustomerDemand &b) {
        return a.callsPerSecond > b.callsPerSecond;
    };
    std::sort(result.begin(), result.end(), isLarger);
    if (result.size() > most) {
        result.resize(most);
    }
    return result;
}

} // namespace galenafold
