// One account of the memory that callers make a router hold. Sections of this file: Share, Account.
#include "filters/callermemory.h"

#include <algorithm>

namespace galenafold
{

constexpr std::size_t progressFraction = 256;   // 1/256 of what a share holds must move, to count as progress
constexpr std::size_t maxProgressBytes = 16384; // enough for any share: a slow link moves as much in a round

CallerMemorySettings unlimitedMemory()
{
    CallerMemorySettings settings;
    settings.maxBytes = SIZE_MAX / 2;
    settings.maxResponseBytes = SIZE_MAX / 2;
    settings.largePart = 1;
    return settings;
}

// Share

MemoryShare::MemoryShare(std::shared_ptr<CallerMemory> memory, MemoryUse use)
    : m_memory(std::move(memory))
    , m_use(use)
{
}

bool MemoryShare::tryResize(std::size_t bytes)
{
    CallerMemory &memory = *m_memory;
    const auto isOtherStalled = [&](const MemoryShare &share) { return &share != this && memory.isStalled(share); };
    const bool isSmall = bytes <= memory.m_settings.smallBytes;
    while (bytes > m_bytes && !memory.hasRoom(bytes - m_bytes, isSmall)) {
        MemoryShare *const stalled = memory.largest(isOtherStalled);
        if (!stalled) {
            ++memory.m_refusals;
            return false;
        }
        memory.giveUp(*stalled);
    }
    memory.set(*this, bytes);
    memory.notePeaks();
    return true;
}

void MemoryShare::resize(std::size_t bytes)
{
    const auto memory = m_memory; // this share may end when it is taken away
    const bool hasGrown = bytes > m_bytes;
    memory->set(*this, bytes);
    if (!hasGrown) {
        return;
    }
    const auto isResponse = [](const MemoryShare &share) { return share.m_use == MemoryUse::Response; };
    while (memory->m_responseBytes > memory->m_settings.maxResponseBytes) {
        memory->giveUp(*memory->largest(isResponse));
    }
    const auto isStalled = [&memory](const MemoryShare &share) { return memory->isStalled(share); };
    const auto isTakeable = [](const MemoryShare &share) { return share.m_use != MemoryUse::InProgress; };
    while (memory->m_bytes > memory->m_settings.maxBytes) {
        MemoryShare *const stalled = memory->largest(isStalled);
        MemoryShare *const next = stalled ? stalled : memory->largest(isTakeable);
        if (!next) {
            break; // requests in progress were admitted within the limits
        }
        memory->giveUp(*next);
    }
    memory->notePeaks();
}

/// Progress is counted from now: the time before, in which others had to act, is not held against the caller.
void MemoryShare::setUse(MemoryUse use)
{
    if (use != m_use) {
        m_use = use;
        m_moved = 0;
        m_movedIn = m_memory->m_round;
    }
}

/// A byte now and then is no progress for a share that holds megabytes.
void MemoryShare::onMoved(std::size_t bytes)
{
    m_moved += bytes;
    if (m_moved > 0 && m_moved >= std::min(m_bytes / progressFraction, maxProgressBytes)) {
        m_moved = 0;
        m_movedIn = m_memory->m_round;
    }
}

// Account

CallerMemory::CallerMemory(const CallerMemorySettings &settings)
    : m_settings(settings)
{
}

void CallerMemory::set(MemoryShare &share, std::size_t bytes)
{
    const bool wasHolding = share.m_bytes > 0;
    m_bytes = m_bytes - share.m_bytes + bytes;
    if (share.m_use == MemoryUse::Response) {
        m_responseBytes = m_responseBytes - share.m_bytes + bytes;
    }
    share.m_bytes = bytes;
    if (!wasHolding && bytes > 0) {
        share.m_index = m_shares.size();
        share.m_movedIn = m_round;
        share.m_moved = 0;
        m_shares.push_back(&share);
    } else if (wasHolding && bytes == 0) {
        m_shares[share.m_index] = m_shares.back();
        m_shares[share.m_index]->m_index = share.m_index;
        m_shares.pop_back();
    }
}

void CallerMemory::notePeaks()
{
    m_peakBytes = std::max(m_peakBytes, m_bytes);
    m_peakResponseBytes = std::max(m_peakResponseBytes, m_responseBytes);
}

bool CallerMemory::isStalled(const MemoryShare &share) const
{
    return share.m_use == MemoryUse::AwaitsCaller && m_round - share.m_movedIn >= m_settings.patientRounds;
}

/// The part that large requests leave free serves small ones.
bool CallerMemory::hasRoom(std::size_t bytes, bool isSmall) const
{
    const double part = isSmall ? 1 : m_settings.largePart;
    return static_cast<double>(m_bytes + bytes) <= static_cast<double>(m_settings.maxBytes) * part;
}

/// @return the candidate that holds most; null if there is none
MemoryShare *CallerMemory::largest(const std::function<bool(const MemoryShare &)> &isCandidate) const
{
    MemoryShare *found = nullptr;
    for (MemoryShare *const share : m_shares) {
        if (isCandidate(*share) && (!found || share->m_bytes > found->m_bytes)) {
            found = share;
        }
    }
    return found;
}

void CallerMemory::giveUp(MemoryShare &share)
{
    ++m_givenUp;
    set(share, 0);
    const auto callback = share.onGivenUp; // which may end the share
    callback();
}

} // namespace galenafold
