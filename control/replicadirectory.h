// The set of replicas that may get work, built from the records of the service registry in the store's order.
//
// Load pattern: replicas start, drain, fail and return under the same name all day, while the store becomes unavailable
// and comes back, its history is truncated, and reads arrive late. A record is applied only if its position is past
// that of the last record of the same replica, so a late page never restores a replica that was removed.
//
// Load pattern: the store carries out a write seconds after its replica gave it up, or is restored from a copy that
// still names replicas which have left. What a replica says of itself is ordered by the start of its process and its
// heartbeat counter, wherever it stands in the topic and whatever the entry went through: an older word changes
// nothing, and one that is not newer than the last does not bring back a replica that has left.
//
// Sections of this file: Records, Directory.
#pragma once

#include "control/routes.h"
#include "control/topicposition.h"

#include <map>

namespace galenafold
{

// Records

using SoftwareVersion = Id<struct SoftwareVersionTag>; // of a replica, without order; empty: it tells none

/// A replica's own registry entry, for one run of its process.
struct ReplicaRecord {
    EndpointId id;
    ServiceId service;
    std::string address; // IP:PORT
    DataCentreId dataCentre;
    SoftwareVersion softwareVersion;
    UnixMillis started{};            // of its process; another value means that it has restarted
    std::int64_t heartbeatCount = 0; // heartbeat counter since the process started
    int slots = 0;                   // requests that it runs concurrently
    bool isDraining = false;         // accepts no new work
    Instant warmUntil{};             // still slow after its start until then
};

/// @return hash of the id and the start time; identifies one run of a replica's process in messages between routers
std::uint32_t incarnationHash(const ReplicaRecord &record);

/// A change of one registry entry.
struct RegistryUpdate {
    EndpointId id;
    TopicPosition position;
    std::optional<ReplicaRecord> record; // nothing: the entry was removed or is invalid
};

// Directory

/// Tracks registry entries by replica. Entries that expire while the store is unavailable are kept for a grace period.
class ReplicaDirectory
{
public:
    /// @param reregistrationTimeout grace period, from the store's return, in which expired replicas may register again
    explicit ReplicaDirectory(Duration reregistrationTimeout);

    /// Applies one change. @return true if the set of usable replicas changed
    bool apply(Instant now, const RegistryUpdate &update);

    /// Applies a listing of all entries. Replicas that it does not name are removed, unless a newer record is known.
    /// @param listedUpTo end of the topic when the listing began @return true if the set of usable replicas changed
    bool applyListing(Instant now, const std::vector<RegistryUpdate> &listing, const TopicPosition &listedUpTo);

    /// The store cannot be read. Until it can, entries may expire although their replicas are alive. Grace periods in
    /// progress start again with the store's return.
    void onStoreLost();

    /// The store can be read again.
    void onStoreRegained(Instant now);

    /// The store has been restored from a copy. Replicas that the copy does not name have the grace period to register
    /// again; one that has left returns only by a record that it wrote later.
    void onStoreRestored(Instant now);

    /// Removes replicas that did not register again within the grace period, and forgets those that left long ago.
    /// @param provedAt all entries that were written until then are known @return true if the set changed
    bool expire(Instant provedAt);

    /// @return replicas that may get new work
    std::vector<ReplicaRecord> usable() const;

    /// @return replicas that are draining: they only finish their requests in progress
    std::vector<ReplicaRecord> draining() const;

    /// @return from when on a read lets `expire` remove a replica; nothing if no replica is in its grace period
    std::optional<Instant> nextExpiry() const;

    std::size_t size() const { return m_entries.size(); } ///< @return known replicas, with those that left lately

private:
    using Writing = std::pair<UnixMillis, std::int64_t>; // start of the process and heartbeat counter: their order

    struct Entry {
        std::optional<ReplicaRecord> record;
        TopicPosition position{-1};      // of its last record
        std::optional<Writing> last;     // newest word of the replica
        std::optional<Instant> removeAt; // end of the grace period, if the entry has expired
        Instant forgetAt{};              // while there is no replica
    };

    static bool isNews(const Entry &entry, const ReplicaRecord &record);
    bool remove(Instant now, Entry &entry) const;
    static void forgetReplica(Instant now, Entry &entry);

    Duration m_reregistrationTimeout;
    std::map<EndpointId, Entry> m_entries;
    bool m_isStoreLost = false;
    Instant m_reregistrationEnd{}; // end of the grace period that follows the store's return
};

} // namespace galenafold
