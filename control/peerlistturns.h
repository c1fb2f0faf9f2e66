// Whose turn it is to be sent this router's peer list.
//
// Load pattern: a hundred routers start at once, and each knows some of the others. Were each list sent to a random
// peer, some routers would get none for several intervals, and those that do not know each other yet stay so for long.
// Here the n-th list of each router goes to the peer that lies a given part of the ring of addresses behind its own,
// the same part for all. So routers that started together send their n-th lists to different ones, and each gets one.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace galenafold
{

class PeerListTurns
{
public:
    /// @param peers their addresses, in ascending order, at least one @param own address of this router
    /// @return the peer that is sent the next list
    std::uint32_t next(const std::vector<std::uint32_t> &peers, std::uint32_t own)
    {
        m_part = std::fmod(m_part + goldenRatio, 1.0);
        const auto behind = std::upper_bound(peers.begin(), peers.end(), own) - peers.begin();
        const auto steps = static_cast<std::size_t>(m_part * static_cast<double>(peers.size()));
        return peers[(static_cast<std::size_t>(behind) + steps) % peers.size()];
    }

private:
    static constexpr double goldenRatio = 0.6180339887; // its multiples spread evenly over the ring

    double m_part = 0; // of the ring, between this router and the last receiver
};

} // namespace galenafold
