// Tells outages of the store from those of single routers.
#include "control/storeoutage.h"

#include <algorithm>

namespace galenafold
{

constexpr auto returnTolerance =
    std::chrono::milliseconds(500); // between two routers' words on one return of the store

StoreOutage::StoreOutage(const TopicSettings &reading)
    : m_maxGap(reading.pollInterval + reading.longPollTimeout + reading.responseTimeout)
{
}

void StoreOutage::onProof(Instant provedAt)
{
    m_provedAt = std::max(m_provedAt, provedAt);
}

bool StoreOutage::onLost()
{
    const bool isNews = !m_isLost;
    m_isLost = true;
    return isNews;
}

void StoreOutage::onRegained(Instant returnedAt)
{
    m_isLost = false;
    m_returnedAt = returnedAt;
}

bool StoreOutage::hasMissed(Instant now, Instant returnedAt) const
{
    const bool hasGap = now > m_provedAt + m_maxGap;
    return hasGap && returnedAt > m_returnedAt + returnTolerance;
}

} // namespace galenafold
