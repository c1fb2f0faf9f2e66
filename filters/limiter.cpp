// Token bucket for the rate and counter for the concurrency, each scaled by this router's share.
#include "filters/limiter.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double minBurst = 1.0;             // calls; a bucket must hold at least one
constexpr double burstSeconds = 2.0;         // of this router's own arrival rate, so that random bursts are not refused
constexpr double maxBurst = 8.0;             // calls
constexpr double unborrowableFraction = 0.1; // of a concurrency limit; left for routers within their own parts
constexpr double partialViewCaution = 0.1;   // slows borrowing down while some peer is not heard
constexpr auto remainderRotation = std::chrono::milliseconds(1000); // how long one router holds a remainder

double roundedPart(double part, const FleetPosition &position, std::uint64_t salt)
{
    const double wholePart = std::floor(part);
    const auto routers = static_cast<std::uint64_t>(std::max(1, position.routers));
    const std::uint64_t place = (static_cast<std::uint64_t>(position.rank) + salt) % routers;
    const double threshold = (static_cast<double>(place) + 0.5) / static_cast<double>(routers);
    return wholePart + (threshold < part - wholePart ? 1 : 0);
}

Limiter::Limiter(const LimitSettings &settings)
    : m_settings(settings)
{
}

void Limiter::refill(Instant now, Bucket &bucket, double rate, double depth) const
{
    if (bucket.isNew) {
        bucket.tokens = depth;
        bucket.isNew = false;
    } else {
        const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
        bucket.tokens = std::min(depth, bucket.tokens + std::max(0.0, elapsed) * rate);
    }
    bucket.refilledAt = now;
}

double Limiter::concurrencyPart(Instant now, const Contract &contract, const LimitShares &shares) const
{
    const double part = contract.concurrency * shares.share(contract.customer);
    const auto rotation = static_cast<std::uint64_t>(now.time_since_epoch() / remainderRotation);
    return roundedPart(part, m_position, hashName(contract.customer.text) + rotation);
}

Reason Limiter::admit(Instant now, const Contract &contract, const LimitShares &shares)
{
    Bucket &bucket = m_buckets[contract.customer];
    const double rate = contract.rate * shares.share(contract.customer);
    const double ownRate = std::min(shares.ownCallsPerSecond(contract.customer), rate);
    const double randomBurst = std::min(maxBurst, minBurst + burstSeconds * ownRate);
    const double depth = std::max(randomBurst, rate * m_settings.burstSeconds);
    refill(now, bucket, rate, depth);
    if (bucket.tokens < 1) {
        return Reason::OverRate;
    }
    const double fleetInProgress = bucket.inProgress + shares.othersInProgress(now, contract.customer);
    const double caution = shares.isViewComplete(now) ? 1 : partialViewCaution;
    bucket.borrow.replenish(now, contract.concurrency * (1 - unborrowableFraction) - fleetInProgress,
                            shares.routerCount(), caution);
    const bool isBorrowed = bucket.inProgress >= concurrencyPart(now, contract, shares);
    if (fleetInProgress >= contract.concurrency || (isBorrowed && !bucket.borrow.has())) {
        return Reason::OverConcurrency;
    }
    if (isBorrowed) {
        bucket.borrow.take();
    }
    bucket.tokens -= 1;
    ++bucket.inProgress;
    return Reason::None;
}

void Limiter::release(const CustomerId &customer)
{
    --m_buckets[customer].inProgress;
}

int Limiter::inProgress(const CustomerId &customer) const
{
    const auto bucket = m_buckets.find(customer);
    return bucket == m_buckets.end() ? 0 : bucket->second.inProgress;
}

} // namespace galenafold
