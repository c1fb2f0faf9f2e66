// Persists what all routers share in the platform's store, so that it survives their restart: the assignment of places
// (positions for rendezvous hashing) to engines, the prompts that are blocked because they crash replicas, and which
// versions of their software the replicas have served with.
//
// Load pattern: all routers restart at the same time while engines keep running with warm prefix caches, callers still
// send requests that crash them, and take up streams that began at a version which has left. A router reads the topic
// at its start and then periodically; only the leader among the routers writes, a few records when an engine is
// replaced, a prompt is blocked or released, or a version appears or leaves. When the store comes back from an older
// copy, the routers keep to what they use and the leader writes it again. A late or lost write makes engines recompute
// the prefill of some prompts, or costs some replicas after such a restart; one of a version makes it count for too
// long.
#pragma once

#include "control/queryofdeath.h"
#include "control/softwareversions.h"
#include "filters/placetable.h"
#include "runtime/topicsubscription.h"

namespace galenafold
{

/// Gets all that is stored, and the end of the topic.
using StoredStateHook =
    std::function<void(const std::vector<PlaceRecord> &, const std::vector<SuspectBlock> &, const TopicPosition &end)>;

/// Used on the control thread only.
class SharedState
{
public:
    /// @param address of the store @param peerPort TCP port of the other routers; 0: none is followed
    SharedState(asio::io_context &io, const std::string &address, int peerPort, EventLog &log, std::uint64_t seed);

    void start();

    /// Likewise, unless it was started. @param isAnswered the store has answered a call for another topic
    void startAfterCall(bool isAnswered);

    // All append records on condition that the topic has no records which this router has not read yet. They do
    // nothing before the first read or while another save is in progress. A failed save is not retried: the leader
    // saves again when it finds that the records are still missing.

    void savePlaces(const std::vector<PlaceRecord> &places);
    void saveBlocks(const BlockChanges &changes);
    void saveVersions(const VersionChanges &changes);

    /// Reads without waiting for the interval, unless a read is in progress. For when a peer has read further, or the
    /// store is available again.
    void readNow();

    /// Sets the routers of this data centre that are heard; one of them reads the topic for the others.
    void setRouters(const DataCentreRouter &self, const std::vector<DataCentreRouter> &others);

    TopicSubscription &topic() { return m_subscription; } ///< @return for routers that follow this one

    TopicSubscriptionStats stats() const; ///< @return those of the reads, with the calls and failures of the writes

    /// Called after each read and each successful write, with all that is stored and the end of the topic. Must be set
    /// before `start`.
    StoredStateHook onRead;

    /// Called instead of `onRead`, from a restore of the store from a copy until a router has written places or blocks
    /// again. What is stored may be older than what the routers use, which the leader then saves.
    StoredStateHook onRestored;

    /// Called before either, with the stored versions. Those from before a restore of the store are marked.
    std::function<void(const std::vector<VersionRecord> &)> onVersionsRead = [](const std::vector<VersionRecord> &) {};

private:
    /// From when until when a version has served, in Unix time in ms.
    struct StoredVersion {
        ServiceId service;
        SoftwareVersion version;
        std::int64_t since = 0;
        std::optional<std::int64_t> lastServed; // nothing: it serves
        std::optional<StoreEra> era;            // in which it was written
    };

    static std::optional<StoredVersion> decodeVersion(const KeyedRecord &record);
    KeyedRecord encodeVersion(const VersionRecord &record) const;
    std::vector<VersionRecord> versions() const;

    TopicSubscriptionHooks subscriptionHooks();
    void noteWritten(const KeyedRecord &record);
    void applyRecord(const KeyedRecord &record);
    void save(const std::vector<KeyedRecord> &records);
    void onSaved(const std::vector<KeyedRecord> &records, const TopicPosition &at, const ClientResponse &response);
    void notify(const StoredStateHook &hook);

    EventLog &m_log;
    TopicSubscription m_subscription;
    HttpClientConnection m_writer;
    std::map<std::string, PlaceRecord> m_places;     // by key
    std::map<std::string, std::int64_t> m_blocks;    // Unix time in ms of the last crash, by key
    std::map<std::string, StoredVersion> m_versions; // by key
    TopicPosition m_end;                             // of the topic, as last read or written
    bool m_hasRead = false;                          // the topic was read to its end at least once
    bool m_isSaving = false;
    bool m_isRestored = false; // the store was restored, and no router has written places or blocks since
};

} // namespace galenafold
