// Conversion between lengths of time and the seconds in which rates are reckoned.
#pragma once

#include "galenafold/galenafold.h"

namespace galenafold
{

/// @return the time in seconds
inline double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// @return the time, cut to whole microseconds
inline Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace galenafold
