// Which routers keep the origins of streams for all others.
#include "control/streamkeepers.h"

#include "control/loadview.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t keepersPerPartition = 2; // one dies at a time, or loses a datagram

int partitionOf(StreamKey stream, int partitions)
{
    return static_cast<int>(static_cast<std::uint64_t>(stream) % static_cast<std::uint64_t>(partitions));
}

std::vector<std::uint32_t> keepersOf(int partition, const std::vector<std::uint32_t> &routers)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranks;
    ranks.reserve(routers.size());
    for (const std::uint32_t router : routers) {
        ranks.emplace_back(rendezvousScore(static_cast<std::uint64_t>(partition), router), router);
    }
    const std::size_t count = std::min(keepersPerPartition, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(), std::greater<>());
    std::vector<std::uint32_t> keepers;
    for (std::size_t i = 0; i < count; ++i) {
        keepers.push_back(ranks[i].second);
    }
    return keepers;
}

} // namespace galenafold
