// Ages in messages between routers: clocks of two VMs differ, the time since an event does not.
#pragma once

#include "galenafold/galenafold.h"

#include <algorithm>

namespace galenafold
{

/// @return whole milliseconds from an event until now; 0 for a later event
inline std::uint32_t ageMillis(Instant event, Instant now)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - event).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, millis));
}

} // namespace galenafold
