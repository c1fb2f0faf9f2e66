// Asio's timers on the clock that all deadlines are on.
#pragma once

#include "galenafold/galenafold.h"

#include <asio/basic_waitable_timer.hpp>

namespace galenafold
{

using DeadlineTimer = asio::basic_waitable_timer<BootTimeClock>;

} // namespace galenafold
