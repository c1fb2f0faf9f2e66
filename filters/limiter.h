// Third filter: the contract's rate and concurrency, as far as this router's share of them goes.
#pragma once

#include "control/limitshares.h"

#include <unordered_map>

namespace galenafold
{

/// Where this router stands among the live ones; used to round fractions so that their sum comes out right.
struct FleetPosition {
    int routers = 1;
    int rank = 0; // by name
};

/// Rounds this router's part of a whole so that equal parts over all routers add up to it.
/// @param part may be below 1. @param salt spreads the remainder differently for each thing rounded.
double roundedPart(double part, const FleetPosition &position, std::uint64_t salt);

class Limiter
{
public:
    explicit Limiter(const LimitSettings &settings);

    void setPosition(const FleetPosition &position) { m_position = position; }

    /// Takes a call in, or says why not. @param contract of the call's customer.
    Reason admit(Instant now, const Contract &contract, const LimitShares &shares);

    /// Ends a call that was admitted.
    void release(const CustomerId &customer);

    int inProgress(const CustomerId &customer) const; ///< @return admitted calls that have not ended

private:
    struct Bucket {
        double tokens = 0;
        Instant filled{};
        int inProgress = 0;
        bool isNew = true;
        BorrowBudget borrow; // concurrency beyond this router's part
    };

    void refill(Instant now, Bucket &bucket, double rate, double depth) const;
    double concurrencyPart(Instant now, const Contract &contract, const LimitShares &shares) const;

    LimitSettings m_settings;
    FleetPosition m_position;
    std::unordered_map<CustomerId, Bucket> m_buckets;
};

} // namespace galenafold
