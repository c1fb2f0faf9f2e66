// Replicas that get no requests of this router because their own answers said so.
#include "control/replicaholds.h"

namespace galenafold
{

constexpr std::size_t maxLeaving = 8192; // runs; far more than leave while the oldest of them may still answer

bool ReplicaHolds::onLeaving(std::uint32_t incarnation)
{
    if (!m_leaving.insert(incarnation).second) {
        return false;
    }
    m_order.push_back(incarnation);
    if (m_order.size() > maxLeaving) {
        m_leaving.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace galenafold
