// A token bucket for the rate and a count for the concurrency, each sized by this router's share.
#include "filters/limiter.h"

#include "control/loadview.h"

#include <algorithm>
#include <cmath>

namespace galenafold
{

constexpr double leastBurst = 1.0;   // a bucket must hold one call
constexpr double burstSeconds = 2.0; // of this router's own demand: what arrives at random must not be refused
constexpr double mostBurst = 8.0;
constexpr double neverBorrowed = 0.1;                           // of a concurrency
constexpr double blindBorrowing = 0.1;                          // of the pace, while some peer is not heard
constexpr auto remainderTurn = std::chrono::milliseconds(1000); // how long one router holds a remainder

double roundedPart(double part, const FleetPosition &position, std::uint64_t salt)
{
    const double whole = std::floor(part);
    const auto routers = static_cast<std::uint64_t>(std::max(1, position.routers));
    const std::uint64_t place = (static_cast<std::uint64_t>(position.rank) + salt) % routers;
    const double threshold = (static_cast<double>(place) + 0.5) / static_cast<double>(routers);
    return whole + (threshold < part - whole ? 1 : 0);
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
        const double elapsed = std::chrono::duration<double>(now - bucket.filled).count();
        bucket.tokens = std::min(depth, bucket.tokens + std::max(0.0, elapsed) * rate);
    }
    bucket.filled = now;
}

double Limiter::concurrencyPart(Instant now, const Contract &contract, const LimitShares &shares) const
{
    const double part = contract.concurrency * shares.share(contract.customer);
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / remainderTurn);
    return roundedPart(part, m_position, hashName(contract.customer.text) + turn);
}

Reason Limiter::admit(Instant now, const Contract &contract, const LimitShares &shares)
{
    Bucket &bucket = m_buckets[contract.customer];
    const double rate = contract.rate * shares.share(contract.customer);
    const double usual = std::min(shares.ownCallsPerSecond(contract.customer), rate);
    const double random = std::min(mostBurst, leastBurst + burstSeconds * usual);
    const double depth = std::max(random, rate * m_settings.burstSeconds);
    refill(now, bucket, rate, depth);
    if (bucket.tokens < 1) {
        return Reason::OverRate;
    }
    const double fleet = bucket.inProgress + shares.othersInProgress(now, contract.customer);
    const double caution = shares.isViewComplete(now) ? 1 : blindBorrowing;
    bucket.borrow.replenish(now, contract.concurrency * (1 - neverBorrowed) - fleet, shares.routerCount(), caution);
    const bool isBorrowed = bucket.inProgress >= concurrencyPart(now, contract, shares);
    if (fleet >= contract.concurrency || (isBorrowed && !bucket.borrow.has())) {
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
