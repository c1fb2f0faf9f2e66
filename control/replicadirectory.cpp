// Which replicas may be used.
#include "control/replicadirectory.h"

#include <set>

namespace galenafold
{

ReplicaDirectory::ReplicaDirectory(Span rejoinWithin)
    : m_rejoinWithin(rejoinWithin)
{
}

static bool isUsable(const std::optional<ReplicaRecord> &record)
{
    return record && !record->isDraining;
}

static bool sameUse(const std::optional<ReplicaRecord> &a, const std::optional<ReplicaRecord> &b)
{
    if (!isUsable(a) || !isUsable(b)) {
        return isUsable(a) == isUsable(b);
    }
    return a->address == b->address && a->started == b->started && a->service == b->service
        && a->isWarmingUp == b->isWarmingUp && a->slots == b->slots;
}

/// A removal while the store was away, or just after, may only mean that heartbeats could not be written.
bool ReplicaDirectory::remove(Instant now, Entry &entry) const
{
    const bool mayRejoin = m_isStoreLost || now < m_rejoinUntil;
    if (isUsable(entry.record) && mayRejoin) {
        if (!entry.dropAt) {
            entry.dropAt = m_isStoreLost ? Instant::max() : m_rejoinUntil;
        }
        return false;
    }
    const bool wasUsable = isUsable(entry.record);
    entry.record.reset();
    entry.dropAt.reset();
    return wasUsable;
}

bool ReplicaDirectory::apply(Instant now, const RegistryUpdate &update)
{
    Entry &entry = m_entries[update.id];
    if (update.offset <= entry.offset) {
        return false;
    }
    entry.offset = update.offset;
    if (!update.record) {
        return remove(now, entry);
    }
    const auto before = entry.record;
    if (before && before->started == update.record->started && before->isDraining && !update.record->isDraining) {
        return false; // a replica that drains does not return in the same life
    }
    if (before && update.record->started < before->started) {
        return false; // written by an earlier life
    }
    entry.record = update.record;
    entry.dropAt.reset();
    return !sameUse(before, entry.record);
}

bool ReplicaDirectory::applyListing(Instant now, const std::vector<RegistryUpdate> &listing, LogOffset listedUpTo)
{
    bool hasChanged = false;
    std::set<EndpointId> listed;
    for (const RegistryUpdate &update : listing) {
        listed.insert(update.id);
        hasChanged = apply(now, update) || hasChanged;
    }
    for (auto &[id, entry] : m_entries) {
        if (listed.count(id) == 0 && entry.offset < listedUpTo && entry.record) {
            hasChanged = remove(now, entry) || hasChanged;
        }
    }
    return hasChanged;
}

void ReplicaDirectory::onStoreLost()
{
    m_isStoreLost = true;
}

void ReplicaDirectory::onStoreRegained(Instant now)
{
    m_isStoreLost = false;
    m_rejoinUntil = now + m_rejoinWithin;
    for (auto &[id, entry] : m_entries) {
        if (entry.dropAt) {
            entry.dropAt = m_rejoinUntil;
        }
    }
}

bool ReplicaDirectory::expire(Instant now)
{
    bool hasChanged = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.dropAt && now >= *entry.dropAt) {
            hasChanged = isUsable(entry.record) || hasChanged;
            entry.record.reset();
            entry.dropAt.reset();
        }
    }
    return hasChanged;
}

std::optional<Instant> ReplicaDirectory::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[id, entry] : m_entries) {
        const bool isSet = entry.dropAt && *entry.dropAt != Instant::max();
        if (isSet && (!next || *entry.dropAt < *next)) {
            next = entry.dropAt;
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
