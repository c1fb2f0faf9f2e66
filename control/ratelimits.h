// Rates of requests that replicas ask not to be exceeded.
#pragma once

#include "galenafold/galenafold.h"

#include <optional>
#include <unordered_map>

namespace galenafold
{

/// Limits as this router learns them from answers. Not thread-safe: used on the traffic thread.
class ReplicaRateLimits
{
public:
    /// An answer of a replica has come.
    /// @param replica hash of its id
    /// @param perSecond requests per second that it takes from all routers together; nothing: it names no limit
    /// @return true if the limit is new, has changed by more than a tenth, or has ended
    bool onAnswer(Instant now, std::uint32_t replica, std::optional<double> perSecond);

    std::optional<double> limit(std::uint32_t replica) const; ///< @return requests per second; nothing: no limit

private:
    struct Limit {
        double perSecond = 0;
        Instant namedAt{}; // by the latest answer that named it
    };

    std::unordered_map<std::uint32_t, Limit> m_limits; // by replica
};

} // namespace galenafold
