// Keeps in the platform's store which engine has which place, so that routers agree on it and it outlives them.
//
// Load pattern: all routers stop at one moment while engines live on with their caches. A router that starts reads the
// places once and then now and then; only the first router of the fleet writes, a few records when an engine is
// replaced. A late or lost write costs prompts that are read once more, nothing else.
#pragma once

#include "filters/placetable.h"
#include "shell/storefollower.h"

namespace galenafold
{

/// Lives on the control thread.
class PlaceStore
{
public:
    PlaceStore(asio::io_context &io, const std::string &address, EventLog &log, std::uint64_t seed);

    void start();

    /// Writes records, if the store has nothing that was not read yet. One call at a time; one that fails is not
    /// repeated: whoever finds the records missing asks again.
    void save(const std::vector<PlaceRecord> &records);

    void readNow(); ///< A peer has read on, or the store is back.

    std::int64_t failures() const { return m_follower.failures() + m_writer.failures(); }
    std::int64_t calls() const { return m_follower.calls() + m_writer.calls(); }

    /// All that the store holds, and its end; after each read and each write.
    std::function<void(const std::vector<PlaceRecord> &, LogOffset end)> onRead;

private:
    StoreFollowerHooks followerHooks();
    void take(const KeyedRecord &record);
    void tell();

    EventLog &m_log;
    StoreFollower m_follower;
    StoreConnection m_writer;
    std::map<std::string, PlaceRecord> m_records; // by key
    LogOffset m_end = 0;                          // of the topic, as far as it was read or written
    bool m_isKnown = false;                       // the topic was listed once
    bool m_isSaving = false;
};

} // namespace galenafold
