// The records of one topic, kept for routers that follow this one in place of the store.
//
// Load pattern: forty routers of a data centre ask twice a second what has changed, while the heartbeats of thousands
// of replicas add hundreds of records a second that mean the same as those before. Such a record replaces the one
// before and is told to nobody. A router that was away for longer than the kept history gets all records once.
// Thousands of replicas leave in a day, for good: their deletions are told for a while only.
//
// A listing of several pages is no snapshot: it holds records that were written after it began, while others from then
// are missing. Such a record is told as a change only once the topic is known beyond it.
#pragma once

#include "control/topicconsumer.h"

#include <deque>
#include <map>

namespace galenafold
{

struct TopicCacheSettings {
    /// @return true if the newer value of a key tells nothing that the older one does not. Not set: each record counts
    std::function<bool(const std::string &older, const std::string &newer)> isSameMeaning;

    /// Keeps older records of a key as well: the last one may be an older version that was written late.
    bool keepsVersions = false;
    std::size_t versionBytes = 2 << 20; // of such records; the newest of a key is kept in any case
};

class TopicCache
{
public:
    explicit TopicCache(TopicCacheSettings settings);

    /// Replaces all records. @param begin end of the topic when the listing began
    void setListing(const std::vector<KeyedRecord> &records, const TopicPosition &begin);

    // Both go on in the era of the listing.

    void add(const KeyedRecord &record); ///< Adds the next record of the topic.

    /// Adds one that another router told. Records of the key in between may not be known, though they are to others: so
    /// it counts as a change also if it means the same as the last one that is known.
    void addChange(const KeyedRecord &record);
    void setEnd(LogOffset end); ///< The records before `end` have been added, or tell nothing new.

    bool isFilled() const { return m_isFilled; }       ///< @return true once a listing was set
    const TopicPosition &end() const { return m_end; } ///< @return up to where the topic is known

    /// @return true if `changesSince` would return a record, or nothing
    bool hasChangesSince(const TopicPosition &from) const;

    /// @return the records up to the end that tell something new since then; nothing if some of them are not known, or
    /// the position is of another era
    std::optional<std::vector<KeyedRecord>> changesSince(const TopicPosition &from) const;

    std::vector<KeyedRecord> all() const; ///< @return the records of all keys that have not been deleted

private:
    struct Change {
        std::optional<KeyedRecord> before; // of a deletion: the key's last record, which nobody was told if it was a
                                           // heartbeat
        KeyedRecord record;
    };

    void forgetOldVersions();
    void forgetOldDeletions();

    TopicCacheSettings m_settings;
    std::map<LogOffset, Change> m_changes;         // by the offset at which the record's meaning came up
    std::map<std::string, LogOffset> m_lastChange; // of each key
    std::deque<LogOffset> m_deletions;             // in the order in which they came; some keys are back since
    std::size_t m_bytes = 0;                       // of values, while versions are kept
    LogOffset m_completeFrom = 0;                  // all changes from here on are known
    TopicPosition m_end;
    bool m_isFilled = false;
};

} // namespace galenafold
