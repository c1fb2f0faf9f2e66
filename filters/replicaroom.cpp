// Room at a replica, from its slots and its load.
#include "filters/replicaroom.h"

#include <algorithm>

namespace galenafold
{

constexpr double backlogFraction = 0.25; // of the slots: requests that may wait there, to start as others end
constexpr double minRoomLimit = 1;       // a replica that is slowed down a lot still shows when it has recovered
constexpr auto firstRefusalPause = std::chrono::milliseconds(100); // in which a short queue empties
constexpr int maxPauseDoublings = 3;

double roomLimit(int slots)
{
    return slots * (1 + backlogFraction);
}

double roomLimit(int slots, double slowdown)
{
    return slowdown < noticeableSlowdown ? roomLimit(slots) : std::max(minRoomLimit, roomLimit(slots) / slowdown);
}

double backlogOf(double limit)
{
    return limit * backlogFraction / (1 + backlogFraction);
}

double room(const ReplicaOccupancy &occupancy)
{
    return roomLimit(occupancy.slots, occupancy.slowdown) - occupancy.load;
}

double routerShare(const FleetRoom &room)
{
    const double total = room.told + room.others;
    const double equal = room.limit / room.routers;
    const double grown =
        total <= room.limit ? room.told + (room.limit - total) / room.routers : room.told * room.limit / total;
    return std::max(equal, grown);
}

bool fitsMemory(Tokens request, Tokens held, Tokens memory)
{
    return memory == 0 || held == 0 || held + request <= memory;
}

Duration refusalPause(int refusals)
{
    return firstRefusalPause * (1 << std::clamp(refusals - 1, 0, maxPauseDoublings));
}

} // namespace galenafold
