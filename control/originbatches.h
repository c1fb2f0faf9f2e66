// What a keeper of streams' origins has to write to the store, in batches.
//
// Load pattern: thousands of streams a second begin while two versions serve side by side, and each call to the store
// is priced. A partition is written once a second at most, and only while there is something to write. The store may be
// away for seconds: what could not be written is tried once more with the next batch, and then given up, as is what
// exceeds the limit. A batch once written is true for ever, so that one that is written late or twice does no harm.
//
// Load pattern: streams can be taken up for a minute, while the store keeps the newest record of each key for ever. So
// the keys of a partition are a ring of slots, more of them than seconds in that minute: a batch replaces one that
// nobody needs any more, also where the history of the topic has been deleted.
//
// Sections of this file: Batch, Batches.
#pragma once

#include "control/origintable.h"

namespace galenafold
{

// Batch

constexpr int originSlots = 64; ///< Records of a partition, one a second: more than `streamMemory` has seconds.

/// Origins to be written in one record.
struct OriginBatch {
    int partition = 0;
    int slot = 0; // key of the record, 0 to `originSlots` - 1
    std::vector<StreamOrigin> origins;
};

/// @return true if a record written at that time may tell of streams that can still be taken up @param now by the
/// reader's clock, @param writtenAt by that of the writer
bool isOriginRecordRecent(UnixMillis now, UnixMillis writtenAt);

// Batches

/// Batches of all partitions. One is written at a time.
class OriginBatches
{
public:
    void add(int partition, const std::vector<StreamOrigin> &origins);

    /// @param unixNow determines the first slot @return what is to be written now; nothing: none is due
    std::optional<OriginBatch> take(Instant now, UnixMillis unixNow);

    /// The batch that was taken last has been written, or the write has failed: then it may have had its effect.
    void onWritten(Instant now, bool isWritten);

    /// @return when `take` is to be called next; nothing: there is nothing to write
    std::optional<Instant> nextAt() const;

    std::int64_t givenUp() const { return m_givenUp; } ///< @return origins that were not written, since the start

private:
    static constexpr std::size_t maxPending = 10000; // origins of a partition: twice as many fit into one record

    struct Partition {
        std::vector<StreamOrigin> pending; // not tried yet
        std::vector<StreamOrigin> failed;  // tried once
        std::size_t tried = 0;             // origins of the batch being written that are tried for the first time
        std::vector<StreamOrigin> taken;   // the batch being written
        std::int64_t slot = 0;             // of the last batch, counted on from the Unix time of the first one
        std::optional<Instant> slotAt;     // when it was taken
        Instant notBefore{};               // of the next batch

        bool isEmpty() const { return pending.empty() && failed.empty(); }
    };

    static std::int64_t nextSlot(Instant now, UnixMillis unixNow, const Partition &partition);

    std::map<int, Partition> m_partitions;
    std::optional<int> m_writing; // partition of the batch being written
    std::int64_t m_givenUp = 0;
};

} // namespace galenafold
