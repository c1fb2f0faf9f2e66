// Keeps in the platform's store at which version of the software streams began.
//
// Sections of this file: Records, Saving, Loading.
#include "runtime/streamoriginstore.h"

#include "galenafold/hex.h"
#include "net/status.h"
#include "net/storedorigins.h"

namespace galenafold
{

constexpr auto saveTimeout = std::chrono::seconds(2);
constexpr auto loadTimeout = std::chrono::seconds(1); // a caller waits
constexpr int maxPages = 32;                          // of a partition; a keeper's records take one or two
constexpr std::size_t maxLoadedOrigins = 300000;      // 5 MB

// Records

StreamOriginStore::StreamOriginStore(asio::io_context &io, const std::string &address, EventLog &log)
    : m_log(log)
    , m_writer(io, address)
    , m_reader(io, address)
    , m_timer(io)
{
}

StreamOriginStats StreamOriginStore::stats() const
{
    StreamOriginStats stats = m_stats;
    stats.calls = m_writer.calls() + m_reader.calls();
    stats.failures += m_writer.failures() + m_reader.failures();
    stats.givenUp = m_batches.givenUp();
    return stats;
}

// Saving

void StreamOriginStore::save(int partition, const std::vector<StreamOrigin> &origins)
{
    m_batches.add(partition, origins);
    saveNext();
}

/// Nothing is conditional on the partition's end: what another keeper has written stays as true.
void StreamOriginStore::saveNext()
{
    const auto batch = m_batches.take(clockNow(), unixNow());
    if (!batch) {
        armTimer();
        return;
    }
    const KeyedRecord record{
        toHex(static_cast<std::uint64_t>(batch->slot)), encodeStoredOrigins({unixNow(), batch->origins}), {}};
    ClientCallHooks hooks;
    hooks.onResponse = [this, partition = batch->partition,
                        origins = batch->origins.size()](const ClientResponse &answer) {
        const bool isWritten = answer.status == statusOk;
        m_stats.failures += isWritten ? 0 : 1;
        onSaved(partition, origins, isWritten ? "" : std::to_string(answer.status));
    };
    hooks.onFailure = [this, partition = batch->partition, origins = batch->origins.size()](const char *reason) {
        onSaved(partition, origins, reason);
    };
    m_writer.call(encodePartitionAppend(record, StoreTopic::Origins, batch->partition, m_writer.address()),
                  clockNow() + saveTimeout, std::move(hooks));
}

/// @param failure why it was not written, as far as known; "": it was
void StreamOriginStore::onSaved(int partition, std::size_t origins, const std::string &failure)
{
    const bool isWritten = failure.empty();
    m_batches.onWritten(clockNow(), isWritten);
    if (!isWritten && !m_isSaveFailing) {
        LogLine line("origins_not_saved");
        line.number("partition", partition).number("origins", static_cast<std::int64_t>(origins));
        line.text("why", failure).number("given_up", m_batches.givenUp());
        m_log.write(line, LogPriority::Notable);
    }
    m_isSaveFailing = !isWritten;
    m_stats.saved += isWritten ? static_cast<std::int64_t>(origins) : 0;
    saveNext();
}

void StreamOriginStore::armTimer()
{
    const auto next = m_batches.nextAt();
    if (!next || m_writer.isCalling()) {
        return; // the end of the call goes on
    }
    m_timer.expires_at(*next);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            saveNext();
        }
    });
}

// Loading

void StreamOriginStore::load(int partition, OriginLoadCallback callback)
{
    m_waiting[partition].push_back(std::move(callback));
    loadNext();
}

void StreamOriginStore::loadNext()
{
    if (m_load || m_waiting.empty()) {
        return;
    }
    const auto next = m_waiting.begin();
    m_load.emplace();
    m_load->partition = next->first;
    m_load->callbacks = std::move(next->second);
    m_waiting.erase(next);
    ++m_stats.loads;
    askPage();
}

void StreamOriginStore::askPage()
{
    TopicRequest request;
    request.kind = TopicRequestKind::Listing;
    request.after = m_load->after;
    ClientCallHooks hooks;
    hooks.onResponse = [this](const ClientResponse &response) { onPage(response); };
    hooks.onFailure = [this](const char *reason) { finishLoad(reason); };
    m_reader.call(encodeTopicRequest(request, StoreTopic::Origins, m_reader.address(), m_load->partition),
                  clockNow() + loadTimeout, std::move(hooks));
}

void StreamOriginStore::onPage(const ClientResponse &response)
{
    const auto page = response.status == statusOk ? decodeListingPage(response.body) : std::nullopt;
    if (!page) {
        ++m_stats.failures;
        finishLoad(response.status == statusOk ? "unreadable" : std::to_string(response.status));
        return;
    }
    for (const KeyedRecord &record : page->records) {
        addRecord(record);
    }
    if (!page->isTruncated || page->records.empty()) {
        finishLoad("");
    } else if (++m_load->pages == maxPages) {
        finishLoad("too_large");
    } else {
        m_load->after = page->records.back().key;
        askPage();
    }
}

void StreamOriginStore::addRecord(const KeyedRecord &record)
{
    const auto stored = decodeStoredOrigins(record.value);
    const bool isRecent = stored && isOriginRecordRecent(unixNow(), stored->writtenAt);
    ++m_load->records;
    m_load->expired += isRecent ? 0 : 1;
    if (isRecent && m_load->origins.size() + stored->origins.size() <= maxLoadedOrigins) {
        m_load->origins.insert(m_load->origins.end(), stored->origins.begin(), stored->origins.end());
    }
}

/// While the store is away, those who wait for other partitions are not kept waiting for one time-out after the other.
/// @param failure "": all pages were read
void StreamOriginStore::finishLoad(const std::string &failure)
{
    const OriginLoad load = std::move(*m_load);
    m_load.reset();
    LogLine line("origins_loaded");
    line.number("partition", load.partition).number("records", load.records).number("expired", load.expired);
    line.number("origins", static_cast<std::int64_t>(load.origins.size())).text("why", failure);
    m_log.write(line, LogPriority::Notable);
    std::vector<OriginLoadCallback> callbacks = load.callbacks;
    if (!failure.empty()) {
        for (auto &[partition, waiting] : m_waiting) {
            callbacks.insert(callbacks.end(), waiting.begin(), waiting.end());
        }
        m_waiting.clear();
    }
    for (const OriginLoadCallback &callback : callbacks) {
        callback(failure.empty() ? std::optional(load.origins) : std::nullopt);
    }
    loadNext();
}

} // namespace galenafold
