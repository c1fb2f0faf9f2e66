// Third filter: enforces this router's share of a contract's rate and concurrency limits.
#pragma once

#include "control/limitshares.h"

#include <unordered_map>

namespace galenafold
{

/// Position of this router among the live ones. It decides which routers get the remainder when shares are rounded.
struct FleetPosition {
    int routers = 1;
    int rank = 0; // by name, from 0
};

/// Rounds this router's share of a total to a whole number so that equal shares of all routers add up to the total.
/// @param share may be below 1
/// @param salt varies which routers get the remainder, for each quantity that is rounded
double roundedShare(double share, const FleetPosition &position, std::uint64_t salt);

/// Token bucket for the rate and counter for the concurrency of each customer.
class Limiter
{
public:
    explicit Limiter(const LimitSettings &settings);

    void setPosition(const FleetPosition &position) { m_position = position; }

    /// Admits a call. @param contract of the call's customer. @return why it was refused, or Reason::None
    Reason admit(Instant now, const Contract &contract, const LimitShares &shares);

    /// Ends a call that was admitted.
    void release(const CustomerId &customer);

    int inProgress(const CustomerId &customer) const; ///< @return admitted calls that have not ended

private:
    struct CustomerState {
        double tokens = 0; // calls that the rate limit allows now
        Instant refilledAt{};
        int inProgress = 0;
        bool isNew = true;
        BorrowBudget borrowBudget; // concurrency beyond this router's share
    };

    void refill(Instant now, CustomerState &state, double rate, double depth) const;
    double concurrencyShare(Instant now, const Contract &contract, const LimitShares &shares) const;

    LimitSettings m_settings;
    FleetPosition m_position;
    std::unordered_map<CustomerId, CustomerState> m_customers;
};

} // namespace galenafold
