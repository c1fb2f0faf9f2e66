// Keeps in the platform's store at which version of the software streams began, so that they can be taken up after all
// routers were killed at once. Only what cannot be asked of another router needs it.
//
// Load pattern: while several versions of a service count, the first keeper of each partition of streams writes what it
// was told, a batch a second at most (`OriginBatches`). It is read only by a router that gets a take-up of which no
// other router knows: all records of one partition, some 64. The store may be slow, away, or restored from an older
// copy. What is lost then is not known, and such a stream is not taken up; what is there is true, whenever it was
// written.
//
// Sections of this file: Counters, Store.
#pragma once

#include "control/originbatches.h"
#include "galenafold/eventlog.h"
#include "platform/store.h"
#include "runtime/httpclientconnection.h"

namespace galenafold
{

// Counters

/// For metrics, since the start.
struct StreamOriginStats {
    std::int64_t calls = 0;
    std::int64_t failures = 0; // of the calls
    std::int64_t saved = 0;    // origins written
    std::int64_t givenUp = 0;  // origins that could not be written
    std::int64_t loads = 0;    // of a partition
};

// Store

/// Gets the origins of a partition that were written lately; nothing: the store could not be read.
using OriginLoadCallback = std::function<void(const std::optional<std::vector<StreamOrigin>> &)>;

/// A partition that is being read, page by page.
struct OriginLoad {
    int partition = 0;
    std::vector<OriginLoadCallback> callbacks;
    std::string after; // last key of the previous page
    int pages = 0;
    int records = 0;
    int expired = 0; // of the records
    std::vector<StreamOrigin> origins;
};

/// Used on the control thread only.
class StreamOriginStore
{
public:
    /// @param address of the store
    StreamOriginStore(asio::io_context &io, const std::string &address, EventLog &log);

    /// Writes them within seconds, or gives them up.
    void save(int partition, const std::vector<StreamOrigin> &origins);

    /// Reads what the store holds of a partition. @param callback called once
    void load(int partition, OriginLoadCallback callback);

    StreamOriginStats stats() const;

private:
    void saveNext();
    void onSaved(int partition, std::size_t origins, const std::string &failure);
    void armTimer();
    void loadNext();
    void askPage();
    void onPage(const ClientResponse &response);
    void addRecord(const KeyedRecord &record);
    void finishLoad(const std::string &failure);

    EventLog &m_log;
    HttpClientConnection m_writer;
    HttpClientConnection m_reader;
    DeadlineTimer m_timer; // of the next batch
    OriginBatches m_batches;
    std::map<int, std::vector<OriginLoadCallback>> m_waiting; // for partitions to be read
    std::optional<OriginLoad> m_load;
    bool m_isSaveFailing = false; // the last write failed
    StreamOriginStats m_stats;
};

} // namespace galenafold
