// Persists the assignment of places (positions for rendezvous hashing) to engines in the platform's store, so that all
// routers use the same one and it survives their restart.
//
// Load pattern: all routers restart at the same time while engines keep running with warm prefix caches. A router reads
// the places at its start and then periodically; only the leader among the routers writes, a few records when an engine
// is replaced. A late or lost write only makes engines recompute the prefill of some prompts.
#pragma once

#include "filters/placetable.h"
#include "runtime/topicsubscription.h"

namespace galenafold
{

/// Used on the control thread only.
class PlaceStore
{
public:
    PlaceStore(asio::io_context &io, const std::string &address, EventLog &log, std::uint64_t seed);

    void start();

    /// Appends records on condition that the topic has no records which this router has not read yet. Does nothing
    /// before the first read or while another save is in progress. A failed save is not retried: the leader saves again
    /// when it finds that the records are still missing.
    void save(const std::vector<PlaceRecord> &records);

    /// Reads without waiting for the interval, unless a read is in progress. For when a peer has read further, or the
    /// store is available again.
    void readNow();

    /// @return failed or refused reads and failed writes, also ones that were never sent
    std::int64_t failures() const { return m_subscription.failures() + m_writer.failures(); }
    std::int64_t calls() const { return m_subscription.calls() + m_writer.calls(); } ///< @return reads and writes sent

    /// Called after each read and each successful write, with all stored places and the end of the topic. Must be set
    /// before `start`.
    std::function<void(const std::vector<PlaceRecord> &, LogOffset end)> onRead;

private:
    TopicSubscriptionHooks subscriptionHooks();
    void applyRecord(const KeyedRecord &record);
    void notify();

    EventLog &m_log;
    TopicSubscription m_subscription;
    StoreConnection m_writer;
    std::map<std::string, PlaceRecord> m_records; // by key
    LogOffset m_end = 0;                          // of the topic, as last read or written
    bool m_hasRead = false;                       // the topic was read to its end at least once
    bool m_isSaving = false;
};

} // namespace galenafold
