// Token bucket for the rate and counter for the concurrency, each limited to this router's share.
#include "filters/limiter.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double minBurst = 1.0;              // calls; a bucket must have room for at least one
constexpr double randomBurstSeconds = 2.0;    // of this router's own arrival rate, to admit random bursts
constexpr double maxRandomBurst = 8.0;        // calls
constexpr double unborrowableFraction = 0.1;  // of a concurrency limit; left for routers within their own parts
constexpr double partialViewConfidence = 0.1; // slows borrowing down while some live peer is silent
constexpr auto remainderRotation = std::chrono::milliseconds(1000); // how long the same routers get the remainder

double roundedShare(double share, const FleetPosition &position, std::uint64_t salt)
{
    const double wholePart = std::floor(share);
    const auto routers = static_cast<std::uint64_t>(std::max(1, position.routers));
    const std::uint64_t rotatedRank = (static_cast<std::uint64_t>(position.rank) + salt) % routers;
    const double threshold = (static_cast<double>(rotatedRank) + 0.5) / static_cast<double>(routers);
    return wholePart + (threshold < share - wholePart ? 1 : 0);
}

Limiter::Limiter(const LimitSettings &settings)
    : m_settings(settings)
{
}

void Limiter::refill(Instant now, CustomerState &state, double rate, double depth) const
{
    if (state.isNew) {
        state.tokens = depth;
        state.isNew = false;
    } else {
        const double elapsed = std::chrono::duration<double>(now - state.refilledAt).count();
        state.tokens = std::min(depth, state.tokens + std::max(0.0, elapsed) * rate);
    }
    state.refilledAt = now;
}

double Limiter::concurrencyShare(Instant now, const Contract &contract, const LimitShares &shares) const
{
    const double share = contract.concurrency * shares.share(contract.customer);
    const auto rotation = static_cast<std::uint64_t>(now.time_since_epoch() / remainderRotation);
    return roundedShare(share, m_position, hashName(contract.customer.text) + rotation);
}

Reason Limiter::admit(Instant now, const Contract &contract, const LimitShares &shares)
{
    CustomerState &state = m_customers[contract.customer];
    const double rate = contract.rate * shares.share(contract.customer);
    const double ownRate = std::min(shares.ownCallsPerSecond(contract.customer), rate);
    const double randomBurst = std::min(maxRandomBurst, minBurst + randomBurstSeconds * ownRate);
    const double depth = std::max(randomBurst, rate * m_settings.burstSeconds);
    refill(now, state, rate, depth);
    if (state.tokens < 1) {
        return Reason::OverRate;
    }
    const double fleetInProgress = state.inProgress + shares.othersInProgress(now, contract.customer);
    const double confidence = shares.isViewComplete(now) ? 1 : partialViewConfidence;
    state.borrowBudget.replenish(now, contract.concurrency * (1 - unborrowableFraction) - fleetInProgress,
                                 shares.routerCount(), confidence);
    const bool isBorrowed = state.inProgress >= concurrencyShare(now, contract, shares);
    if (fleetInProgress >= contract.concurrency || (isBorrowed && !state.borrowBudget.hasToken())) {
        return Reason::OverConcurrency;
    }
    if (isBorrowed) {
        state.borrowBudget.take();
    }
    state.tokens -= 1;
    ++state.inProgress;
    return Reason::None;
}

void Limiter::release(const CustomerId &customer)
{
    --m_customers[customer].inProgress;
}

int Limiter::inProgress(const CustomerId &customer) const
{
    const auto state = m_customers.find(customer);
    return state == m_customers.end() ? 0 : state->second.inProgress;
}

} // namespace galenafold
