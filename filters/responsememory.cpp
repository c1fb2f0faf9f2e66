// Limits the memory that responses hold.
#include "filters/responsememory.h"

#include <algorithm>

namespace galenafold
{

ResponseMemory::Share::Share(std::shared_ptr<ResponseMemory> memory)
    : m_memory(std::move(memory))
{
}

void ResponseMemory::Share::resize(std::size_t bytes)
{
    if (bytes == m_bytes) {
        return;
    }
    m_memory->m_bytes = m_memory->m_bytes - m_bytes + bytes;
    m_bytes = bytes;
    if (bytes == 0) {
        m_memory->m_shares.erase(this);
        return;
    }
    m_memory->m_shares.insert(this);
    while (m_memory->m_bytes > m_memory->m_maxBytes) {
        m_memory->giveUpLargest();
    }
    m_memory->m_peakBytes = std::max(m_memory->m_peakBytes, m_memory->m_bytes);
}

void ResponseMemory::giveUpLargest()
{
    const auto holdsLess = [](const Share *a, const Share *b) { return a->bytes() < b->bytes(); };
    Share *const largest = *std::max_element(m_shares.begin(), m_shares.end(), holdsLess);
    largest->resize(0);
    largest->onGivenUp();
}

} // namespace galenafold
