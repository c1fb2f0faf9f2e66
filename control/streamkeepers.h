// Which routers keep the origins of streams for all others.
//
// Streams are divided into partitions. The two routers that come first in the rendezvous order of a partition keep the
// origins of its streams: any router can work out which they are, and when a router dies only its partitions move.
#pragma once

#include "control/origintable.h"

namespace galenafold
{

/// @param partitions number of partitions @return the stream's partition, the same on all routers
int partitionOf(StreamKey stream, int partitions);

/// @param routers IPv4 addresses of the routers that this one hears, and its own; in any order
/// @return the first and the second keeper; fewer if there are fewer routers
std::vector<std::uint32_t> keepersOf(int partition, const std::vector<std::uint32_t> &routers);

} // namespace galenafold
