// Applies registry records to the set of usable replicas.
#include "control/replicadirectory.h"

#include "control/loadview.h"

#include <algorithm>
#include <set>

namespace galenafold
{

constexpr auto warmUpTolerance = std::chrono::milliseconds(200); // between what two heartbeats tell of its end

/// A late write comes seconds after it was sent, and a copy of the store is some seconds old: an hour is far beyond
/// both, and few replicas leave within one.
constexpr auto departedMemory = std::chrono::hours(1);

std::uint32_t incarnationHash(const ReplicaRecord &record)
{
    return static_cast<std::uint32_t>(
        rendezvousScore(hashName(record.id.text), static_cast<std::uint64_t>(record.started.count())));
}

ReplicaDirectory::ReplicaDirectory(Duration reregistrationTimeout)
    : m_reregistrationTimeout(reregistrationTimeout)
{
}

static bool isUsable(const std::optional<ReplicaRecord> &record)
{
    return record && !record->isDraining;
}

/// Each heartbeat tells the time left anew, as of a moment that is known only roughly. An earlier end counts for
/// nothing, as a warm-up ends by its time.
static bool prolongsWarmUp(Instant now, const ReplicaRecord &before, const ReplicaRecord &after)
{
    return after.warmUntil > std::max(now, before.warmUntil) + warmUpTolerance;
}

/// @return true if both records mean the same for routing: both unusable, or usable with equal properties
static bool isSameForRouting(Instant now, const std::optional<ReplicaRecord> &before,
                             const std::optional<ReplicaRecord> &after)
{
    if (!isUsable(before) || !isUsable(after)) {
        return isUsable(before) == isUsable(after);
    }
    return before->address == after->address && before->started == after->started && before->service == after->service
        && before->softwareVersion == after->softwareVersion && before->slots == after->slots
        && !prolongsWarmUp(now, *before, *after);
}

/// Removes an entry, or starts its grace period: an entry that disappears while the store is unavailable, or soon
/// after, may have expired only because its replica could not write heartbeats.
bool ReplicaDirectory::remove(Instant now, Entry &entry) const
{
    const bool mayReregister = m_isStoreLost || now < m_reregistrationEnd;
    if (isUsable(entry.record) && mayReregister) {
        if (!entry.removeAt) {
            entry.removeAt = m_isStoreLost ? Instant::max() : m_reregistrationEnd;
        }
        return false;
    }
    const bool wasUsable = isUsable(entry.record);
    forgetReplica(now, entry);
    return wasUsable;
}

/// The entry stays for a while, to tell what the replica wrote before it left.
void ReplicaDirectory::forgetReplica(Instant now, Entry &entry)
{
    entry.record.reset();
    entry.removeAt.reset();
    entry.forgetAt = now + departedMemory;
}

/// @return false if the replica has said something newer since, or has left after it said this
bool ReplicaDirectory::isNews(const Entry &entry, const ReplicaRecord &record)
{
    const Writing writing{record.started, record.heartbeatCount};
    const bool isDrainReport = entry.record && record.isDraining && record.started == entry.record->started;
    return !entry.last || *entry.last < writing || (entry.record && *entry.last == writing) || isDrainReport;
}

bool ReplicaDirectory::apply(Instant now, const RegistryUpdate &update)
{
    Entry &entry = m_entries[update.id];
    if (!isPast(update.position, entry.position)) {
        return false;
    }
    entry.position = update.position;
    if (!update.record) {
        return remove(now, entry);
    }
    if (!isNews(entry, *update.record)) {
        return false;
    }
    const auto before = entry.record;
    if (before && before->started == update.record->started && before->isDraining && !update.record->isDraining) {
        return false; // a draining replica stays so until its process restarts
    }
    const Writing writing{update.record->started, update.record->heartbeatCount};
    entry.last = std::max(entry.last.value_or(writing), writing);
    entry.record = update.record;
    entry.removeAt.reset();
    return !isSameForRouting(now, before, entry.record);
}

bool ReplicaDirectory::applyListing(Instant now, const std::vector<RegistryUpdate> &listing,
                                    const TopicPosition &listedUpTo)
{
    bool hasChanged = false;
    std::set<EndpointId> listed;
    for (const RegistryUpdate &update : listing) {
        listed.insert(update.id);
        hasChanged = apply(now, update) || hasChanged;
    }
    for (auto &[id, entry] : m_entries) {
        if (listed.count(id) == 0 && isPast(listedUpTo, entry.position) && entry.record) {
            hasChanged = remove(now, entry) || hasChanged;
        }
    }
    return hasChanged;
}

void ReplicaDirectory::onStoreLost()
{
    m_isStoreLost = true;
    for (auto &[id, entry] : m_entries) {
        if (entry.removeAt) {
            entry.removeAt = Instant::max(); // it cannot register again until the store is back
        }
    }
}

void ReplicaDirectory::onStoreRegained(Instant now)
{
    m_isStoreLost = false;
    m_reregistrationEnd = now + m_reregistrationTimeout;
    for (auto &[id, entry] : m_entries) {
        if (entry.removeAt) {
            entry.removeAt = m_reregistrationEnd;
        }
    }
}

void ReplicaDirectory::onStoreRestored(Instant now)
{
    m_reregistrationEnd = std::max<Instant>(m_reregistrationEnd, now + m_reregistrationTimeout);
}

bool ReplicaDirectory::expire(Instant provedAt)
{
    bool hasChanged = false;
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        Entry &entry = known->second;
        if (entry.removeAt && provedAt >= *entry.removeAt) {
            hasChanged = isUsable(entry.record) || hasChanged;
            forgetReplica(provedAt, entry);
        }
        const bool isOver = !entry.record && provedAt >= entry.forgetAt;
        known = isOver ? m_entries.erase(known) : std::next(known);
    }
    return hasChanged;
}

std::optional<Instant> ReplicaDirectory::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[id, entry] : m_entries) {
        const bool isFinite = entry.removeAt && *entry.removeAt != Instant::max();
        if (isFinite && (!next || *entry.removeAt < *next)) {
            next = entry.removeAt;
        }
    }
    return next;
}

std::vector<ReplicaRecord> ReplicaDirectory::usable() const
{
    std::vector<ReplicaRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (isUsable(entry.record)) {
            records.push_back(*entry.record);
        }
    }
    return records;
}

std::vector<ReplicaRecord> ReplicaDirectory::draining() const
{
    std::vector<ReplicaRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record && entry.record->isDraining) {
            records.push_back(*entry.record);
        }
    }
    return records;
}

} // namespace galenafold
