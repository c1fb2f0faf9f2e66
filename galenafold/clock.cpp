// The clock behind every `Instant`.
#include "galenafold/galenafold.h"

#include <ctime>

namespace galenafold
{

BootTimeClock::time_point BootTimeClock::now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return time_point(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace galenafold
