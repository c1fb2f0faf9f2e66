// What a keeper of streams' origins has to write to the store, in batches.
#include "control/originbatches.h"

#include <algorithm>

namespace galenafold
{

constexpr auto batchInterval = std::chrono::seconds(1);

bool isOriginRecordRecent(UnixMillis now, UnixMillis writtenAt)
{
    return writtenAt > now || now - writtenAt < streamMemory + maxClockError;
}

void OriginBatches::add(int partition, const std::vector<StreamOrigin> &origins)
{
    std::vector<StreamOrigin> &pending = m_partitions[partition].pending;
    pending.insert(pending.end(), origins.begin(), origins.end());
    if (pending.size() > maxPending) {
        const std::size_t surplus = pending.size() - maxPending;
        pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(surplus));
        m_givenUp += static_cast<std::int64_t>(surplus);
    }
}

/// Slots are counted on from the first batch: a clock that jumps must not lead to those that were written just before.
std::int64_t OriginBatches::nextSlot(Instant now, UnixMillis unixNow, const Partition &partition)
{
    if (!partition.slotAt) {
        return std::chrono::duration_cast<std::chrono::seconds>(unixNow).count();
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(now - *partition.slotAt).count();
    return partition.slot + std::max<std::int64_t>(elapsed, 1);
}

std::optional<OriginBatch> OriginBatches::take(Instant now, UnixMillis unixNow)
{
    const auto next = nextAt();
    if (m_writing || !next || now < *next) {
        return std::nullopt;
    }
    const auto due = std::find_if(m_partitions.begin(), m_partitions.end(), [&](const auto &entry) {
        return !entry.second.isEmpty() && entry.second.notBefore == *next;
    });
    Partition &partition = due->second;
    partition.slot = nextSlot(now, unixNow, partition);
    partition.slotAt = now;
    partition.notBefore = now + batchInterval;
    partition.taken = std::move(partition.pending);
    partition.tried = partition.taken.size();
    partition.taken.insert(partition.taken.end(), partition.failed.begin(), partition.failed.end());
    partition.pending.clear();
    partition.failed.clear();
    m_writing = due->first;
    return OriginBatch{due->first, static_cast<int>(partition.slot % originSlots), partition.taken};
}

void OriginBatches::onWritten(Instant now, bool isWritten)
{
    Partition &partition = m_partitions.at(*m_writing);
    m_writing.reset();
    if (!isWritten) {
        m_givenUp += static_cast<std::int64_t>(partition.taken.size() - partition.tried);
        partition.failed.assign(partition.taken.begin(),
                                partition.taken.begin() + static_cast<std::ptrdiff_t>(partition.tried));
        partition.notBefore = now + batchInterval;
    }
    partition.taken.clear();
}

std::optional<Instant> OriginBatches::nextAt() const
{
    std::optional<Instant> next;
    for (const auto &[number, partition] : m_partitions) {
        if (!partition.isEmpty()) {
            next = std::min(next.value_or(partition.notBefore), partition.notBefore);
        }
    }
    return next;
}

} // namespace galenafold
