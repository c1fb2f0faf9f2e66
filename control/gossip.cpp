// Composition and use of gossip.
#include "control/gossip.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace galenafold
{

constexpr double budgetDepthSeconds = 0.5; // of traffic that may be saved up

std::uint32_t endpointHash(const VmId &endpoint)
{
    return static_cast<std::uint32_t>(hashName(endpoint.text));
}

// Budget

GossipBudget::GossipBudget(const GossipSettings &settings)
    : m_settings(settings)
{
}

int GossipBudget::take(Instant now, int bytes, int peers)
{
    const double rate = m_settings.bytesPerSecond;
    const double depth = std::max(rate * budgetDepthSeconds, static_cast<double>(bytes));
    const double elapsed = m_isNew ? 0 : std::chrono::duration<double>(now - m_filled).count();
    m_bytes = std::min(depth, m_bytes + elapsed * rate);
    m_filled = now;
    m_isNew = false;
    const int affordable = static_cast<int>(m_bytes / std::max(1, bytes));
    const int messages = std::min({affordable, peers, m_settings.fanout});
    m_bytes -= static_cast<double>(messages) * bytes;
    return messages;
}

PeerPicker::PeerPicker(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<VmId> PeerPicker::pick(const std::vector<VmId> &peers, int count)
{
    std::vector<VmId> picked;
    while (static_cast<int>(picked.size()) < std::min<int>(count, static_cast<int>(peers.size()))) {
        if (m_turn.empty()) {
            m_turn = peers;
            for (std::size_t i = m_turn.size(); i > 1; --i) {
                std::swap(m_turn[i - 1],
                          m_turn[boost::random::uniform_int_distribution<std::size_t>(0, i - 1)(m_random)]);
            }
        }
        const VmId next = m_turn.back();
        m_turn.pop_back();
        const bool isLive = std::find(peers.begin(), peers.end(), next) != peers.end();
        if (isLive && std::find(picked.begin(), picked.end(), next) == picked.end()) {
            picked.push_back(next);
        }
    }
    return picked;
}

// Peers

PeerLoads::PeerLoads(Span silentAfter)
    : m_silentAfter(silentAfter)
{
}

void PeerLoads::onMessage(Instant now, const GossipMessage &message)
{
    Peer &peer = m_peers[message.from];
    peer.heard = now;
    peer.isComplete = message.isComplete;
    peer.loads = message.loads;
}

void PeerLoads::keepOnly(const std::vector<VmId> &peers)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool isLive = std::find(peers.begin(), peers.end(), it->first) != peers.end();
        it = isLive ? std::next(it) : m_peers.erase(it);
    }
}

void PeerLoads::apply(Instant now, const std::vector<VmId> &peers, LoadView &view) const
{
    std::unordered_map<std::uint32_t, InFlight> sums;
    for (const VmId &vm : peers) {
        const auto peer = m_peers.find(vm);
        const bool isFresh = peer != m_peers.end() && peer->second.heard + m_silentAfter >= now;
        if (!isFresh || !peer->second.isComplete) {
            view.setPeersComplete(false);
            return;
        }
        for (const PeerLoad &load : peer->second.loads) {
            InFlight &sum = sums[load.endpointHash];
            sum.total += load.total;
            sum.longLane += load.longLane;
        }
    }
    view.setPeersComplete(true);
    for (std::size_t i = 0; i < view.size(); ++i) {
        const auto slot = static_cast<EndpointSlot>(i);
        const auto sum = sums.find(static_cast<std::uint32_t>(view.at(slot).hash));
        view.setOthers(slot, sum == sums.end() ? InFlight{} : sum->second);
    }
}

} // namespace galenafold
