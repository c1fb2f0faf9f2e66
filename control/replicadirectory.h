// Which replicas may be used: folds the records of the service registry, in the order of the store.
//
// Load pattern: replicas come, drain, vanish and return under the same name all day, while the registry lapses and
// comes back, its history is cut, and reads arrive late. A record is applied only if it is newer than what is known of
// its replica, so a late page never brings back a replica that has gone.
//
// Sections of this file: Records, Directory.
#pragma once

#include "control/routes.h"

#include <map>

namespace galenafold
{

// Records

/// One life of a replica, as it describes itself.
struct ReplicaRecord {
    EndpointId id;
    ServiceId service;
    std::string address; // IP:PORT
    DataCentreId dataCentre;
    UnixMillis started{};            // of its process; another value is another life
    std::int64_t heartbeatCount = 0; // counts its heartbeats within one life
    int slots = 0;                   // requests that it runs at once
    bool isDraining = false;         // takes no new work
    bool isWarmingUp = false;        // slow after its start
};

/// What one entry of the registry says.
struct RegistryUpdate {
    EndpointId id;
    LogOffset offset = 0;
    std::optional<ReplicaRecord> record; // nothing: the entry was removed, or names no usable replica
};

// Directory

class ReplicaDirectory
{
public:
    /// @param rejoinWithin how long after the store's return a lapsed replica may take to be listed again
    explicit ReplicaDirectory(Span rejoinWithin);

    /// Applies one entry. @return true if the set of usable replicas changed
    bool apply(Instant now, const RegistryUpdate &update);

    /// Applies a listing of all entries. Replicas that it does not name, and of which nothing newer is known, are gone.
    /// @param listedUpTo offset at which the listing began @return true if the set of usable replicas changed
    bool applyListing(Instant now, const std::vector<RegistryUpdate> &listing, LogOffset listedUpTo);

    /// The store could not be read; entries may lapse meanwhile although their replicas live.
    void onStoreLost();

    /// The store answers again.
    void onStoreRegained(Instant now);

    /// Drops replicas that were not listed again in time. @return true if the set changed
    bool expire(Instant now);

    /// @return replicas that may get new work
    std::vector<ReplicaRecord> usable() const;

    /// @return replicas that drain: they end what they have
    std::vector<ReplicaRecord> draining() const;

    /// @return when `expire` has something to do, if it ever has
    std::optional<Instant> nextExpiry() const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::optional<ReplicaRecord> record;
        LogOffset offset = -1;
        std::optional<Instant> dropAt; // lapsed while the store was away; kept until then
    };

    bool remove(Instant now, Entry &entry) const;

    Span m_rejoinWithin;
    std::map<EndpointId, Entry> m_entries;
    bool m_isStoreLost = false;
    Instant m_rejoinUntil{};
};

} // namespace galenafold
