// Which versions of their software the replicas of each service have served with lately.
//
// Load pattern: during a release replicas of two versions serve side by side, and a stream may go on only at the
// version that began it. A caller takes a stream up again at any router, seconds after the stream broke off; by then
// the last replica of its version may have left. So a version counts for as long as streams may live that began at it.
// While only one counts, nothing more need be known of a stream.
//
// Load pattern: all routers are killed at once, in the middle of a release. A router that has just started knows only
// which versions serve now. So the leader among the routers stores from when until when each version has served, and a
// router that starts takes that for its own knowledge, as far as it reaches back without a gap. Where the store has
// been restored from an older copy since, or has lost the records, the router waits until it has seen the replicas
// itself for long enough. Clocks of VMs differ and jump, so that stored times are taken for later than they are: a
// version counts for too long rather than too short a time.
//
// Sections of this file: Versions, Stored history, Versions by service.
#pragma once

#include "control/replicadirectory.h"

namespace galenafold
{

// Versions

/// Hash of a version's name, as routers tell it each other.
enum class VersionHash : std::uint32_t {};

VersionHash versionHash(const SoftwareVersion &version); ///< @return the same on all routers

/// How long a stream and its being taken up may take: several times the longest timeout that routes have in practice.
constexpr auto streamMemory = std::chrono::seconds(60);

constexpr auto maxRegistryAge = std::chrono::seconds(5); ///< Between reads; a few of them, as one may be lost.

constexpr auto maxClockError = std::chrono::seconds(10); ///< By which clocks of VMs, or one after a jump, may differ.

// Stored history

/// From when until when a version has served, as the store has it or is to have it. Times are ages by the reader's or
/// the writer's own clock.
struct VersionRecord {
    ServiceId service;
    SoftwareVersion version;
    Duration sinceAge{};              // from then on the routers knew of all versions of the service, this one included
    std::optional<Duration> endAge{}; // since the last replica of it left; nothing: it serves
    bool isCurrent = true;            // written since the store was last restored from a copy
};

/// What the leader must write.
struct VersionChanges {
    std::vector<VersionRecord> records;
    std::vector<VersionRecord> forgotten; // to be deleted: ended long ago

    bool isEmpty() const { return records.empty() && forgotten.empty(); }
};

// Versions by service

/// Versions of all services. A copy is handed to the traffic thread whenever the replicas or the stored history change.
class SoftwareVersions
{
public:
    /// @param isFirstStart the whole fleet starts for the first time, so that no stream is from before
    explicit SoftwareVersions(bool isFirstStart = false)
        : m_isFirstStart(isFirstStart)
    {
    }

    /// Sets the replicas that the registry lists now.
    /// @param draining replicas that only finish their requests
    void update(Instant now, const std::vector<ReplicaRecord> &usable, const std::vector<ReplicaRecord> &draining);

    /// The registry has been read as of then. @param provedAt as `TopicSubscription` tells it
    void confirm(Instant provedAt) { m_provedAt = std::max(m_provedAt, provedAt); }

    /// @return true if the replicas were read lately: another version may have begun to serve unseen otherwise
    bool isCurrent(Instant now) const { return now < m_provedAt + maxRegistryAge; }

    /// The stored history was read. It may name a version that came and went between two reads of the registry here.
    /// @param records all of them
    void addStored(Instant now, const std::vector<VersionRecord> &records);

    /// @return what the store does not have as it is known here; nothing before the replicas and the history were read
    VersionChanges differences(Instant now) const;

    /// @return versions at which a stream may have begun that can still be taken up, as far as known
    std::vector<VersionHash> recent(Instant now, const ServiceId &service) const;

    /// @return true if `recent` leaves out no version: this router, and those before it by what they stored, have seen
    /// the replicas for as long as streams live
    bool isComplete(Instant now, const ServiceId &service) const;

    /// @return the version at which all streams of the service began that may be taken up now; nothing if there may be
    /// several
    std::optional<VersionHash> only(Instant now, const ServiceId &service) const;

    /// @return services of which streams may have begun at several versions, as far as known
    std::vector<ServiceId> uncertain(Instant now) const;

private:
    struct Seen {
        SoftwareVersion version;
        bool isServing = false; // the registry lists a replica of it
        Instant sinceAt{};      // as `VersionRecord::sinceAge`
        Instant lastSeenAt{};   // when it was last listed
    };
    struct Stored {
        SoftwareVersion version;
        Instant sinceAt{};
        std::optional<Instant> endedAt; // nothing: it serves
        bool isCurrent = true;
    };

    bool hasSeenEnough(Instant now) const;
    void learn(Instant now, const ServiceId &service, const Stored &stored);
    Instant knownSince(const ServiceId &service) const;
    void addUnsaved(Instant now, VersionChanges &changes) const;
    void addEnded(Instant now, VersionChanges &changes) const;

    std::map<ServiceId, std::map<VersionHash, Seen>> m_services;
    std::optional<std::map<ServiceId, std::map<VersionHash, Stored>>> m_stored; // nothing: not read yet
    bool m_isFirstStart;
    Instant m_provedAt{};           // of the registry
    std::optional<Instant> m_since; // the replicas are known from then on; nothing: no update yet
};

} // namespace galenafold
